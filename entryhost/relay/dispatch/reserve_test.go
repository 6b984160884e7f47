package dispatch

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a server that is reserved for a request on a silent one", func() {
	var dispatcher *Task
	var replies chan Assignment

	BeforeEach(func() {
		dispatcher, replies = newTestTask(Parameters{Self: "self"}), make(chan Assignment, 1)
		dispatcher.applyView(viewOf(server("a", "here"), server("b", "here")))
	})

	reserve := func() Assignment {
		GinkgoHelper()
		dispatcher.handleAcquire(context.Background(), Acquire{
			Service: "engine", Exclude: map[string]bool{"a": true}, Retry: true, NotPaused: true, WaitUntil: dispatcher.Clock.Now(), Reply: replies,
		})
		var assignment Assignment
		Expect(replies).To(Receive(&assignment))
		return assignment
	}

	It("is not one that failed recently, since the silent one may be sound", func() {
		dispatcher.recordOutcome(dispatcher.servers["b"], OutcomeUnreachable)
		Expect(reserve().Server).To(BeNil())
		dispatcher.Clock.(interface{ Advance(time.Duration) }).Advance(maxPause)
		Expect(reserve().Server.ID).To(Equal("b"))
	})

	It("gives its retry back to the budget if it is not used", func() {
		for range 100 {
			assignment := reserve()
			Expect(assignment.Server).NotTo(BeNil(), "the budget is spent, although nothing was sent")
			assignment.Connection.Close()
			dispatcher.handleRelease(context.Background(), Release{Lease: assignment.Lease, Outcome: OutcomeNone, Unused: true})
		}
	})
})
