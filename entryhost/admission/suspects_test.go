package admission

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/model"
)

// crash ends an assignment with the death of its server, which then restarts.
func (b *bench) crash(assignment Assignment) {
	b.handle(Done{ID: assignment.ID, Outcome: OutcomeBroken})
	state := *b.Dispatcher.servers[assignment.Server].state
	state.Load.Incarnation++
	b.updateServer(state)
}

func resumed(fingerprint model.Fingerprint) func(*Request) {
	return func(r *Request) {
		r.Fingerprint = fingerprint
		r.Version = "v1"
		r.Resume = true
	}
}

var _ = ginkgo.Describe("a request that crashes servers", func() {
	var b *bench
	ginkgo.BeforeEach(func() {
		b = newBench(DefaultPolicies())
		b.servers(4, 8)
	})

	// twoDeaths makes the fingerprint a suspect and returns its third dispatch.
	twoDeaths := func(fingerprint model.Fingerprint) <-chan DispatchResult {
		for range suspectDeaths {
			b.crash((<-b.dispatch(resumed(fingerprint))).Assignment)
			b.advance(sameDeath)
		}
		return b.dispatch(resumed(fingerprint))
	}

	ginkgo.It("runs alone after two deaths and is refused after three, everywhere", func() {
		third := twoDeaths(7)
		Expect(third).To(BeEmpty())
		neighbour := b.dispatch(func(r *Request) { r.Fingerprint = 8 })
		apart := b.setApart(b.clock.Now(), "v1")
		Expect((<-neighbour).Assignment.Server).NotTo(Equal(apart))
		b.advance(suspectHold)
		Expect(third).To(BeEmpty(), "no report shows yet that the server is idle")
		b.report(nil)
		b.advance(sweepInterval)
		assignment := (<-third).Assignment
		Expect(assignment.Server).To(Equal(apart))
		b.crash(assignment)
		Expect((<-b.dispatch(resumed(7))).Fault.Reason).To(Equal(model.ReasonSuspectRequest))

		other := newBench(DefaultPolicies())
		other.servers(4, 8)
		for len(b.facts.C()) > 0 {
			fact := (<-b.facts.C()).(peers.Publish).Fact
			fact.Origin = "entry-1"
			other.learn(fact)
		}
		refused := <-other.dispatch(func(r *Request) { r.Fingerprint = 7 })
		Expect(refused.Fault.Reason).To(Equal(model.ReasonSuspectRequest))
		Expect(refused.Fault.Executed).To(Equal(model.ExecutedNo))
	})

	ginkgo.It("forgets a suspicion after ten minutes", func() {
		twoDeaths(7)
		Expect(b.suspects.Verdict(7)).To(Equal(VerdictSuspect))
		b.advance(suspectLifetime + time.Second)
		Expect(b.suspects.Verdict(7)).To(Equal(VerdictClear))
	})

	ginkgo.It("clears a neighbour that finishes, and tells the other hosts", func() {
		third := twoDeaths(9)
		b.advance(suspectHold)
		b.report(nil)
		b.advance(sweepInterval)
		b.handle(Done{ID: (<-third).Assignment.ID, Outcome: OutcomeDone})
		Expect(b.suspects.Verdict(9)).To(Equal(VerdictClear))
		table := NewSuspectTable("entry-2")
		table.Death(start, 9, 1, DeathLikely)
		table.Learn(start, 9, "entry-1", Suspicion{Weight: 2 * DeathLikely})
		table.Learn(start, 9, "entry-1", Suspicion{Turn: TurnCleared})
		Expect(table.Verdict(9)).To(Equal(VerdictClear))
	})

	ginkgo.It("frees neighbours of the same crashes once the cause is known", func() {
		table := NewSuspectTable("entry-1")
		for death := DeathID(1); death <= 2; death++ {
			table.Death(start, 7, death, DeathLikely)
			table.Death(start, 8, death, DeathLikely)
		}
		Expect(table.Verdict(8)).To(Equal(VerdictSuspect))
		table.Death(start, 7, 3, DeathLikely)
		Expect(table.Verdict(7)).To(Equal(VerdictRefuse))
		Expect(table.Verdict(8)).To(Equal(VerdictClear))
	})

	ginkgo.It("is not suspected for lost connections to servers that live on", func() {
		for range 3 {
			b.handle(Done{ID: (<-b.dispatch(resumed(5))).Assignment.ID, Outcome: OutcomeBroken})
			b.advance(2 * deathDoubt)
			b.report(nil)
		}
		Expect(b.suspects.Verdict(5)).To(Equal(VerdictClear))
	})

	ginkgo.It("waits while another host has a suspect on the server set apart", func() {
		third := twoDeaths(7)
		b.learn(peers.Fact{Kind: peers.FactSuspect, Key: "advisor/ff", Origin: "entry-9", Value: []byte{byte(2 * DeathLikely), byte(TurnRunning)}})
		b.advance(suspectHold)
		b.report(nil)
		b.advance(sweepInterval)
		Expect(third).To(BeEmpty())
		b.learn(peers.Fact{Kind: peers.FactSuspect, Key: "advisor/ff", Origin: "entry-9", Value: []byte{byte(2 * DeathLikely), byte(TurnCleared)}})
		b.advance(sweepInterval)
		Expect(third).To(HaveLen(1))
	})

	ginkgo.It("waits for the work of other hosts on the server set apart", func() {
		third := twoDeaths(7)
		b.advance(suspectHold)
		b.report(func(s *backends.ServerState) { s.Load.Running = 1 })
		b.advance(sweepInterval)
		Expect(third).To(BeEmpty())
	})
})

var _ = ginkgo.Describe("a suspect that runs alone", func() {
	ginkgo.It("is cleared once it has delivered tokens, so that others need not wait for its end", func() {
		b := newBench(DefaultPolicies())
		b.servers(4, 8)
		waiting := func(fingerprint model.Fingerprint) <-chan DispatchResult {
			for range suspectDeaths {
				b.crash((<-b.dispatch(resumed(fingerprint))).Assignment)
				b.advance(sameDeath)
			}
			return b.dispatch(resumed(fingerprint))
		}
		first, second := waiting(7), waiting(8)
		b.advance(suspectHold)
		b.report(nil)
		b.advance(sweepInterval)
		assignment := (<-first).Assignment
		Expect(assignment.ReportAfter).To(Equal(provenTokens))
		Expect(second).To(BeEmpty())
		b.handle(Progressed{ID: assignment.ID})
		Expect(b.suspects.Verdict(7)).To(Equal(VerdictClear))
		b.advance(suspectHold)
		b.report(nil)
		b.advance(sweepInterval)
		Expect((<-second).Assignment.Server).To(Equal(assignment.Server))
	})
})

var _ = ginkgo.Describe("ejection", func() {
	ginkgo.It("never takes the only server of a service, which would refuse all its work", func() {
		Expect(mayEjectAnother(0, 1)).To(BeFalse())
		Expect(mayEjectAnother(0, 2)).To(BeTrue())
		Expect(mayEjectAnother(1, 2)).To(BeFalse())
	})
})

var _ = ginkgo.Describe("the weight of a death", func() {
	ginkgo.It("is half for a continuation that got past its start, so that two kills by chance make no suspect", func() {
		table := NewSuspectTable("entry-1")
		table.Death(start, 7, 1, weighDeath(false, 200))
		table.Death(start, 7, 2, weighDeath(true, provenTokens))
		Expect(table.Verdict(7)).To(Equal(VerdictClear))
		table.Death(start, 7, 3, weighDeath(true, provenTokens-1))
		Expect(table.Verdict(7)).To(Equal(VerdictSuspect))
	})

	ginkgo.It("is whole for a first attempt at any length, as content may crash an engine late", func() {
		Expect(weighDeath(false, 10_000)).To(Equal(DeathLikely))
	})
})
