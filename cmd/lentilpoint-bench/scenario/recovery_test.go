package scenario_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/scenario"
)

var _ = Describe("recovery of generations", func() {
	// The bound of 5 s is the stated worst case, that of silent and paused engines.
	// A generation of this length that is repeated after two losses stays below it.
	DescribeTable("loses, repeats or mixes no token, cuts no answer and resumes within 5 s",
		func(name string) {
			report := runScenario(name, scenario.PolicyDefault, 1)
			Expect(report.Violations).To(BeEmpty())
			Expect(report.Figures["losses"]).To(BeNumerically(">", 0))
			Expect(report.Figures["resume_max_ms"]).To(BeNumerically("<=", 5000))
		},
		Entry("when engines die in the middle of streams", "engine-death"),
		Entry("when engines pause and come back with late tokens", "engine-pause"),
		Entry("when open connections stop responding", "engine-silent"),
		Entry("when engines end streams early", "engine-early-end"),
		Entry("when entry hosts die", "entry-host-death"),
		Entry("when an entry host is drained", "entry-host-drain"),
	)

	DescribeTable("is checked by a rule that a baseline breaks",
		func(name, baseline string) {
			Expect(runScenario(name, baseline, 1).Violations.Total()).To(BeNumerically(">", 0))
		},
		Entry("engine-death", "engine-death", scenario.BaselineRestart),
		Entry("engine-death", "engine-death", scenario.BaselineNoResume),
		Entry("engine-pause", "engine-pause", scenario.BaselineRestart),
		Entry("engine-silent", "engine-silent", scenario.BaselineNoResume),
		Entry("engine-early-end", "engine-early-end", scenario.BaselineNoResume),
		Entry("entry-host-death", "entry-host-death", scenario.BaselineRestart),
		Entry("entry-host-drain", "entry-host-drain", scenario.BaselineNoResume),
	)

	It("mixes no tokens of two open attempts with either setting of resume_eager", func() {
		Expect(runScenario("resume-eager", scenario.PolicyDefault, 1).Violations).To(BeEmpty())
	})
})
