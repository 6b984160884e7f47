package operators

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/model"
)

var _ = Describe("policy", func() {
	It("withdraws a move and returns its traffic to the old version in changes that pass validation", func() {
		start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
		current := config.Empty()
		current.Services["advisor"] = model.Service{
			Name: "advisor", Kind: model.ServiceEngine, DefaultDeadline: time.Minute,
			Shares: []model.VersionShare{{Version: "v1", Share: 7500}, {Version: "v2", Share: 2500}},
		}
		current.Moves["m1"] = model.Move{ID: "m1", Service: "advisor", From: "v1", To: "v2", Started: start, Deadline: start.Add(time.Hour), State: model.MoveRunning}
		changes, fault := cancelMoveChanges(current, "m1", "maria")
		Expect(fault).To(BeNil())
		Expect(config.Validate(current, changes)).To(BeEmpty())
		next, _ := config.Apply(current, config.RevisionRecord{Revision: 1, Changes: changes})
		Expect(next.Services["advisor"].Shares).To(Equal([]model.VersionShare{{Version: "v1", Share: model.FullShare}}))
		Expect(next.Moves["m1"].Reason).To(Equal("cancelled by maria"))
		Expect(current.Services["advisor"].Shares).To(HaveLen(2), "configurations are immutable")
	})

	DescribeTable("parses tokens with and without a name",
		func(setting, token, name string) {
			found, known := authenticate(parseTokens([]string{setting}), token)
			Expect(known).To(BeTrue())
			Expect(found).To(Equal(name))
		},
		Entry("with a name", "maria=abc", "abc", "maria"),
		Entry("without a name", "abc", "abc", "operator"),
		Entry("with base64 padding", "abc==", "abc==", "operator"),
		Entry("with a prefix that is not a valid name", "A1=x", "A1=x", "operator"),
	)
})
