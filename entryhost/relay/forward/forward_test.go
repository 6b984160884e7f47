package forward

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

func TestForward(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "forward")
}

// lineCodec reads the id from a first line "id: N".
type lineCodec struct{}

// EventID implements Codec.
func (lineCodec) EventID(event []byte) int64 {
	var id int64
	_, _ = fmt.Sscanf(string(event), "id: %d", &id)
	return id
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

func newTestLedger(last string) *ledger {
	l, err := newLedger(lineCodec{}, last)
	Expect(err).NotTo(HaveOccurred())
	return l
}

var _ = Describe("the ledger of a stream", func() {
	It("passes each event on once however the bytes are cut and attempts overlap", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const total = 30
			l := &ledger{codec: lineCodec{}}
			var passed strings.Builder
			for l.last < total {
				// An attempt may begin before what the caller has and break off
				// anywhere, also within an event.
				first := rapid.IntRange(1, int(l.last)+1).Draw(t, "first")
				var bytes strings.Builder
				for id := first; id <= total; id++ {
					bytes.WriteString(event(id))
				}
				sent := bytes.String()[:rapid.IntRange(1, bytes.Len()).Draw(t, "sent")]
				for len(sent) > 0 {
					size := rapid.IntRange(1, len(sent)).Draw(t, "chunk")
					events, err := l.take([]byte(sent[:size]))
					if err != nil {
						t.Fatalf("unexpected error: %v", err)
					}
					for _, data := range events {
						passed.Write(data)
					}
					sent = sent[size:]
				}
				l.restart()
			}
			var want strings.Builder
			for id := 1; id <= total; id++ {
				want.WriteString(event(id))
			}
			if passed.String() != want.String() {
				t.Fatalf("got %q", passed.String())
			}
		})
	})

	It("reports an event that is missing instead of passing later ones on", func() {
		l := newTestLedger("4")
		events, err := l.take([]byte(event(5) + event(7)))
		Expect(events).To(HaveLen(1))
		Expect(err).To(MatchError(ContainSubstring("event 7 follows event 5")))
	})

	It("knows that a stream that ends within an event is not complete", func() {
		l := newTestLedger("")
		_, err := l.take([]byte(event(1) + "id: 2\nda"))
		Expect(err).NotTo(HaveOccurred())
		Expect(l.whole()).To(BeFalse())
		l.restart()
		Expect(l.whole()).To(BeTrue())
	})

	It("refuses an id of the last event that is no number", func() {
		_, err := newLedger(lineCodec{}, "x")
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("what follows an attempt", func() {
	order := &routing.Route{Kind: routing.NonIdempotent, MaxAttempts: 5}
	check := &routing.Route{Kind: routing.Idempotent, MaxAttempts: 2}
	stream := &routing.Route{Kind: routing.Streaming, Resumable: true, MaxAttempts: 5}
	fixed := &routing.Route{Kind: routing.Streaming, MaxAttempts: 5}
	after := func(outcomes ...dispatch.Outcome) tally {
		var counts tally
		for _, outcome := range outcomes {
			counts = counts.add(outcome)
		}
		return counts
	}

	DescribeTable("a request that is answered as a whole",
		func(route *routing.Route, counts tally, outcome dispatch.Outcome, want verdict) {
			Expect(afterPlain(route, outcome, counts)).To(Equal(want))
		},
		Entry("an order that may have run is never sent again", order, after(dispatch.OutcomeBroken), dispatch.OutcomeBroken, fail),
		Entry("an order that fell silent is never sent again", order, after(dispatch.OutcomeSilent), dispatch.OutcomeSilent, fail),
		Entry("a failure of the server's own is passed on for an order", order, after(dispatch.OutcomeFailed), dispatch.OutcomeFailed, deliver),
		Entry("an order that did not run goes on", order, after(dispatch.OutcomeRejected), dispatch.OutcomeRejected, again),
		Entry("an order that was not sent goes on", order, after(dispatch.OutcomeUnreachable), dispatch.OutcomeUnreachable, again),
		Entry("a check is repeated", check, after(dispatch.OutcomeBroken), dispatch.OutcomeBroken, again),
		Entry("a check is not sent to more servers than its route allows", check, after(dispatch.OutcomeFailed, dispatch.OutcomeFailed), dispatch.OutcomeFailed, deliver),
		Entry("no refusal promises that nothing ran after a run", check,
			after(dispatch.OutcomeBroken, dispatch.OutcomeRejected, dispatch.OutcomeRejected, dispatch.OutcomeRejected, dispatch.OutcomeRejected), dispatch.OutcomeRejected, fail),
		Entry("rejections by many servers end with a refusal", order,
			after(dispatch.OutcomeRejected, dispatch.OutcomeRejected, dispatch.OutcomeRejected, dispatch.OutcomeRejected), dispatch.OutcomeRejected, refuse),
	)

	DescribeTable("a stream",
		func(route *routing.Route, counts tally, outcome dispatch.Outcome, started bool, want verdict) {
			Expect(afterStream(route, outcome, counts, started)).To(Equal(want))
		},
		Entry("goes on after a loss", stream, after(dispatch.OutcomeBroken), dispatch.OutcomeBroken, true, again),
		Entry("does not go on where the route does not allow it", fixed, after(dispatch.OutcomeBroken), dispatch.OutcomeBroken, true, fail),
		Entry("is not refused as not run once it has begun", stream,
			after(dispatch.OutcomeRejected, dispatch.OutcomeRejected, dispatch.OutcomeRejected, dispatch.OutcomeRejected), dispatch.OutcomeRejected, true, fail),
		Entry("passes a failure of the server on before it has begun", fixed, after(dispatch.OutcomeFailed), dispatch.OutcomeFailed, false, deliver),
	)
})

var _ = Describe("the head of an answer", func() {
	DescribeTable("is a success only with the server's signature and its own bytes",
		func(head exchange.ResponseHead, want dispatch.Outcome) {
			Expect(outcomeOfHead(&head)).To(Equal(want))
		},
		Entry("a signed success", exchange.ResponseHead{Status: 200, Sealed: true}, dispatch.OutcomeSuccess),
		Entry("a success without a signature", exchange.ResponseHead{Status: 200}, dispatch.OutcomeBroken),
		Entry("an encoded body", exchange.ResponseHead{Status: 200, Sealed: true, Encoded: true}, dispatch.OutcomeBroken),
		Entry("a statement that it did not run", exchange.ResponseHead{Status: 503, NotRun: true}, dispatch.OutcomeRejected),
		Entry("a failure that may have run", exchange.ResponseHead{Status: 503}, dispatch.OutcomeFailed),
		Entry("another server", exchange.ResponseHead{Status: 421, NotRun: true, Misdirected: true}, dispatch.OutcomeMisdirected),
	)
})

var _ = Describe("silence", func() {
	alive := func(runs map[string]int) dispatch.Verdict { return dispatch.Verdict{Alive: true, Runs: runs} }

	DescribeTable("is a loss only when the server's report shows it",
		func(verdict dispatch.Verdict, known progress, lost bool) {
			known.id = "r"
			Expect(isLost(verdict, known)).To(Equal(lost))
		},
		Entry("a server that does not answer", dispatch.Verdict{}, progress{}, true),
		Entry("a prompt that is still read", alive(nil), progress{running: time.Hour}, false),
		Entry("a run that a late report does not show yet", alive(nil), progress{started: true, running: time.Second}, false),
		Entry("a run that is gone", alive(nil), progress{started: true, running: 2 * time.Second}, true),
		Entry("a run that goes on while nothing arrives", alive(map[string]int{"r": 9}), progress{started: true, received: 5}, true),
		Entry("a run that reads another prompt meanwhile", alive(map[string]int{"r": 5}), progress{started: true, received: 5}, false),
	)

	It("leaves time to go on elsewhere within a gap objective of 700 ms", func() {
		Expect(silenceLimit(true, time.Minute)).To(BeNumerically("<=", 350*time.Millisecond))
		Expect(silenceLimit(true, 0)).To(BeNumerically(">=", 155*time.Millisecond), "an event takes 155 ms while a prompt is read")
	})
})
