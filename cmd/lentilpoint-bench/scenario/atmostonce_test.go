package scenario_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/scenario"
)

var _ = Describe("calls that run at most once", func() {
	DescribeTable("are executed once and answered alike under faults",
		func(name string) {
			report := runScenario(name, scenario.PolicyDefault, 3)
			Expect(report.Violations).To(BeEmpty())
			Expect(report.Figures["answers_first"]).To(BeNumerically(">", 60), "a run with few answers checks little")
			Expect(report.Figures["claim_operations"]).To(BeNumerically(">", 60))
		},
		Entry("of plain servers", "order-retries"),
		Entry("of entry hosts", "order-host-deaths"),
		Entry("of the platform", "platform-outage"),
		Entry("of the table's answers", "platform-lost-answers"),
		Entry("of one entry host's link to the platform", "partition"),
	)

	DescribeTable("are checked by rules that a baseline breaks",
		func(name, baseline, rule string) {
			Expect(runScenario(name, baseline, 3).Violations[rule]).To(BeNumerically(">", 0))
		},
		Entry("blind retries", "order-retries", scenario.BaselineBlindRetry, check.DoubleExecutions),
		Entry("blind retries while entry hosts die", "order-host-deaths", scenario.BaselineBlindRetry, check.DoubleExecutions),
		Entry("blind retries during an outage", "platform-outage", scenario.BaselineBlindRetry, check.DoubleExecutions),
		Entry("claims that are assumed during an outage", "platform-outage", scenario.BaselineNoReadBack, check.DoubleExecutions),
		Entry("claims that are not read back", "platform-lost-answers", scenario.BaselineNoReadBack, check.DoubleExecutions),
		Entry("the history of claims that are not read back", "platform-lost-answers", scenario.BaselineNoReadBack, check.ClaimedTwice),
		Entry("repeats of claims that are not read back", "platform-lost-answers", scenario.BaselineNoReadBack, check.ChangedAnswers),
		Entry("claims that are assumed in a partition", "partition", scenario.BaselineNoReadBack, check.DoubleExecutions),
	)

	It("take at most 50 ms longer with claims at today's size", func() {
		Expect(runScenario("claim-latency", scenario.PolicyDefault, 3).Violations).To(BeEmpty())
	})

	It("exceed that bound without batches, which shows that the check can fail", func() {
		Expect(runScenario("claim-latency", scenario.BaselineNoBatch, 3).Violations[scenario.SlowClaims]).To(Equal(1))
	})
})
