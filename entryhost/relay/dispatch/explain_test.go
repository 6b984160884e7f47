package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/loads"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/task"
)

// explainedTask returns a dispatcher in a random state with a route of streams of two ranks
// and a route of plain calls to the same servers.
func explainedTask(t *rapid.T, plain bool) *Task {
	dispatcher := newFleetTask(rapid.IntRange(1, 12).Draw(t, "servers"), 4, rapid.IntRange(1, 2).Draw(t, "data centres"), rapid.Float64Range(0, 1).Draw(t, "busy"))
	service, kind := routing.Service{Name: "engine", Engine: &routing.Engine{}}, routing.Streaming
	if plain {
		service.Engine, kind = nil, routing.Idempotent
	}
	urgent, other := 0, 2
	route := routing.Route{
		Name: "summaries", Host: "a.example", Prefix: "/s/", Kind: kind, Timeout: 25 * time.Second, LatencyObjective: 4 * time.Second,
		Split: []routing.Share{{Service: "engine", Weight: 1}},
	}
	dispatcher.view.Config = routing.NewConfig(1, routing.Limits{}, []routing.Route{route}, []routing.Service{service}, map[string]routing.Organisation{
		"k1": {Name: "paid", Priority: &urgent}, "k2": {Name: "drafts", Priority: &other},
	})
	now := dispatcher.Clock.Now()
	sick, leastInFlight := rapid.IntRange(0, 10).Draw(t, "sick tenths"), rapid.IntRange(0, 2).Draw(t, "least in flight")
	for id, state := range dispatcher.servers {
		load := dispatcher.shared["here"].others.Servers[id]
		load.Failed = dispatcher.Random.IntN(3)
		dispatcher.shared["here"].others.Servers[id] = load
		seconds := 0.7 + dispatcher.Random.Float64()
		for range 4 {
			dispatcher.speeds.Observe(id, loads.FirstEvent{Service: "engine", Seconds: seconds})
		}
		if dispatcher.Random.IntN(10) < sick {
			state.health = serverHealth{
				failureRate: dispatcher.Random.Float64(), pause: time.Duration(dispatcher.Random.IntN(2)), stale: dispatcher.Random.IntN(5) == 0,
				pausedUntil: now.Add(time.Duration(dispatcher.Random.IntN(3)-1) * time.Second),
			}
			state.server.Draining = dispatcher.Random.IntN(5) == 0
			state.backoff = serverBackoff{refusals: dispatcher.Random.IntN(3), until: now.Add(time.Duration(dispatcher.Random.IntN(3)-1) * time.Second)}
		}
		state.inFlight, state.copies = leastInFlight+dispatcher.Random.IntN(4), dispatcher.Random.IntN(8)
	}
	ranks := map[int]int{0: rapid.IntRange(0, 30).Draw(t, "urgent"), 2: rapid.IntRange(0, 30).Draw(t, "others")}
	waiting := map[string]int{"paid": ranks[0], "drafts": ranks[2]}
	if rapid.IntRange(0, 3).Draw(t, "nothing waits") == 0 {
		ranks, waiting = nil, nil
	}
	shared := dispatcher.shared["here"]
	shared.others.Ranks, shared.others.Organisations = ranks, waiting
	dispatcher.shared["here"] = shared
	if rapid.IntRange(0, 3).Draw(t, "stale view") == 0 {
		dispatcher.shared["here"] = sharedLoads{askedAt: now.Add(-time.Minute)}
	}
	return dispatcher
}

// takenOf returns the server that would be taken, and the difference of its cost to that of
// the next one that no filter removed.
func takenOf(explained Explanation) (id string, margin float64) {
	margin = 9
	for _, server := range explained.Servers {
		if server.Taken {
			id = server.ID
		}
	}
	var costs []float64
	for _, server := range explained.Servers {
		if server.RemovedBy == "" {
			costs = append(costs, server.Cost)
		}
	}
	for i := 1; i < len(costs); i++ {
		margin = min(margin, costs[1]-costs[0])
	}
	return id, margin
}

var _ = Describe("the explanation of a route", func() {
	// Guards against an explanation that names another server or another refusal than the
	// dispatcher decides on, as after a change of one of them only.
	It("agrees with the decision where the jitter cannot decide", func() {
		compared, refused := 0, map[Refusal]int{}
		check := func(t *rapid.T) {
			plain := rapid.IntRange(0, 3).Draw(t, "plain") == 0
			dispatcher := explainedTask(t, plain)
			query := RouteQuery{Host: "A.example:443", Path: "/s/1", Organisation: rapid.SampledFrom([]string{"", "paid", "drafts", "drafts"}).Draw(t, "organisation"), Resumed: rapid.Bool().Draw(t, "resumed")}
			explained := dispatcher.explain(query)
			if explained.Problem != "" {
				t.Fatal(explained.Problem)
			}
			if ranks := map[string]int{"": 0, "paid": 0, "drafts": 2}; !plain && explained.Rank != ranks[query.Organisation] {
				t.Fatalf("rank %d of %q", explained.Rank, query.Organisation)
			}
			taken, margin := takenOf(explained)
			if margin <= jitterCost {
				return
			}
			request, _ := dispatcher.requestOf(query)
			reply := make(chan Assignment, 1)
			request.Reply, request.remoteLoadsKnown = task.Reply[Assignment](reply), true
			if !dispatcher.tryAssign(context.Background(), request) {
				if !explained.Waits {
					t.Fatalf("the request waits: %+v", explained)
				}
				return
			}
			assigned := <-reply
			compared++
			if assigned.Server == nil {
				refused[assigned.Refusal]++
				if taken != "" || explained.Refusal != assigned.Refusal {
					t.Fatalf("refused for %q: %+v", assigned.Refusal, explained)
				}
				return
			}
			assigned.Connection.Close()
			if taken != assigned.Server.ID || explained.Refusal != "" || explained.Waits {
				t.Fatalf("%s is taken: %+v", assigned.Server.ID, explained)
			}
		}
		// One round of 100 states has about two refusals by urgency.
		for range 12 {
			rapid.Check(GinkgoT(), check)
		}
		Expect(compared).To(BeNumerically(">", 200))
		Expect(refused[RefusedOverload]).NotTo(BeZero())
		Expect(refused[RefusedForUrgent] + refused[RefusedForWait]).NotTo(BeZero())
	})

	// Guards against a cost in the list of scorers that the explanation leaves out.
	It("gives costs whose parts sum up to the whole", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			for _, server := range explainedTask(t, rapid.Bool().Draw(t, "plain")).explain(RouteQuery{Host: "a.example", Path: "/s/"}).Servers {
				sum := 0.0
				for _, part := range server.Costs {
					sum += part.Seconds
				}
				if diff := sum - server.Cost; diff > 1e-9 || diff < -1e-9 {
					t.Fatalf("%+v", server)
				}
			}
		})
	})

	// Guards against an explanation that spends from a budget, counts as a choice, leases a
	// server or changes later choices.
	It("changes no state", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			dispatcher := explainedTask(t, rapid.Bool().Draw(t, "plain"))
			dispatcher.Loads = failingExchanger{t}
			source := rand.NewPCG(1, 2)
			dispatcher.Random = rand.New(source)
			stateOf := func() string {
				var text bytes.Buffer
				dispatcher.Metrics.WritePrometheus(&text)
				random, _ := source.MarshalBinary()
				servers := map[string]serverState{}
				for id, state := range dispatcher.servers {
					servers[id] = *state
				}
				fmt.Fprintf(&text, "%x %v %v %v %v %v %v %v %v", random, servers, dispatcher.leases, dispatcher.budgets, dispatcher.lastSequence,
					dispatcher.asks, dispatcher.waiting, dispatcher.plain, dispatcher.moves)
				return text.String()
			}
			dispatcher.serversOf("engine")
			before, shared := stateOf(), maps.Clone(dispatcher.shared)
			reply := make(chan Explanation, 1)
			dispatcher.handle(context.Background(), Explain{Query: RouteQuery{Host: "a.example", Path: "/s/", Organisation: "drafts"}, Reply: task.Reply[Explanation](reply)})
			if (<-reply).Problem != "" || stateOf() != before || len(dispatcher.shared) != len(shared) || len(dispatcher.mailbox.C()) != 0 {
				t.Fatalf("before: %s\nafter: %s", before, stateOf())
			}
		})
	})

	// Guards against an answer to bad input that does not tell the operator what to change.
	It("names the remedy for bad input", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			dispatcher := explainedTask(t, false)
			for _, query := range []RouteQuery{{Host: "b.example", Path: "/s/"}, {Host: "a.example", Path: "/other"}, {Host: "a.example", Path: "/s/", Organisation: "x"}} {
				if explained := dispatcher.explain(query); explained.Problem == "" || explained.Remedy == "" || explained.Servers != nil {
					t.Fatalf("%+v: %+v", query, explained)
				}
			}
		})
		Expect(newTestTask(Parameters{}).explain(RouteQuery{}).Remedy).NotTo(BeEmpty())
	})
})

// failingExchanger fails the test if loads are exchanged.
type failingExchanger struct{ t *rapid.T }

// Exchange implements LoadExchanger.
func (f failingExchanger) Exchange(context.Context, string, loads.HostLoads) (loads.Others, error) {
	f.t.Errorf("loads are exchanged")
	return loads.Others{}, nil
}
