package scenario_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/scenario"
)

var _ = Describe("the configuration", func() {
	DescribeTable("keeps its guarantees",
		func(name string, seed uint64) {
			Expect(runScenario(name, scenario.PolicyDefault, seed).Violations).To(BeEmpty())
		},
		Entry("while hosts restart and the platform is down", "config-churn", uint64(1)),
		Entry("when a data centre is cut off from the platform", "config-partition", uint64(1)),
		Entry("when operators race", "operators-race", uint64(1)),
		Entry("when hosts start while the platform refuses", "cold-start-in-outage", uint64(1)),
		Entry("when hosts start while the platform is silent", "cold-start-in-outage", uint64(2)),
	)

	DescribeTable("is checked by rules that a baseline breaks",
		func(name, baseline, violation string) {
			Expect(runScenario(name, baseline, 1).Violations).To(HaveKeyWithValue(violation, BeNumerically(">", 0)))
		},
		Entry("a return to an older revision", "config-churn", scenario.BaselineAcceptAny, "reverted_revisions"),
		Entry("a revision that comes into force late", "config-churn", scenario.BaselineNoPush, "late_revisions"),
		Entry("a revision that does not reach a data centre in time", "config-partition", scenario.BaselinePollOnly, "late_revisions"),
		Entry("two commits of the same revision", "operators-race", scenario.BaselineBlindWrite, "revisions_with_several_winners"),
		Entry("a history that is not linearizable", "operators-race", scenario.BaselineBlindWrite, "histories_not_linearizable"),
		Entry("no configuration in an outage", "cold-start-in-outage", scenario.BaselineNoPeers, "hosts_without_configuration"),
	)
})
