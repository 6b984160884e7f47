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

func runScenario(name, policy string, seed uint64) scenario.Report {
	GinkgoHelper()
	chosen, found := scenario.Find(name)
	Expect(found).To(BeTrue())
	report, err := scenario.Run(context.Background(), chosen, scenario.Parameters{Seed: seed, Policy: policy})
	Expect(err).NotTo(HaveOccurred())
	return report
}
