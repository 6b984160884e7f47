package tickets

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/requests/claims"
	"github.com/lentilpoint/lentilpoint/model"
)

func TestTickets(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tickets")
}

var _ = Describe("tickets", func() {
	now := time.UnixMilli(1_700_000_000_000)
	until := now.Add(time.Second)
	issuer := NewIssuer(claims.Identity{Host: "entry-0", Incarnation: 7}, "secret")
	issueTicket := func() Ticket {
		GinkgoHelper()
		key, _ := issuer.Issue("bubbles", now)
		ticket, fault := issuer.Verify(key, "bubbles")
		Expect(fault).To(BeNil())
		return ticket
	}

	It("can only be verified by entry hosts with the same secret", func() {
		key, _ := issuer.Issue("bubbles", now)
		ticket, fault := NewIssuer(claims.Identity{Host: "entry-1"}, "secret").Verify(key, "bubbles")
		Expect(fault).To(BeNil())
		Expect(ticket.Host).To(Equal(model.HostID("entry-0")))
		_, fault = NewIssuer(claims.Identity{Host: "entry-1"}, "other").Verify(key, "bubbles")
		Expect(fault.Reason).To(Equal(model.ReasonTicketInvalid))
		Expect(fault.Executed).To(Equal(model.ExecutedUnknown), "it may have run before the secret changed")
	})

	It("are valid for one organisation only, so that no other one can read its answers", func() {
		key, _ := issuer.Issue("bubbles", now)
		_, fault := issuer.Verify(key, "wands")
		Expect(fault.Reason).To(Equal(model.ReasonTicketInvalid))
	})

	It("are executed once and repeat the answer", func() {
		registry, ticket := newRegistry(), issueTicket()
		Expect(registry.redeem(ticket, "h", until, now).Held).To(BeTrue())
		Expect(registry.redeem(ticket, "h", until, now).Fault.Reason).To(Equal(model.ReasonKeyInProgress))
		Expect(registry.recordOutcome(ticket.ID, claims.StateDone, &claims.Answer{Status: 200})).To(BeTrue())
		Expect(registry.redeem(ticket, "h", until, now).Answer.Status).To(Equal(200))
		Expect(registry.redeem(ticket, "other", until, now).Fault.Reason).To(Equal(model.ReasonKeyReused))
	})

	It("may run again only after a call that reached no server", func() {
		registry, ticket := newRegistry(), issueTicket()
		Expect(registry.redeem(ticket, "h", until, now).Held).To(BeTrue())
		Expect(registry.recordOutcome(ticket.ID, claims.StateReleased, nil)).To(BeTrue())
		Expect(registry.redeem(ticket, "h", until, now).Held).To(BeTrue())
		Expect(registry.recordOutcome(ticket.ID, claims.StateUnknown, nil)).To(BeTrue())
		Expect(registry.redeem(ticket, "h", until, now).Fault.Executed).To(Equal(model.ExecutedUnknown))
	})

	It("are not executed again when the clock is set back after their entries were removed", func() {
		registry, ticket := newRegistry(), issueTicket()
		registry.redeem(ticket, "h", until, now)
		registry.recordOutcome(ticket.ID, claims.StateDone, &claims.Answer{Status: 200})
		registry.sweep(now.Add(Lifetime + time.Minute))
		Expect(registry.entries).To(BeEmpty())
		result := registry.redeem(ticket, "h", until, now)
		Expect(result.Held).To(BeFalse())
		Expect(result.Fault.Executed).To(Equal(model.ExecutedUnknown))
	})

	It("are refused as not run when the registry is full, instead of losing an outcome", func() {
		registry := newRegistry()
		for i := range maxEntries {
			registry.entries[string(rune(i))+"x"] = entry{expires: until.UnixMilli()}
		}
		fault := registry.redeem(issueTicket(), "h", until, now).Fault
		Expect(fault.Reason).To(Equal(model.ReasonQueueFull))
		Expect(fault.Executed).To(Equal(model.ExecutedNo))
	})

	It("keep recorded answers within the memory limit and report when a body was omitted", func() {
		registry := newRegistry()
		registry.answerBytes = maxTotalAnswerBytes
		ticket := issueTicket()
		registry.redeem(ticket, "h", until, now)
		registry.recordOutcome(ticket.ID, claims.StateDone, &claims.Answer{Status: 200, Body: []byte("x")})
		Expect(registry.redeem(ticket, "h", until, now).Fault.Executed).To(Equal(model.ExecutedYes))
	})
})
