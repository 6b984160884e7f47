package scenario_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/scenario"
)

// brokenRule is a baseline with the violation that its scenario must report.
type brokenRule struct{ name, baseline, violation string }

// runPair runs two baselines at once, to keep the suite short. They miss their
// bounds by far, so that sharing the machine cannot hide it.
func runPair(first, second brokenRule) {
	GinkgoHelper()
	done := make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(done)
		Expect(run(second.name, second.baseline, 1).Violations).To(HaveKey(second.violation))
	}()
	Expect(run(first.name, first.baseline, 1).Violations).To(HaveKey(first.violation))
	<-done
}

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

	DescribeTable("is checked by rules that baselines break", runPair,
		Entry("blind retries lose servers; turns reach leaving servers",
			brokenRule{"crashing-request", scenario.BaselineBlindRetry, "servers_lost_beyond_bound"},
			brokenRule{"leaving-server", scenario.BaselineRoundRobin, "work_to_leaving_server"}),
		Entry("arrival order wastes work; without the check leaving servers receive work",
			brokenRule{"overload", scenario.BaselineFIFO, "useful_work_below_bound"},
			brokenRule{"leaving-server", scenario.BaselineNoLeavingCheck, "work_to_leaving_server"}),
		Entry("arrival order is unfair; turns miss prefixes",
			brokenRule{"noisy-organisation", scenario.BaselineFIFO, "fairness_below_bound"},
			brokenRule{"routing", scenario.BaselineRoundRobin, "routing_not_better"}),
	)
})
