package questionnaire_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/questionnaire"
)

func TestQuestionnaire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "questionnaire")
}

func generateExample(name string) questionnaire.Plan {
	GinkgoHelper()
	content, err := os.ReadFile("../examples/" + name + ".yaml")
	Expect(err).NotTo(HaveOccurred())
	answers, err := questionnaire.Decode(content)
	Expect(err).NotTo(HaveOccurred())
	plan, problems := questionnaire.Generate(answers)
	Expect(problems).To(BeEmpty())
	return plan
}

func changesOf(difference questionnaire.Difference) []config.Change {
	var changes []config.Change
	for i, step := range difference.Steps {
		if step.New && step.Organisation != nil {
			step.Organisation.KeySHA256 = []string{fmt.Sprintf("%064x", i)}
		}
		changes = append(changes, config.Change{PutService: step.Service, PutOrganisation: step.Organisation})
	}
	return changes
}

var _ = Describe("the questionnaire", func() {
	DescribeTable("generates a configuration that passes validation, and no steps once it is in force",
		func(name string, eager bool) {
			plan := generateExample(name)
			difference := questionnaire.Compare(plan, config.Empty())
			Expect(difference.Steps).To(HaveLen(12))
			changes := changesOf(difference)
			Expect(config.Validate(config.Empty(), changes)).To(BeEmpty())
			Expect(plan.Services[0].ResumeEager).To(Equal(eager))
			for _, setting := range plan.Settings {
				Expect(setting.Reason).NotTo(BeEmpty())
			}
			current, _ := config.Apply(config.Empty(), config.RevisionRecord{Revision: 1, Changes: changes})
			Expect(questionnaire.Compare(plan, current).Steps).To(BeEmpty())
		},
		Entry("for Bubblewell", "bubblewell", true),
		Entry("for Etiquetas Andinas", "etiquetas-andinas", false),
	)

	It("reports every bad answer at once and generates no plan", func() {
		plan, problems := questionnaire.Generate(questionnaire.Answers{
			Team:          "t",
			Callers:       questionnaire.Callers{Sites: []questionnaire.Site{{Name: "a b"}}, DelayTolerance: "soon", Deadline: "3h"},
			Organisations: []questionnaire.Organisation{{Name: "x", Weight: 1}, {Name: "x"}},
			Services:      []questionnaire.Service{{Name: "s", Kind: "magic"}, {Name: "p", Kind: questionnaire.KindPlain, RepeatableMethods: []string{"get"}}},
		})
		Expect(plan).To(BeZero())
		var named []string
		for _, problem := range problems {
			named = append(named, problem.Answer)
			Expect(problem.Remedy).NotTo(BeEmpty())
		}
		Expect(named).To(ConsistOf("callers.sites[0].name", "callers.sites[0].entry_hosts", "callers.delay_tolerance", "callers.deadline",
			"organisations[1].name", "organisations[1].weight", "services[0].kind", "services[1].repeatable_methods", "prefer"))
	})

	It("rejects a misspelt key, which would otherwise be ignored", func() {
		_, err := questionnaire.Decode([]byte("team: x\nprefers: low_delay\n"))
		Expect(err).To(MatchError(ContainSubstring("prefers")))
	})

	It("keeps versions and API keys in force when the answers change", func() {
		plan := generateExample("bubblewell")
		current, _ := config.Apply(config.Empty(), config.RevisionRecord{Revision: 1, Changes: changesOf(questionnaire.Compare(plan, config.Empty()))})
		service := current.Services["advisor"]
		service.Shares = []model.VersionShare{{Version: "advisor-v2", Share: model.FullShare}}
		current.Services["advisor"] = service
		plan.Services[0].DefaultDeadline = time.Minute
		plan.Organisations[0].Weight = 9
		difference := questionnaire.Compare(plan, current)
		Expect(difference.Steps).To(HaveLen(2))
		Expect(difference.Steps[0].Lines).To(Equal([]string{"default_deadline: 5m0s -> 1m0s"}))
		Expect(difference.Steps[0].Service.Shares[0].Version).To(Equal(model.Version("advisor-v2")))
		Expect(difference.Steps[1].Organisation.KeySHA256).NotTo(BeEmpty())
		Expect(difference.Notes).To(ContainElement(ContainSubstring("keeps the versions in force")))
	})
})
