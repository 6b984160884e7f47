package config_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/model"
)

func advisor() *model.Service {
	return &model.Service{Name: "advisor", Kind: model.ServiceEngine, DefaultDeadline: time.Minute,
		Shares: []model.VersionShare{{Version: "v1", Share: model.FullShare}}}
}

func advisorMove(state model.MoveState) *model.Move {
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	return &model.Move{ID: "m1", Service: "advisor", From: "v1", To: "v2", Started: start, Deadline: start.Add(time.Hour), State: state}
}

var _ = Describe("validation", func() {
	current, _ := config.ApplyAll(config.Empty(), []config.RevisionRecord{
		{Revision: 1, Changes: []config.Change{{PutService: advisor()}, {PutOrganisation: organisation(0)}}},
	})
	change := func(edit func(*model.Service)) config.Change {
		service := advisor()
		edit(service)
		return config.Change{PutService: service}
	}
	moved := change(func(s *model.Service) {
		s.Shares = []model.VersionShare{{Version: "v1", Share: 9950}, {Version: "v2", Share: 50}}
	})

	DescribeTable("refuses changes that would break serving, with a remedy",
		func(message string, changes ...config.Change) {
			problems := config.Validate(current, changes)
			Expect(problems).NotTo(BeEmpty())
			Expect(fmt.Sprint(problems)).To(ContainSubstring(message))
			for _, problem := range problems {
				Expect(problem.Remedy).NotTo(BeEmpty())
			}
		},
		Entry("no change", "there is no change"),
		Entry("two fields", "sets 2 fields", config.Change{DeleteService: "advisor", DeleteOrganisation: "org-0"}),
		Entry("shares that do not add up", "add up to 9000", change(func(s *model.Service) { s.Shares[0].Share = 9000 })),
		Entry("a deadline out of bounds", "out of bounds", change(func(s *model.Service) { s.DefaultDeadline = 2 * time.Hour })),
		Entry("another kind", "cannot change", change(func(s *model.Service) { s.Kind = model.ServicePlain })),
		Entry("a version without a move", "only by a move", change(func(s *model.Service) { s.Shares[0].Version = "v2" })),
		Entry("weight 0", "the weight 0", config.Change{PutOrganisation: &model.Organisation{ID: "x", KeySHA256: []string{digest(9)}}}),
		Entry("a key in plain text", "not a lower-case hex", config.Change{PutOrganisation: &model.Organisation{ID: "x", Weight: 1, KeySHA256: []string{"key"}}}),
		Entry("a key of another organisation", "also by organisation org-0", config.Change{PutOrganisation: &model.Organisation{ID: "x", Weight: 1, KeySHA256: []string{digest(1)}}}),
		Entry("two changes of one object", "changed twice", config.Change{DeleteOrganisation: "org-0"}, config.Change{DeleteOrganisation: "org-0"}),
		Entry("a move of an unknown service", "no service", config.Change{PutMove: &model.Move{ID: "m", Service: "none"}}),
	)

	It("accepts a change of versions together with a move, and a new use of a deleted organisation's key", func() {
		Expect(config.Validate(current, []config.Change{moved, {PutMove: advisorMove(model.MoveRunning)}})).To(BeEmpty())
		Expect(config.Validate(current, []config.Change{{DeleteOrganisation: "org-0"},
			{PutOrganisation: &model.Organisation{ID: "x", Weight: 1, KeySHA256: []string{digest(1)}}}})).To(BeEmpty())
	})

	It("refuses a second running move of a service and the restart of an ended move", func() {
		running, _ := config.Apply(current, config.RevisionRecord{Revision: 2, Changes: []config.Change{{PutMove: advisorMove(model.MoveRunning)}}})
		second := advisorMove(model.MoveRunning)
		second.ID = "m2"
		Expect(fmt.Sprint(config.Validate(running, []config.Change{{PutMove: second}}))).To(ContainSubstring("move m1 is running"))
		ended, _ := config.Apply(running, config.RevisionRecord{Revision: 3, Changes: []config.Change{{PutMove: advisorMove(model.MoveWithdrawn)}}})
		Expect(fmt.Sprint(config.Validate(ended, []config.Change{{PutMove: advisorMove(model.MoveRunning)}}))).To(ContainSubstring("ended as withdrawn"))
	})
})
