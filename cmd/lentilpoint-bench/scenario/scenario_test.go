package scenario_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/scenario"
)

func TestScenarios(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scenarios")
}

func run(name, policy string, seed uint64) scenario.Report {
	GinkgoHelper()
	chosen, found := scenario.Find(name)
	Expect(found).To(BeTrue())
	report, err := scenario.Run(context.Background(), chosen, scenario.Parameters{Seed: seed, Policy: policy})
	Expect(err).NotTo(HaveOccurred())
	return report
}

var _ = Describe("recovery of generations", func() {
	It("loses, repeats or mixes no token when engines die mid-stream", func() {
		Expect(run("engine-death", scenario.PolicyDefault, 1).Violations).To(BeEmpty())
	})

	It("is checked by a rule that the restart baseline breaks", func() {
		Expect(run("engine-death", scenario.BaselineRestart, 1).Violations.Total()).To(BeNumerically(">", 0))
	})

	It("is checked by a rule that the no-resume baseline breaks", func() {
		Expect(run("engine-death", scenario.BaselineNoResume, 1).Violations.Total()).To(BeNumerically(">", 0))
	})
})
