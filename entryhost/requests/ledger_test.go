package requests

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
)

func TestRequests(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "requests")
}

// TestLedgerProperty guards against tokens of an older attempt or of another
// version in the answer, whatever the order of events.
func TestLedgerProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ledger Ledger
		var expected []enginewire.TokenID
		attempt := ledger.BeginAttempt()
		for i := range rapid.IntRange(1, 60).Draw(t, "events") {
			id := enginewire.TokenID(i)
			event := backends.StreamEvent{Attempt: attempt, Tokens: []backends.Token{{ID: id}}}
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				attempt = ledger.BeginAttempt()
			case 1:
				event.Attempt--
				if ledger.Accept("v1", event) {
					t.Fatal("an event of an older attempt was accepted")
				}
			case 2:
				if len(expected) > 0 && ledger.Accept("v2", event) {
					t.Fatal("an event of another version was accepted")
				}
			default:
				if !ledger.Accept("v1", event) {
					t.Fatal("an event of the current attempt was refused")
				}
				expected = append(expected, id)
			}
		}
		var hash uint64
		for i, id := range expected {
			hash = enginewire.ExtendHash(hash, id)
			if ledger.TokensFrom(0)[i].ID != id {
				t.Fatalf("token %d is %d, want %d", i, ledger.TokensFrom(0)[i].ID, id)
			}
		}
		if ledger.Len() != len(expected) || ledger.hash != hash {
			t.Fatal("the ledger's length or hash differs from the accepted tokens")
		}
	})
}

var _ = Describe("a ledger", func() {
	It("refuses an exact continuation when the prompt's token ids are unknown, which could repeat tokens", func() {
		var ledger Ledger
		attempt := ledger.BeginAttempt()
		ledger.Accept("v1", backends.StreamEvent{Attempt: attempt, Tokens: []backends.Token{{ID: 1}}})
		_, exact := ledger.Continuation()
		Expect(exact).To(BeFalse())
	})

	It("refuses tokens after the regular end", func() {
		var ledger Ledger
		attempt := ledger.BeginAttempt()
		Expect(ledger.Accept("v1", backends.StreamEvent{Attempt: attempt, Finish: "stop"})).To(BeTrue())
		Expect(ledger.Accept("v1", backends.StreamEvent{Attempt: attempt, Tokens: []backends.Token{{ID: 1}}})).To(BeFalse())
	})
})
