package scenario_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/scenario"
)

var _ = Describe("admission", func() {
	DescribeTable("keeps its bounds",
		func(name string) {
			report := run(name, scenario.PolicyDefault, 1)
			Expect(report.Violations).To(BeEmpty(), "%v", report.Figures)
		},
		Entry("when a crashing request is sent again and again", "crashing-request"),
		Entry("at three times the capacity", "overload"),
		Entry("beside an organisation that sends ten times its share", "noisy-organisation"),
		Entry("when servers leave", "leaving-server"),
		Entry("when prompts share prefixes", "routing"),
	)

	DescribeTable("is checked by a rule that a baseline breaks",
		func(name, baseline, violation string) {
			Expect(run(name, baseline, 1).Violations).To(HaveKey(violation))
		},
		Entry("blind retries lose servers", "crashing-request", scenario.BaselineBlindRetry, "servers_lost_beyond_bound"),
		Entry("arrival order wastes work", "overload", scenario.BaselineFIFO, "useful_work_below_bound"),
		Entry("arrival order is unfair", "noisy-organisation", scenario.BaselineFIFO, "fairness_below_bound"),
		Entry("turns reach leaving servers", "leaving-server", scenario.BaselineRoundRobin, "work_to_leaving_server"),
		Entry("ignoring the list reaches leaving servers", "leaving-server", scenario.BaselineNoLeavingCheck, "work_to_leaving_server"),
		Entry("turns miss prefixes", "routing", scenario.BaselineRoundRobin, "routing_not_better"),
	)
})
