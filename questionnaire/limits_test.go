package questionnaire_test

import (
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/questionnaire"
)

var _ = Describe("the limit of open requests", func() {
	It("is the full peak of an organisation: entry hosts share their usage, and a fraction of the peak would reject ordinary load", func() {
		content, err := os.ReadFile("../examples/etiquetas-andinas.yaml")
		Expect(err).NotTo(HaveOccurred())
		answers, err := questionnaire.Decode(content)
		Expect(err).NotTo(HaveOccurred())
		plan, problems := questionnaire.Generate(answers)
		Expect(problems).To(BeEmpty())
		for i, organisation := range plan.Organisations {
			Expect(organisation.MaxOpen).To(Equal(answers.Organisations[i].PeakOpen))
		}
	})
})
