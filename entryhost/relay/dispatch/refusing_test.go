package dispatch

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/task"
)

// Guards against requests that go on to a server that has asked for none, and against a server
// or a caller that is shut out for longer than was asked.
var _ = Describe("a server that asks for no requests for a time", func() {
	var dispatcher *Task
	var clock *clockwork.FakeClock
	registered := func(id string, startedAt time.Duration) *routing.Server {
		server := server(id, "here")
		server.StartedAt = startedAt
		return server
	}
	request := func(wait time.Duration) chan Assignment {
		reply := make(chan Assignment, 1)
		dispatcher.handle(dispatcher.lifetime, Acquire{Service: "engine", WaitUntil: clock.Now().Add(wait), Reply: task.Reply[Assignment](reply)})
		return reply
	}
	refuse := func(id string, time time.Duration) {
		GinkgoHelper()
		reply := make(chan Assignment, 1)
		dispatcher.handle(dispatcher.lifetime, Acquire{Service: "engine", Prefer: id, Reply: task.Reply[Assignment](reply)})
		granted := <-reply
		Expect(granted.Server.ID).To(Equal(id))
		dispatcher.handle(dispatcher.lifetime, ServerRefuses{Lease: granted.Lease, For: time})
	}
	BeforeEach(func() {
		dispatcher = newTestTask(Parameters{Self: "self", Prober: fakeProber{}})
		clock = dispatcher.Clock.(*clockwork.FakeClock)
		dispatcher.applyView(viewOf(registered("a", 1), registered("b", 1)))
	})

	It("gets none until then", func() {
		refuse("a", 2*time.Second)
		for range 10 {
			Expect((<-request(0)).Server.ID).To(Equal("b"))
		}
		clock.Advance(2 * time.Second)
		reply := make(chan Assignment, 1)
		dispatcher.handle(dispatcher.lifetime, Acquire{Service: "engine", Prefer: "a", Reply: task.Reply[Assignment](reply)})
		Expect((<-reply).Server.ID).To(Equal("a"))
	})

	It("is not asked sooner since it states a shorter time later", func() {
		reply := request(0)
		first := <-reply
		refuse(first.Server.ID, 5*time.Second)
		dispatcher.handle(dispatcher.lifetime, ServerRefuses{Lease: first.Lease, For: time.Second})
		clock.Advance(2 * time.Second)
		Expect((<-request(0)).Server.ID).NotTo(Equal(first.Server.ID))
	})

	It("makes its service refuse at once with the shortest of the times, if the others ask too", func() {
		refuse("a", 4*time.Second)
		refuse("b", 2*time.Second)
		var got Assignment
		Expect(request(time.Second)).To(Receive(&got), "at once")
		Expect(got.Refusal).To(Equal(RefusedByServers))
		Expect(got.RetryAfter).To(And(BeNumerically(">=", 2*time.Second), BeNumerically("<=", 2500*time.Millisecond)))
	})

	It("does not make its service refuse while another server may take the request soon", func() {
		refuse("a", 4*time.Second)
		dispatcher.servers["b"].open = 1 << 30
		dispatcher.view.Config = &routing.Config{Services: map[string]routing.Service{"engine": {Name: "engine", MaxConnections: 1}}}
		Expect(request(time.Second)).NotTo(Receive())
	})

	It("is another one after its restart, also under its id", func() {
		refuse("a", time.Minute)
		dispatcher.applyView(viewOf(registered("a", 2)))
		Expect((<-request(0)).Server.ID).To(Equal("a"))
	})

	It("still wants none after its registration has lapsed and come back", func() {
		refuse("a", 10*time.Second)
		dispatcher.applyView(viewOf(registered("b", 1)))
		dispatcher.applyView(viewOf(registered("a", 1)))
		Expect((<-request(0)).Refusal).To(Equal(RefusedByServers))
	})
})
