package dispatch

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// runsProber is a Prober whose engines are alive and report one run.
type runsProber struct{ fakeProber }

func (runsProber) Probe(context.Context, string) (EngineReport, error) {
	return EngineReport{IsEngine: true, Runs: map[string]int{"run": 7}}, nil
}

var _ = Describe("a server whose registration ends while it runs requests", func() {
	var dispatcher *Task
	var assigned Assignment

	BeforeEach(func() {
		dispatcher = newTestTask(Parameters{Self: "self", Prober: runsProber{}})
		dispatcher.applyView(viewOf(server("a", "here")))
		replies := make(chan Assignment, 1)
		dispatcher.handleAcquire(context.Background(), Acquire{Service: "engine", Reply: replies})
		Expect(replies).To(Receive(&assigned))
		DeferCleanup(assigned.Connection.Close)
		dispatcher.applyView(viewOf())
	})

	It("is probed and not taken for dead, since a server that leaves finishes its runs", func() {
		results := make(chan CheckResult, 1)
		dispatcher.handleCheck(context.Background(), Check{Server: "a", Reply: results})
		var message Message
		Eventually(dispatcher.mailbox.C()).Should(Receive(&message))
		dispatcher.finishCheck(message.(checkDone))
		var result CheckResult
		Expect(results).To(Receive(&result))
		Expect(result.Alive).To(BeTrue())
		Expect(result.Runs).To(HaveKey("run"))
	})

	It("takes no new request and is forgotten when its last run has ended", func() {
		replies := make(chan Assignment, 1)
		dispatcher.handleAcquire(context.Background(), Acquire{Service: "engine", Reply: replies})
		var refused Assignment
		Expect(replies).To(Receive(&refused))
		Expect(refused.Server).To(BeNil())
		dispatcher.handleRelease(context.Background(), Release{Lease: assigned.Lease, Outcome: OutcomeSuccess})
		Expect(dispatcher.servers).To(BeEmpty())
	})
})
