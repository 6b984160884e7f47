package admission

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "admission")
}

const service model.ServiceName = "advisor"

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newQueuedDispatch(organisation string, cost int) WaitingDispatch {
	return WaitingDispatch{Dispatch: Dispatch{Request: Request{Organisation: model.OrganisationID(organisation), Cost: cost}}}
}

func serverState(id string, capacity int, change func(*backends.ServerState)) backends.ServerState {
	state := backends.ServerState{
		Host:      model.Host{ID: id, Role: model.RoleBackend, Service: service, DataCentre: "jkt"},
		Load:      enginewire.LoadReport{Versions: []string{"v1"}, Capacity: capacity, Incarnation: 1},
		LoadAt:    start,
		Reachable: true,
	}
	if change != nil {
		change(&state)
	}
	return state
}

// testDispatcher is a dispatcher whose messages and clock the test controls; its
// task does not run.
type testDispatcher struct {
	*Dispatcher
	clock *clockwork.FakeClock
	facts task.Mailbox[peers.Message]
}

func newTestDispatcher(policies Policies) *testDispatcher {
	clock := clockwork.NewFakeClockAt(start)
	facts := task.NewMailbox[peers.Message](64)
	dispatcher := NewDispatcher(service, Environment{
		Host: "entry-1", Home: "jkt", Policies: policies, Facts: facts, Clock: clock,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metrics.NewSet(),
	}, rand.New(rand.NewPCG(1, 1)))
	dispatcher.configuration = &model.Configuration{Services: map[model.ServiceName]model.Service{
		service: {Name: service, Kind: model.ServiceEngine, Shares: []model.VersionShare{{Version: "v1", Share: model.FullShare}}},
	}}
	return &testDispatcher{Dispatcher: dispatcher, clock: clock, facts: facts}
}

func (b *testDispatcher) addServers(count, capacity int) {
	for i := range count {
		b.updateServer(serverState(fmt.Sprintf("engine-%d", i), capacity, nil))
	}
}

func (b *testDispatcher) dispatch(change func(*Request)) <-chan DispatchResult {
	reply := make(chan DispatchResult, 1)
	request := Request{ID: "r", Service: service, Organisation: "wands", Deadline: b.clock.Now().Add(time.Minute), Cost: 10}
	if change != nil {
		change(&request)
	}
	b.handle(Dispatch{Request: request, Reply: reply, Cancelled: make(chan struct{})})
	b.assignWaiting()
	return reply
}

// reportLoad repeats the load report of all servers at the present time.
func (b *testDispatcher) reportLoad(change func(*backends.ServerState)) {
	for _, slots := range b.Dispatcher.servers {
		state := *slots.state
		state.LoadAt = b.clock.Now()
		if change != nil {
			change(&state)
		}
		b.updateServer(state)
	}
}

func (b *testDispatcher) advance(duration time.Duration) {
	b.clock.Advance(duration)
	b.sweep()
	b.assignWaiting()
}

var _ = ginkgo.Describe("the fair queue", func() {
	drain := func(queue *FairQueue, count int) map[model.OrganisationID]int {
		served := make(map[model.OrganisationID]int)
		for range count {
			queue.Next(func(waiting WaitingDispatch) (float64, bool) {
				served[waiting.Dispatch.Request.Organisation]++
				return float64(waiting.Dispatch.Request.Cost), true
			})
		}
		return served
	}

	ginkgo.It("serves equal organisations equally while one has ten times the work", func() {
		queue := NewFairQueue()
		for i := range 100 {
			queue.Push(newQueuedDispatch("noisy", 1))
			if i%10 == 0 {
				queue.Push(newQueuedDispatch("quiet", 1))
			}
		}
		Expect(drain(queue, 20)).To(Equal(map[model.OrganisationID]int{"noisy": 10, "quiet": 10}))
	})

	ginkgo.It("does not charge an organisation for tokens that were not generated", func() {
		queue := NewFairQueue()
		for range 50 {
			queue.Push(newQueuedDispatch("stops-early", 10))
			queue.Push(newQueuedDispatch("exact", 1))
		}
		served := make(map[model.OrganisationID]int)
		for range 40 {
			var last Request
			queue.Next(func(waiting WaitingDispatch) (float64, bool) {
				last = waiting.Dispatch.Request
				return float64(last.Cost), true
			})
			served[last.Organisation]++
			queue.Credit(last.Organisation, float64(last.Cost-1))
		}
		Expect(served["stops-early"]).To(BeNumerically("~", 20, 1))
	})

	ginkgo.It("gives no credit for idle time", func() {
		queue := NewFairQueue()
		for range 50 {
			queue.Push(newQueuedDispatch("early", 1))
		}
		drain(queue, 30)
		for range 50 {
			queue.Push(newQueuedDispatch("late", 1))
		}
		served := drain(queue, 20)
		Expect(served["late"]).To(BeNumerically("~", 10, 1))
	})

	ginkgo.It("does not let a version without servers block another version", func() {
		queue := NewFairQueue()
		for i := range 20 {
			blocked := newQueuedDispatch(fmt.Sprint("a", i), 1)
			blocked.Dispatch.Request.Version = "gone"
			queue.Push(blocked)
		}
		served := newQueuedDispatch("z", 1)
		served.Dispatch.Request.Version = "v1"
		queue.Push(served)
		Expect(queue.Next(func(waiting WaitingDispatch) (float64, bool) {
			return 1, waiting.Dispatch.Request.Version == "v1"
		})).To(BeTrue())
		Expect(queue.Len()).To(Equal(20))
	})

	ginkgo.It("counts every dispatch after any sequence of operations", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			queue := NewFairQueue()
			expected := make(map[model.OrganisationID]int)
			total := 0
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				id := model.OrganisationID(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "organisation")))
				switch rapid.IntRange(0, 6).Draw(t, "step") {
				case 0, 1, 2:
					waiting := newQueuedDispatch(string(id), 1)
					waiting.Dispatch.Request.Resume = rapid.Bool().Draw(t, "resume")
					waiting.Dispatch.Request.Version = rapid.SampledFrom([]model.Version{"v1", "v2"}).Draw(t, "version")
					queue.Push(waiting)
					expected[id]++
					total++
				case 3, 4:
					refuse := rapid.IntRange(0, 5).Draw(t, "refused")
					queue.Next(func(waiting WaitingDispatch) (float64, bool) {
						refuse--
						if refuse >= 0 {
							return 0, false
						}
						expected[waiting.Dispatch.Request.Organisation]--
						total--
						return float64(rapid.IntRange(1, 5).Draw(t, "cost")), true
					})
				case 5:
					queue.RemoveIf(func(waiting WaitingDispatch) bool { return waiting.Dispatch.Request.Organisation == id })
					total -= expected[id]
					expected[id] = 0
				case 6:
					queue.Credit(id, float64(rapid.IntRange(0, 5).Draw(t, "credit")))
				}
				active := 0
				for organisation, count := range expected {
					if queue.WaitingOf(organisation) != count {
						t.Fatalf("organisation %s has %d, expected %d", organisation, queue.WaitingOf(organisation), count)
					}
					if count > 0 {
						active++
					}
				}
				if queue.Len() != total || queue.Active() != active {
					t.Fatalf("length %d active %d, expected %d and %d", queue.Len(), queue.Active(), total, active)
				}
			}
			for total > 0 {
				if !queue.Next(func(WaitingDispatch) (float64, bool) { return 1, true }) {
					t.Fatalf("%d dispatches are lost in the queue", total)
				}
				total--
			}
		})
	})
})

var _ = ginkgo.Describe("the limit of a server", func() {
	ginkgo.It("starts slowly, grows while in use and stays within the capacity", func() {
		limiter := NewLimiter(32)
		Expect(limiter.Limit()).To(Equal(initialLimit))
		for i := range 20 {
			limiter.ApplyReport(start.Add(time.Duration(i)*time.Second), limiter.Limit(), 0, Balance{Step: 1})
			Expect(limiter.Limit()).To(BeNumerically("<=", 32))
		}
		Expect(limiter.Limit()).To(Equal(32))
	})

	ginkgo.It("decreases once for one incident that fails many attempts", func() {
		limiter := NewLimiter(32)
		limiter.limit = 32
		for range 16 {
			limiter.ApplyOutcome(start.Add(time.Second), LimitSample{Outcome: OutcomeBroken, Started: start})
		}
		Expect(limiter.Limit()).To(Equal(16))
	})

	ginkgo.It("decreases when requests queue in the server and when first tokens are late", func() {
		limiter := NewLimiter(32)
		limiter.limit = 32
		limiter.ApplyReport(start, 32, 20, Balance{Step: 1})
		Expect(limiter.Limit()).To(Equal(27))
		limiter.ApplyReport(start.Add(time.Second), 27, 20, Balance{Step: 1, Share: 0.9})
		Expect(limiter.Limit()).To(Equal(28), "27 of 32 is within nine tenths of the capacity")
		sample := LimitSample{Outcome: OutcomeDone, Started: start.Add(time.Second), FirstToken: 20 * time.Millisecond, InFlight: 27}
		limiter.ApplyOutcome(start.Add(2*time.Second), sample)
		before := limiter.Limit()
		sample.FirstToken = time.Second
		limiter.ApplyOutcome(start.Add(2*time.Second), sample)
		Expect(limiter.Limit()).To(BeNumerically("<", before))
	})
})

var _ = ginkgo.Describe("the estimated generation time", func() {
	ginkgo.It("follows the generations that stop early when lengths vary", func() {
		random := rand.New(rand.NewPCG(1, 2))
		var generationTime GenerationTime
		for range 2000 {
			generationTime.Observe(Done{Tokens: 2 + random.IntN(998), MeanGap: 10 * time.Millisecond}, 1000)
		}
		Expect(generationTime.Estimate(1000)).To(BeNumerically("<", 3*time.Second), "the mean is 5 s")
	})
})

var _ = ginkgo.Describe("the retry budget", func() {
	ginkgo.It("limits resumed attempts to a tenth of the traffic beyond the reserve", func() {
		budget := NewRetryBudget(start)
		spent := 0
		for range 500 {
			budget.Earn()
			for _, organisation := range []model.OrganisationID{"a", "b", "c"} {
				if budget.Spend(start, organisation) {
					spent++
				}
			}
		}
		Expect(spent).To(And(BeNumerically(">", 20), BeNumerically("<=", retryReserve+50)))
	})

	ginkgo.It("leaves half of the budget to the others when one organisation fails constantly", func() {
		budget := NewRetryBudget(start)
		for range 100 {
			budget.Spend(start, "failing")
		}
		others := 0
		for range 8 {
			if budget.Spend(start, "other") {
				others++
			}
		}
		Expect(others).To(Equal(8))
	})
})

var _ = ginkgo.Describe("the estimated load", func() {
	ginkgo.It("does not count this host's requests twice and discounts old reports", func() {
		Expect(estimateLoad(5, 8, 5, 0)).To(Equal(8.0))
		Expect(estimateLoad(9, 5, 5, 0)).To(Equal(9.0))
		Expect(estimateLoad(0, 8, 0, reportHalfLife)).To(Equal(4.0))
	})
})

var _ = ginkgo.Describe("the facts of admission", func() {
	ginkgo.It("are decoded as they were encoded, and malformed ones are rejected", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			fingerprint := model.Fingerprint(rapid.Uint64().Draw(t, "fingerprint"))
			suspicion := Suspicion{Weight: DeathWeight(rapid.IntRange(0, 255).Draw(t, "weight")), Isolation: IsolationState(rapid.IntRange(0, 3).Draw(t, "state"))}
			fact := suspectFact("a/b", fingerprint, suspicion)
			gotFingerprint, got, err := decodeSuspicion(fact)
			if err != nil || gotFingerprint != fingerprint || got != suspicion || factService(fact) != "a/b" {
				t.Fatalf("got %x %v %v", gotFingerprint, got, err)
			}
		})
		open := make(map[model.OrganisationID]int)
		for i := range 9100 {
			open[model.OrganisationID(fmt.Sprint(i))] = i
		}
		fact := usageFact(service, largestUsage(open))
		Expect(len(fact.Value)).To(BeNumerically("<=", peers.MaxFactBytes))
		entries, err := decodeUsage(fact)
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(HaveLen(maxUsageEntries))
		Expect(entries[0]).To(Equal(UsageEntry{Organisation: hashOrganisation("9099"), Open: 9099}))
		_, err = decodeUsage(peers.Fact{Kind: peers.FactUsage, Value: make([]byte, 7)})
		Expect(err).To(HaveOccurred())
		_, _, err = decodeSuspicion(peers.Fact{Kind: peers.FactSuspect, Key: "advisor/zz"})
		Expect(err).To(HaveOccurred())
	})
})

var _ = ginkgo.Describe("the dispatcher", func() {
	ginkgo.It("keeps in-flight counts over a restart and refuses the dispatch on which it failed", func() {
		failing := &failingPicker{}
		router := DefaultRouter()
		router.Picker = failing
		b := newTestDispatcher(Policies{Router: router})
		supervisor := task.NewSupervisor("test", task.DefaultRestartPolicy, b.logger)
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		b.addServers(1, 1)
		assigned := b.dispatch(nil)
		Expect(assigned).To(HaveLen(1))
		first := (<-assigned).Assignment
		b.enqueue(Dispatch{Request: Request{Deadline: b.clock.Now().Add(time.Minute)}, Reply: make(chan DispatchResult, 1)})
		failing.fail = true
		b.Dispatcher.servers["engine-0"].limiter.limit = 2
		b.Dispatcher.servers["engine-0"].limiter.capacity = 2
		supervisor.Add(b.Dispatcher)
		done := supervisor.ServeBackground(ctx)
		send := func() DispatchResult {
			result, err := task.Call(ctx, b.messages, func(reply task.Reply[DispatchResult]) Message {
				return Dispatch{Request: Request{Deadline: b.clock.Now().Add(time.Minute)}, Reply: reply}
			})
			Expect(err).NotTo(HaveOccurred())
			return result
		}
		Expect(send().Fault.Reason).To(Equal(model.ReasonTaskFailed))
		cancel()
		<-done
		Expect(b.assignments).To(HaveKey(first.ID))
		Expect(b.Dispatcher.servers["engine-0"].inFlight).To(Equal(1))
		b.handle(Done{ID: first.ID, Server: first.Server, Outcome: OutcomeDone})
		Expect(b.Dispatcher.servers["engine-0"].inFlight).To(BeZero())
	})

	ginkgo.It("frees the slot when a request ended and its Done was lost", func() {
		b := newTestDispatcher(DefaultPolicies())
		b.addServers(1, 1)
		cancelled := make(chan struct{})
		b.handle(Dispatch{
			Request: Request{Organisation: "wands", Deadline: b.clock.Now().Add(time.Minute)},
			Reply:   make(chan DispatchResult, 1), Cancelled: cancelled,
		})
		b.assignWaiting()
		Expect(b.assignments).To(HaveLen(1))
		close(cancelled)
		b.advance(2 * time.Second)
		Expect(b.assignments).To(HaveLen(1))
		b.advance(doneGrace + time.Second)
		Expect(b.assignments).To(BeEmpty())
		Expect(b.Dispatcher.servers["engine-0"].inFlight).To(BeZero())
	})

	ginkgo.It("refuses a request at once when the queue is too long for its deadline", func() {
		b := newTestDispatcher(DefaultPolicies())
		b.addServers(1, 1)
		for range 20 {
			b.dispatch(func(r *Request) { r.ID = "waiting" })
		}
		b.serviceRate = ServiceRate{perSecond: 2}
		reply := b.dispatch(func(r *Request) { r.Deadline = b.clock.Now().Add(time.Second) })
		Expect(reply).To(HaveLen(1))
		Expect((<-reply).Fault.Reason).To(Equal(model.ReasonDeadlineUnreachable))
	})

	ginkgo.It("counts each refusal and each retry by its reason", func() {
		b := newTestDispatcher(DefaultPolicies())
		b.addServers(2, 8)
		assignment := (<-b.dispatch(nil)).Assignment
		b.handle(Done{ID: assignment.ID, Outcome: OutcomeSilent})
		b.dispatch(func(r *Request) { r.Resume = true })
		b.dispatch(func(r *Request) { r.Deadline = b.clock.Now() })
		var page strings.Builder
		b.metrics.WritePrometheus(&page)
		Expect(page.String()).To(ContainSubstring(`lentilpoint_admission_retries_total{service="advisor",reason="silent"} 1`))
		Expect(page.String()).To(ContainSubstring(`lentilpoint_admission_refusals_total{service="advisor",reason="deadline_passed"} 1`))
	})

	ginkgo.It("defers a resumed request while the retry budget is spent and refuses it after maxRetryWait", func() {
		b := newTestDispatcher(DefaultPolicies())
		for range retryReserve {
			b.budget.Spend(b.clock.Now(), "failing")
			b.budget.Spend(b.clock.Now(), "wands")
		}
		b.budget.reserve = 0
		reply := b.dispatch(resumed(3))
		Expect(b.deferred).To(HaveLen(1))
		for range 3 {
			b.clock.Advance(maxRetryWait / 2)
			b.budget.reserve, b.budget.earned, b.budget.refilledAt = 0, 0, b.clock.Now()
			b.sweep()
		}
		Expect((<-reply).Fault.Reason).To(Equal(model.ReasonRetryBudget))
	})

	ginkgo.It("keeps half of the queue free for the others when one organisation fills it", func() {
		b := newTestDispatcher(DefaultPolicies())
		refused := 0
		for range maxQueueLength {
			if reply := b.dispatch(nil); len(reply) == 1 {
				refused++
			}
		}
		Expect(refused).To(Equal(maxQueueLength / 2))
		Expect(b.dispatch(func(r *Request) { r.Organisation = "bubbles" })).To(BeEmpty())
	})

	ginkgo.It("counts requests on other entry hosts against an organisation's limit and weight", func() {
		b := newTestDispatcher(DefaultPolicies())
		b.addServers(1, 8)
		b.applyFact(peers.Fact{Kind: peers.FactUsage, Key: string(service), Origin: "entry-2",
			Value: usageFact(service, []UsageEntry{{Organisation: hashOrganisation("wands"), Open: 3}}).Value})
		reply := b.dispatch(func(r *Request) { r.MaxOpen = 3 })
		Expect((<-reply).Fault.Reason).To(Equal(model.ReasonQuota))
		alone := b.queueCost(&Request{Organisation: "bubbles", Cost: 10})
		Expect(b.queueCost(&Request{Organisation: "wands", Cost: 10})).To(Equal(4 * alone))
	})

	ginkgo.It("sends no work to a leaving, refusing or unreachable server", func() {
		b := newTestDispatcher(DefaultPolicies())
		b.addServers(3, 8)
		b.updateServer(serverState("engine-0", 8, func(s *backends.ServerState) { s.Host.Leaving = true }))
		b.updateServer(serverState("engine-1", 8, func(s *backends.ServerState) { s.Reachable = false }))
		assignment := (<-b.dispatch(nil)).Assignment
		Expect(assignment.Server).To(Equal(model.ServerID("engine-2")))
		b.handle(Done{ID: assignment.ID, Outcome: OutcomeRefused})
		Expect(b.dispatch(nil)).To(BeEmpty())
	})

	ginkgo.It("ejects a failing server, at most a third of all, and probes it with one request", func() {
		b := newTestDispatcher(DefaultPolicies())
		b.addServers(3, 8)
		fail := func(id model.ServerID, times int) {
			for range times {
				b.recordHealth(id, b.Dispatcher.servers[id], OutcomeError)
			}
		}
		fail("engine-0", ejectAfterFailures)
		fail("engine-1", ejectAfterFailures)
		now := b.clock.Now()
		Expect(b.Dispatcher.servers["engine-0"].health.State(now)).To(Equal(HealthEjected))
		Expect(b.Dispatcher.servers["engine-1"].health.State(now)).To(Equal(HealthGood))
		now = now.Add(firstEjection)
		slots := b.Dispatcher.servers["engine-0"]
		Expect(slots.health.State(now)).To(Equal(HealthProbing))
		Expect(slots.limit(HealthProbing)).To(Equal(1))
		slots.health.Record(now, OutcomeDone, true)
		Expect(slots.health.State(now)).To(Equal(HealthGood))
	})

	ginkgo.It("routes by prefix only within the load bound and drops the prefix on a reset", func() {
		b := newTestDispatcher(DefaultPolicies())
		b.addServers(4, 100)
		for _, slots := range b.Dispatcher.servers {
			slots.limiter.limit = 100
		}
		hashes := []uint64{1, 2, 3}
		b.applyServerEvent(backends.CacheChanged{ID: "engine-3", Stored: hashes})
		first := (<-b.dispatch(func(r *Request) { r.PrefixHashes = hashes })).Assignment
		Expect(first.Server).To(Equal(model.ServerID("engine-3")))
		for range 40 {
			b.dispatch(func(r *Request) { r.PrefixHashes = hashes })
		}
		Expect(b.Dispatcher.servers["engine-3"].inFlight).To(BeNumerically("<=", 14))
		b.applyServerEvent(backends.CacheChanged{ID: "engine-3", Reset: true})
		Expect(b.Dispatcher.servers["engine-3"].prefixes.countLeading(hashes)).To(BeZero())
	})

	ginkgo.It("prefers servers of its own data centre and spills over when these are full", func() {
		b := newTestDispatcher(DefaultPolicies())
		b.addServers(1, 1)
		b.updateServer(serverState("far", 8, func(s *backends.ServerState) { s.Host.DataCentre = "smg" }))
		Expect((<-b.dispatch(nil)).Assignment.Server).To(Equal(model.ServerID("engine-0")))
		Expect((<-b.dispatch(nil)).Assignment.Server).To(Equal(model.ServerID("far")))
	})
})

type failingPicker struct{ fail bool }

func (p *failingPicker) Pick(_ *rand.Rand, scored []Scored) *Candidate {
	if p.fail {
		panic("injected")
	}
	return scored[0].Candidate
}
