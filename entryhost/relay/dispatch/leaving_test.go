package dispatch

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/catalog"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/task"
)

// healthyProber is a Prober whose servers are healthy and do not leave.
type healthyProber struct{ fakeProber }

func (healthyProber) CheckHealth(context.Context, string, string, string) error { return nil }

// Guards against work for a server that leaves, for as long as its registration says
// otherwise, and against a server that gets no work after another process has taken its
// id.
var _ = Describe("a server that states that it leaves", func() {
	var dispatcher *Task
	var clock *clockwork.FakeClock
	var lease Lease

	started := func(id string, startedAt time.Duration) *routing.Server {
		registered := server(id, "here")
		registered.StartedAt = startedAt
		return registered
	}
	withHealth := func(view *catalog.View) *catalog.View {
		view.Config = &routing.Config{Services: map[string]routing.Service{"engine": {Name: "engine", HealthPath: "/health"}}}
		return view
	}
	acquire := func(ctx context.Context, request Acquire) Assignment {
		GinkgoHelper()
		reply := make(chan Assignment, 1)
		request.Service, request.Reply = "engine", task.Reply[Assignment](reply)
		dispatcher.handle(ctx, request)
		return <-reply
	}
	takesWork := func(ctx context.Context) bool {
		got := acquire(ctx, Acquire{Prefer: "a", OnlyPreferred: true})
		return got.Server != nil
	}
	prepare := func(ctx context.Context, prober Prober) {
		dispatcher = newTestTask(Parameters{Self: "self", Prober: prober})
		clock = dispatcher.Clock.(*clockwork.FakeClock)
		dispatcher.applyView(withHealth(viewOf(started("a", 1), started("b", 1))))
		assigned := acquire(ctx, Acquire{Prefer: "a"})
		Expect(assigned.Server.ID).To(Equal("a"))
		lease = assigned.Lease
	}
	BeforeEach(func(ctx SpecContext) { prepare(ctx, fakeProber{}) })

	It("gets neither requests nor copies, and its idle connections are closed", func(ctx SpecContext) {
		state := dispatcher.servers["a"]
		idle := exchange.Open(ctx, "a", "a", nil, dispatcher.reports)
		dispatcher.handleReport(exchange.Report{Connection: idle, Idle: true, IdleTimeout: time.Minute})
		Expect(state.idle).To(HaveLen(1))
		dispatcher.handle(ctx, ServerLeaving{Lease: lease})
		Expect(state.idle).To(BeEmpty())
		Expect(takesWork(ctx)).To(BeFalse())
		Expect(acquire(ctx, Acquire{Prefer: "a"}).Server.ID).To(Equal("b"))
		Expect(acquire(ctx, Acquire{Prefer: "b", Backup: true}).Backup).To(BeNil())
		dispatcher.handleReport(exchange.Report{Connection: idle, Idle: true, IdleTimeout: time.Minute})
		Expect(state.idle).To(BeEmpty(), "a connection that becomes idle later")
	})

	It("is not given to requests that wait already", func(ctx SpecContext) {
		dispatcher.handle(ctx, ServerLeaving{Lease: lease})
		dispatcher.applyView(withHealth(viewOf(started("a", 1))))
		reply := make(chan Assignment, 1)
		dispatcher.handle(ctx, Acquire{Service: "engine", WaitUntil: clock.Now().Add(time.Second), Reply: task.Reply[Assignment](reply)})
		dispatcher.retryWaiting(ctx)
		Expect(reply).NotTo(Receive())
	})

	It("is reported as lost to requests that have a copy on it", func(ctx SpecContext) {
		lost := make(chan string, 2)
		assigned := acquire(ctx, Acquire{Prefer: "b", Backup: true, CopyLost: lost})
		Expect(assigned.Backup.ID).To(Equal("a"))
		dispatcher.handle(ctx, ServerLeaving{Lease: lease})
		Expect(lost).To(Receive(Equal("a")))
	})

	It("is still out of use when its registration has lapsed and come back", func(ctx SpecContext) {
		dispatcher.handle(ctx, ServerLeaving{Lease: lease})
		dispatcher.handle(ctx, Release{Lease: lease, Outcome: OutcomeSuccess})
		dispatcher.applyView(withHealth(viewOf(started("b", 1))))
		clock.Advance(20 * time.Second)
		dispatcher.applyView(withHealth(viewOf(started("a", 1), started("b", 1))))
		Expect(takesWork(ctx)).To(BeFalse())
	})

	It("is forgotten when it has been gone for long", func(ctx SpecContext) {
		dispatcher.handle(ctx, ServerLeaving{Lease: lease})
		dispatcher.applyView(withHealth(viewOf(started("b", 1))))
		clock.Advance(leavingLifetime + time.Second)
		dispatcher.applyView(withHealth(viewOf(started("b", 1))))
		Expect(dispatcher.leaving).To(BeEmpty())
	})

	It("is replaced by another process that is registered under its id", func(ctx SpecContext) {
		dispatcher.handle(ctx, ServerLeaving{Lease: lease})
		dispatcher.applyView(withHealth(viewOf(started("a", 2), started("b", 1))))
		Expect(takesWork(ctx)).To(BeTrue())

		By("about which a late response of the former one says nothing")
		dispatcher.handle(ctx, ServerLeaving{Lease: lease})
		Expect(takesWork(ctx)).To(BeTrue())
	})

	It("is checked while its registration stays as it was, and used if another process with its id answers", func(ctx SpecContext) {
		prepare(ctx, healthyProber{})
		dispatcher.handle(ctx, ServerLeaving{Lease: lease})
		dispatcher.checkLeaving(ctx)
		Consistently(dispatcher.mailbox.Len, 50*time.Millisecond).Should(BeZero(), "at once")
		clock.Advance(leavingCheckInterval)
		dispatcher.checkLeaving(ctx)
		dispatcher.checkLeaving(ctx)
		var message Message
		Eventually(dispatcher.mailbox.C()).Should(Receive(&message))
		Consistently(dispatcher.mailbox.Len, 50*time.Millisecond).Should(BeZero(), "one check for each interval")
		dispatcher.handle(ctx, message)
		Expect(takesWork(ctx)).To(BeTrue())
	})

	It("is not used while it answers checks that it leaves, and not checked once it is registered as draining", func(ctx SpecContext) {
		dispatcher.handle(ctx, ServerLeaving{Lease: lease})
		clock.Advance(leavingCheckInterval)
		dispatcher.checkLeaving(ctx)
		var message Message
		Eventually(dispatcher.mailbox.C()).Should(Receive(&message))
		dispatcher.handle(ctx, message)
		Expect(takesWork(ctx)).To(BeFalse())
		draining := started("a", 1)
		draining.Draining = true
		dispatcher.applyView(withHealth(viewOf(draining, started("b", 1))))
		clock.Advance(leavingCheckInterval)
		dispatcher.checkLeaving(ctx)
		Consistently(dispatcher.mailbox.Len, 50*time.Millisecond).Should(BeZero())
	})

	It("is out of use also if it was adopted, and its own registration arrives later", func(ctx SpecContext) {
		adopted := started("later", 0)
		adopted.Address = "a"
		dispatcher.adopt(adoption{server: adopted, former: started("a", 1), adoptedAt: clock.Now()})
		assigned := acquire(ctx, Acquire{Prefer: "later", OnlyPreferred: true})
		Expect(assigned.Server).NotTo(BeNil())
		dispatcher.handle(ctx, ServerLeaving{Lease: assigned.Lease})
		own := started("later", 5)
		own.Address = "a"
		dispatcher.applyView(withHealth(viewOf(own, started("b", 1))))
		Expect(acquire(ctx, Acquire{Prefer: "later", OnlyPreferred: true}).Server).To(BeNil())
	})
})
