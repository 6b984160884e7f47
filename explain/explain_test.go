package explain_test

import (
	"encoding/xml"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/explain"
	"github.com/lentilpoint/lentilpoint/model"
)

func TestExplain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "explain")
}

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func failed(offset time.Duration, host model.HostID, server model.ServerID, cause string) events.Event {
	return events.Event{At: start.Add(offset), Host: host, Code: eventcode.AttemptFailed, Request: "r1", Server: server, Attempt: 1, Cause: cause}
}

var _ = Describe("an explanation", func() {
	input := explain.Input{
		Subject: explain.SubjectRequest, ID: "r1", Unanswered: []model.HostID{"entry-9"},
		Events: []events.Event{
			failed(2*time.Second, "entry-1", "engine-2", "the connection was cut"),
			failed(0, "entry-0", "engine-1", "<no token for 2 s>"),
			failed(2100*time.Millisecond, "entry-1", "engine-2", "the connection was cut"),
		},
	}

	It("orders events of several hosts by time, counts repeated ones and lists hosts that did not answer", func() {
		page := explain.Build(input)
		Expect(page.Did).To(HaveLen(2))
		Expect(page.Did[0].Host).To(Equal(model.HostID("entry-0")))
		Expect(page.Did[1].Count).To(Equal(2))
		Expect(page.Why).To(Equal([]string{"<no token for 2 s>", "the connection was cut (2 times)"}))
		Expect(page.Do).To(HaveLen(1))
		Expect(page.Missing).To(ConsistOf(ContainSubstring("entry-9")))
		Expect(explain.Text(page)).To(ContainSubstring("What to do\n  - Read the cause"))
	})

	It("draws one mark for each step and escapes text of events", func() {
		page, err := explain.HTML(explain.Build(input))
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(page, "<circle")).To(Equal(2))
		Expect(page).NotTo(ContainSubstring("<no token"))
		drawing := page[strings.Index(page, "<svg"):strings.Index(page, "</svg>")]
		Expect(xml.Unmarshal([]byte(drawing+"</svg>"), &struct{}{})).To(Succeed(), "the drawing is well-formed")
	})

	It("says what to check when no event names the subject", func() {
		page := explain.Build(explain.Input{Subject: explain.SubjectOrganisation, ID: "x"})
		Expect(page.Happened).To(Equal([]string{"No event names this organisation."}))
		Expect(page.Do[0]).To(ContainSubstring("Check the organisation id"))
	})

	It("states the reason of a withdrawn move, even without events", func() {
		page := explain.Build(explain.Input{Subject: explain.SubjectMove, ID: "m1", Move: &model.Move{
			ID: "m1", Service: "advisor", From: "v1", To: "v2", State: model.MoveWithdrawn, Reason: "cancelled by maria",
		}})
		Expect(page.Happened[0]).To(Equal("The move of service advisor from version v1 to v2 was withdrawn: cancelled by maria."))
		Expect(page.Why).To(Equal([]string{"cancelled by maria"}))
	})

	It("shows events whose code is not in the catalogue", func() {
		page := explain.Build(explain.Input{Subject: explain.SubjectRequest, ID: "r", Events: []events.Event{{At: start, Code: 9999}}})
		Expect(page.Did[0].Text).To(ContainSubstring("9999"))
	})
})
