package scenario_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/scenario"
)

var _ = Describe("version moves", func() {
	It("withdraw a version that fails from the start before it receives more than a hundredth of the traffic", func() {
		Expect(runScenario("bad-move-errors", scenario.PolicyDefault, 1).Violations).To(BeEmpty())
	})

	It("are checked by a rule that fixed steps without evidence break", func() {
		Expect(runScenario("bad-move-errors", scenario.BaselineFixedSteps, 1).Violations).To(HaveKey(check.KeptBadVersions))
	})
})

var _ = Describe("leases and orders", func() {
	It("end in the wanted versions when late orders reach engines that ignore the fencing number", func() {
		report := runScenario("fencing-ignored", scenario.PolicyDefault, 1)
		Expect(report.Violations).To(BeEmpty())
		Expect(report.Figures["late_orders"]).To(BeNumerically(">", 0), "the run must include late orders")
	})

	It("are checked by a rule that acting without a valid lease breaks", func() {
		Expect(runScenario("lease-pause", scenario.BaselineNoFencing, 1).Violations).To(HaveKey(check.TwoHolders))
	})
})
