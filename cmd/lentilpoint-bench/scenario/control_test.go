package scenario_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/scenario"
)

var _ = Describe("version moves", func() {
	It("withdraw a version that fails at once, before it saw a hundredth of the traffic", func() {
		Expect(run("bad-move-errors", scenario.PolicyDefault, 1).Violations).To(BeEmpty())
	})

	It("are checked by a rule that fixed steps without evidence break", func() {
		Expect(run("bad-move-errors", scenario.BaselineFixedSteps, 1).Violations).To(HaveKey(check.KeptBadVersions))
	})
})

var _ = Describe("leases and orders", func() {
	It("end in the wanted versions when late orders reach engines that ignore the fencing number", func() {
		report := run("fencing-ignored", scenario.PolicyDefault, 1)
		Expect(report.Violations).To(BeEmpty())
		Expect(report.Figures["late_orders"]).To(BeNumerically(">", 0), "the run must contain the fault that it is about")
	})

	It("are checked by a rule that acting without a valid lease breaks", func() {
		Expect(run("lease-pause", scenario.BaselineNoFencing, 1).Violations).To(HaveKey(check.TwoHolders))
	})
})
