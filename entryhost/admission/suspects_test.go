package admission

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/model"
)

// crash breaks an assignment by the death of its server, which then restarts.
func (b *testDispatcher) crash(assignment Assignment) {
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
	var b *testDispatcher
	ginkgo.BeforeEach(func() {
		b = newTestDispatcher(DefaultPolicies())
		b.addServers(4, 8)
	})

	// dispatchAfterTwoDeaths makes the fingerprint a suspect and returns the reply to
	// its third dispatch.
	dispatchAfterTwoDeaths := func(fingerprint model.Fingerprint) <-chan DispatchResult {
		for range suspectDeaths {
			b.crash((<-b.dispatch(resumed(fingerprint))).Assignment)
			b.advance(deathMergeWindow)
		}
		return b.dispatch(resumed(fingerprint))
	}

	ginkgo.It("runs alone after two deaths and is refused after three, also on other entry hosts", func() {
		thirdReply := dispatchAfterTwoDeaths(7)
		Expect(thirdReply).To(BeEmpty())
		otherReply := b.dispatch(func(r *Request) { r.Fingerprint = 8 })
		reservedServer := b.reservedServer(b.clock.Now(), "v1")
		Expect((<-otherReply).Assignment.Server).NotTo(Equal(reservedServer))
		b.advance(isolationDelay)
		Expect(thirdReply).To(BeEmpty(), "no report shows yet that the server is idle")
		b.reportLoad(nil)
		b.advance(sweepInterval)
		assignment := (<-thirdReply).Assignment
		Expect(assignment.Server).To(Equal(reservedServer))
		b.crash(assignment)
		Expect((<-b.dispatch(resumed(7))).Fault.Reason).To(Equal(model.ReasonSuspectRequest))

		other := newTestDispatcher(DefaultPolicies())
		other.addServers(4, 8)
		for len(b.facts.C()) > 0 {
			fact := (<-b.facts.C()).(peers.Publish).Fact
			fact.Origin = "entry-1"
			other.applyFact(fact)
		}
		refused := <-other.dispatch(func(r *Request) { r.Fingerprint = 7 })
		Expect(refused.Fault.Reason).To(Equal(model.ReasonSuspectRequest))
		Expect(refused.Fault.Executed).To(Equal(model.ExecutedNo))
	})

	ginkgo.It("is no longer suspect after ten minutes", func() {
		dispatchAfterTwoDeaths(7)
		Expect(b.suspects.Level(7)).To(Equal(LevelSuspect))
		b.advance(suspectLifetime + time.Second)
		Expect(b.suspects.Level(7)).To(Equal(LevelClear))
	})

	ginkgo.It("is cleared when it finishes, also on other entry hosts", func() {
		thirdReply := dispatchAfterTwoDeaths(9)
		b.advance(isolationDelay)
		b.reportLoad(nil)
		b.advance(sweepInterval)
		b.handle(Done{ID: (<-thirdReply).Assignment.ID, Outcome: OutcomeDone})
		Expect(b.suspects.Level(9)).To(Equal(LevelClear))
		table := NewSuspectTable("entry-2")
		table.RecordDeath(start, 9, 1, CauseLikely)
		table.Update(start, 9, "entry-1", Suspicion{Weight: 2 * CauseLikely})
		table.Update(start, 9, "entry-1", Suspicion{Isolation: IsolationCleared})
		Expect(table.Level(9)).To(Equal(LevelClear))
	})

	ginkgo.It("clears other requests on the same servers once it is refused as the cause", func() {
		table := NewSuspectTable("entry-1")
		for death := DeathID(1); death <= 2; death++ {
			table.RecordDeath(start, 7, death, CauseLikely)
			table.RecordDeath(start, 8, death, CauseLikely)
		}
		Expect(table.Level(8)).To(Equal(LevelSuspect))
		table.RecordDeath(start, 7, 3, CauseLikely)
		Expect(table.Level(7)).To(Equal(LevelRefuse))
		Expect(table.Level(8)).To(Equal(LevelClear))
	})

	ginkgo.It("is not suspected for lost connections to servers that did not restart", func() {
		for range 3 {
			b.handle(Done{ID: (<-b.dispatch(resumed(5))).Assignment.ID, Outcome: OutcomeBroken})
			b.advance(2 * deathDisproofDelay)
			b.reportLoad(nil)
		}
		Expect(b.suspects.Level(5)).To(Equal(LevelClear))
	})

	ginkgo.It("waits while another entry host runs a suspect on the reserved server", func() {
		thirdReply := dispatchAfterTwoDeaths(7)
		b.applyFact(peers.Fact{Kind: peers.FactSuspect, Key: "advisor/ff", Origin: "entry-9", Value: []byte{byte(2 * CauseLikely), byte(IsolationRunning)}})
		b.advance(isolationDelay)
		b.reportLoad(nil)
		b.advance(sweepInterval)
		Expect(thirdReply).To(BeEmpty())
		b.applyFact(peers.Fact{Kind: peers.FactSuspect, Key: "advisor/ff", Origin: "entry-9", Value: []byte{byte(2 * CauseLikely), byte(IsolationCleared)}})
		b.advance(sweepInterval)
		Expect(thirdReply).To(HaveLen(1))
	})

	ginkgo.It("waits while the reserved server runs requests of other entry hosts", func() {
		thirdReply := dispatchAfterTwoDeaths(7)
		b.advance(isolationDelay)
		b.reportLoad(func(s *backends.ServerState) { s.Load.Running = 1 })
		b.advance(sweepInterval)
		Expect(thirdReply).To(BeEmpty())
	})
})

var _ = ginkgo.Describe("a suspect that runs alone", func() {
	ginkgo.It("is cleared once it has delivered enough tokens, so that the next suspect can start before it ends", func() {
		b := newTestDispatcher(DefaultPolicies())
		b.addServers(4, 8)
		waiting := func(fingerprint model.Fingerprint) <-chan DispatchResult {
			for range suspectDeaths {
				b.crash((<-b.dispatch(resumed(fingerprint))).Assignment)
				b.advance(deathMergeWindow)
			}
			return b.dispatch(resumed(fingerprint))
		}
		first, second := waiting(7), waiting(8)
		b.advance(isolationDelay)
		b.reportLoad(nil)
		b.advance(sweepInterval)
		assignment := (<-first).Assignment
		Expect(assignment.ReportAfter).To(Equal(clearAfterTokens))
		Expect(second).To(BeEmpty())
		b.handle(Progressed{ID: assignment.ID})
		Expect(b.suspects.Level(7)).To(Equal(LevelClear))
		b.advance(isolationDelay)
		b.reportLoad(nil)
		b.advance(sweepInterval)
		Expect((<-second).Assignment.Server).To(Equal(assignment.Server))
	})
})

var _ = ginkgo.Describe("ejection", func() {
	ginkgo.It("never applies to the only server of a service, which would refuse all its requests", func() {
		Expect(mayEjectAnother(0, 1)).To(BeFalse())
		Expect(mayEjectAnother(0, 2)).To(BeTrue())
		Expect(mayEjectAnother(1, 2)).To(BeFalse())
	})
})

var _ = ginkgo.Describe("the weight of a death", func() {
	ginkgo.It("is half for a resumed attempt past its first tokens, so that two unrelated server deaths make no suspect", func() {
		table := NewSuspectTable("entry-1")
		table.RecordDeath(start, 7, 1, weighDeath(false, 200))
		table.RecordDeath(start, 7, 2, weighDeath(true, clearAfterTokens))
		Expect(table.Level(7)).To(Equal(LevelClear))
		table.RecordDeath(start, 7, 3, weighDeath(true, clearAfterTokens-1))
		Expect(table.Level(7)).To(Equal(LevelSuspect))
	})

	ginkgo.It("is full for a first attempt of any length, as content may crash an engine late", func() {
		Expect(weighDeath(false, 10_000)).To(Equal(CauseLikely))
	})
})
