package scenario_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/scenario"
)

// expectedViolation names the violation that a scenario must report for a baseline.
type expectedViolation struct{ name, baseline, violation string }

// expectViolations runs two baselines concurrently, to keep the suite short.
// Both exceed their bounds so far that the shared CPU time does not hide it.
func expectViolations(first, second expectedViolation) {
	GinkgoHelper()
	done := make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(done)
		Expect(runScenario(second.name, second.baseline, 1).Violations).To(HaveKey(second.violation))
	}()
	Expect(runScenario(first.name, first.baseline, 1).Violations).To(HaveKey(first.violation))
	<-done
}

var _ = Describe("admission", func() {
	DescribeTable("keeps its bounds",
		func(name string) {
			report := runScenario(name, scenario.PolicyDefault, 1)
			Expect(report.Violations).To(BeEmpty(), "%v", report.Figures)
		},
		Entry("when a crashing request is sent again and again", "crashing-request"),
		Entry("at three times the capacity", "overload"),
		Entry("beside an organisation that sends ten times its share", "noisy-organisation"),
		Entry("when servers leave", "leaving-server"),
		Entry("when prompts share prefixes", "routing"),
	)

	DescribeTable("is checked by rules that baselines break", expectViolations,
		Entry("blind retries lose servers; rotation reaches leaving servers",
			expectedViolation{"crashing-request", scenario.BaselineBlindRetry, "servers_lost_beyond_bound"},
			expectedViolation{"leaving-server", scenario.BaselineRoundRobin, "work_to_leaving_server"}),
		Entry("arrival order wastes work; without the check leaving servers receive work",
			expectedViolation{"overload", scenario.BaselineFIFO, "useful_work_below_bound"},
			expectedViolation{"leaving-server", scenario.BaselineNoLeavingCheck, "work_to_leaving_server"}),
		Entry("arrival order is unfair; rotation misses cached prefixes",
			expectedViolation{"noisy-organisation", scenario.BaselineFIFO, "fairness_below_bound"},
			expectedViolation{"routing", scenario.BaselineRoundRobin, "routing_not_better"}),
	)
})
