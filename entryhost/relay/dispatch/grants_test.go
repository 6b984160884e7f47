package dispatch

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/loads"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/task"
)

// collectorLink is a host's link to the collectors of its data centre.
type collectorLink struct {
	collectors map[string]task.Mailbox[loads.Exchange]
	// down are the collectors that do not answer, asked those that were asked.
	down  map[string]bool
	asked chan string
	// earlier is set if the collector is of a build without grants, and withoutFailures if
	// it is of one that does not share failures.
	earlier         bool
	withoutFailures bool
}

// Exchange implements LoadExchanger.
func (l *collectorLink) Exchange(ctx context.Context, collector string, report loads.HostLoads) (loads.Others, error) {
	l.asked <- collector
	if l.down[collector] {
		return loads.Others{}, errors.New("cut off")
	}
	if l.earlier {
		report.Proposals, report.Pending, report.FirstEvents = nil, nil, nil
	}
	if l.withoutFailures {
		for id, load := range report.Servers {
			load.Failed = 0
			report.Servers[id] = load
		}
	}
	return task.Call(ctx, l.collectors[collector], func(reply task.Reply[loads.Others]) loads.Exchange {
		return loads.Exchange{Report: report, Reply: reply}
	})
}

var _ = Describe("the hosts of a data centre", func() {
	const hostCount, engineCount = 8, 8
	var clock *clockwork.FakeClock
	var hosts []*Task
	var links []*collectorLink
	var addresses []routing.Host
	var replies []chan Assignment

	BeforeEach(func(ctx SpecContext) {
		clock = clockwork.NewFakeClock()
		hosts, links, addresses, replies = nil, nil, nil, nil
		collectors := map[string]task.Mailbox[loads.Exchange]{}
		running, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		for i := range hostCount {
			address := fmt.Sprintf("10.1.0.%d:1", i)
			addresses = append(addresses, routing.Host{Address: address, DataCentre: "here"})
			collector := loads.NewTask(clock)
			collectors[address] = collector.Mailbox()
			go func() { _ = collector.Serve(running) }()
		}
		var engines []*routing.Server
		for i := range engineCount {
			engines = append(engines, server(fmt.Sprintf("10.2.0.%d:80", i), "here"))
		}
		view := viewOf(engines...)
		view.Config = &routing.Config{Services: map[string]routing.Service{"engine": {Name: "engine", Engine: &routing.Engine{}}}}
		for i := range hostCount {
			links = append(links, &collectorLink{collectors: collectors, down: map[string]bool{}, asked: make(chan string, 64)})
			host := newTestTask(Parameters{Self: addresses[i].Address, Prober: fakeProber{}, Loads: links[i]})
			host.Clock = clock
			host.applyHosts(slices.DeleteFunc(slices.Clone(addresses), func(other routing.Host) bool { return other.Address == host.Self }))
			host.applyView(view)
			hosts = append(hosts, host)
			replies = append(replies, make(chan Assignment, 4))
		}
	})

	ask := func(ctx context.Context, host int) {
		hosts[host].handle(ctx, Acquire{Service: "engine", WaitUntil: clock.Now(), Reply: task.Reply[Assignment](replies[host])})
	}
	// next lets the host handle the result of an exchange.
	next := func(ctx context.Context, host int) {
		GinkgoHelper()
		var result Message
		Eventually(hosts[host].mailbox.C()).Should(Receive(&result))
		hosts[host].handle(ctx, result)
	}
	// chosen returns the engine of a stream of the host; further messages are those of
	// its reports.
	chosen := func(host int) string {
		GinkgoHelper()
		var assigned Assignment
		Expect(replies[host]).To(Receive(&assigned))
		Expect(assigned.Server).NotTo(BeNil())
		assigned.Connection.Close()
		return assigned.Server.ID
	}
	stream := func(ctx context.Context, host int) string {
		GinkgoHelper()
		ask(ctx, host)
		next(ctx, host)
		engine := chosen(host)
		next(ctx, host)
		return engine
	}

	// Guards against hosts that see the same idle engine and choose it together.
	It("choose different engines when they ask at the same moment", func(ctx SpecContext) {
		engines := map[string]bool{}
		for i := range hosts {
			ask(ctx, i)
			Eventually(hosts[i].mailbox.C()).Should(HaveLen(1))
		}
		for i := range hosts {
			next(ctx, i)
			engines[chosen(i)] = true
		}
		Expect(engines).To(HaveLen(engineCount))
	})

	// Guards against an engine that counts as taken after its stream has ended.
	It("free a granted engine with the report of the choice", func(ctx SpecContext) {
		ask(ctx, 0)
		next(ctx, 0)
		var assigned Assignment
		Expect(replies[0]).To(Receive(&assigned))
		assigned.Connection.Close()
		next(ctx, 0)
		hosts[0].handle(ctx, Release{Lease: assigned.Lease, Outcome: OutcomeSuccess})
		hosts[0].reportDue(ctx)
		next(ctx, 0)
		engines := map[string]bool{}
		for i := range engineCount {
			engines[stream(ctx, i)] = true
		}
		Expect(engines).To(HaveLen(engineCount))
	})

	// Guards against a fleet of two builds whose hosts do not see each other's choices.
	It("see the grants of others also if they are of an earlier build, and get along without grants", func(ctx SpecContext) {
		links[1].earlier = true
		taken := map[string]bool{}
		for i := 2; i < hostCount; i++ {
			ask(ctx, i)
			Eventually(hosts[i].mailbox.C()).Should(HaveLen(1))
		}
		for range 2 {
			taken[stream(ctx, 1)] = true
		}
		for i := 2; i < hostCount; i++ {
			next(ctx, i)
			taken[chosen(i)] = true
		}
		Expect(taken).To(HaveLen(engineCount))
	})

	// Guards against a new host that takes the engines of others, or against engines that
	// nobody prefers after one has left.
	It("divide the engines anew when a host joins or leaves", func(ctx SpecContext) {
		owners := func(hosts ...*Task) (owned map[string]int) {
			owned = map[string]int{}
			for _, host := range hosts {
				for _, c := range host.candidates("engine", clock.Now()) {
					if c.owned {
						owned[c.server.ID]++
					}
				}
			}
			return owned
		}
		once := HaveEach(1)
		Expect(owners(hosts...)).To(And(HaveLen(engineCount), once))
		for i, host := range hosts[1:] {
			host.applyHosts(slices.Delete(slices.Clone(addresses[1:]), i, i+1))
		}
		Expect(owners(hosts[1:]...)).To(And(HaveLen(engineCount), once), "the first host has left")
		for i, host := range hosts {
			host.applyHosts(slices.Delete(slices.Clone(addresses), i, i+1))
		}
		Expect(owners(hosts...)).To(And(HaveLen(engineCount), once), "it has joined again")
	})

	// Guards against an engine that fails each request at once and so is always idle: each
	// host learned of it by requests of its own, until these had no attempt left.
	DescribeTable("send few requests to an engine that fails each at once while the others are busy",
		func(ctx SpecContext, shared bool, expected types.GomegaMatcher) {
			failing, failed := "10.2.0.0:80", 0
			for i := range 3 * hostCount {
				host := i % hostCount
				links[host].withoutFailures = !shared
				for served := false; !served; {
					ask(ctx, host)
					next(ctx, host)
					var assigned Assignment
					Expect(replies[host]).To(Receive(&assigned))
					assigned.Connection.Close()
					next(ctx, host)
					if served = assigned.Server.ID != failing; served {
						continue
					}
					failed++
					hosts[host].handle(ctx, Release{Lease: assigned.Lease, Outcome: OutcomeFailed})
					hosts[host].reportDue(ctx)
					next(ctx, host)
				}
			}
			Expect(failed).To(expected)
		},
		Entry("as each host learns of it for itself, without shared failures", false, BeNumerically(">=", hostCount)),
		Entry("with shared failures", true, BeNumerically("<", hostCount)),
	)

	// Guards against a host that takes what it saw before it was frozen for the present.
	It("ask again after they were frozen, since the view and the grant are old", func(ctx SpecContext) {
		ask(ctx, 0)
		Eventually(hosts[0].mailbox.C()).Should(HaveLen(1))
		clock.Advance(loadsLifetime + time.Second)
		taken := map[string]bool{}
		for i := 1; i < hostCount; i++ {
			taken[stream(ctx, i)] = true
		}
		next(ctx, 0)
		Expect(replies[0]).NotTo(Receive())
		next(ctx, 0)
		Expect(taken).NotTo(HaveKey(chosen(0)))
	})

	// Guards against streams that are chosen blindly since the collector has just failed.
	It("ask the next collector at once when one does not answer", func(ctx SpecContext) {
		down := hosts[0].collectorOf("here")
		for i := range links {
			links[i].down[down] = true
		}
		engines := map[string]bool{}
		for i := range hosts {
			ask(ctx, i)
			next(ctx, i)
			next(ctx, i)
			engines[chosen(i)] = true
			next(ctx, i)
		}
		Expect(engines).To(HaveLen(engineCount))
		Expect(<-links[0].asked).To(Equal(down))
		Expect(<-links[0].asked).NotTo(Equal(down))
	})

	// Guards against a host that stays with another collector than the rest after one
	// call that took too long, and against an attempt that no collector learns of.
	It("return to a collector that answers again, and repeat a report that failed", func(ctx SpecContext) {
		first := hosts[0].collectorOf("here")
		hosts[0].handle(ctx, Acquire{Service: "engine", WaitUntil: clock.Now(), Reply: task.Reply[Assignment](replies[0])})
		next(ctx, 0)
		Expect(<-links[0].asked).To(Equal(first))
		taken := chosen(0)
		next(ctx, 0)
		Expect(<-links[0].asked).To(Equal(first))

		links[0].down[first] = true
		hosts[0].reportAttempt(ctx, hosts[0].servers[taken].server)
		next(ctx, 0)
		Expect(<-links[0].asked).To(Equal(first))
		hosts[0].reportDue(ctx)
		next(ctx, 0)
		Expect(<-links[0].asked).NotTo(Equal(first))
		clock.Advance(minCollectorCooldown)
		Expect(hosts[0].collectorOf("here")).To(Equal(first))

		for range 5 {
			hosts[0].reportAttempt(ctx, hosts[0].servers[taken].server)
			next(ctx, 0)
			clock.Advance(minCollectorCooldown)
		}
		Expect(hosts[0].collectorOf("here")).NotTo(Equal(first), "it fails again and again")
	})

	// Guards against hosts without any collector that choose the engines of each other.
	It("choose their own idle engines first when they are cut off from all collectors", func(ctx SpecContext) {
		for _, address := range addresses {
			links[0].down[address.Address] = true
		}
		owned := map[string]bool{}
		for _, c := range hosts[0].candidates("engine", clock.Now()) {
			if c.owned {
				owned[c.server.ID] = true
			}
		}
		engines := map[string]bool{}
		for range owned {
			ask(ctx, 0)
			for len(replies[0]) == 0 {
				next(ctx, 0)
			}
			engines[chosen(0)] = true
		}
		Expect(slices.Sorted(maps.Keys(engines))).To(Equal(slices.Sorted(maps.Keys(owned))))
	})
})

var _ = Describe("the speed of an engine", func() {
	// Guards against a slow engine that gets as many streams as a fast one, and against
	// times that include the wait for another prompt.
	It("is that of attempts that found no other prompt there", func(ctx SpecContext) {
		dispatcher := newFleetTask(10, 2, 1, 0)
		first := func(id string, took time.Duration, others int) {
			replies := make(chan Assignment, 1)
			dispatcher.shared["here"] = sharedLoads{askedAt: dispatcher.Clock.Now(), others: loads.Others{Servers: map[string]loads.Load{id: {Reading: others}}}}
			dispatcher.tryAssign(ctx, Acquire{Service: "engine", Prefer: id, Reply: task.Reply[Assignment](replies)})
			assigned := <-replies
			assigned.Connection.Close()
			dispatcher.Clock.(*clockwork.FakeClock).Advance(took)
			dispatcher.shared["here"] = sharedLoads{askedAt: dispatcher.Clock.Now()}
			dispatcher.handle(ctx, FirstEventSent{Lease: assigned.Lease})
			dispatcher.handle(ctx, Release{Lease: assigned.Lease, Outcome: OutcomeSuccess})
		}
		ids := slices.Sorted(maps.Keys(dispatcher.servers))
		for range 10 {
			for i, id := range ids {
				first(id, time.Second+time.Duration(i/9)*200*time.Millisecond, 0)
				first(id, 5*time.Second, 1)
			}
		}
		Expect(dispatcher.speeds.Slowdown(ids[0])).To(BeNumerically("~", 0, 0.01))
		Expect(dispatcher.speeds.Slowdown(ids[9])).To(BeNumerically("~", 0.2, 0.01))
		first(ids[0], time.Second, 0)
		Expect(dispatcher.loadReport("here").FirstEvents).To(Equal(map[string]loads.FirstEvent{ids[0]: {Service: "engine", Seconds: 1}}))
	})
})
