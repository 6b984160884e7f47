package dispatch

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/loads"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/task"
)

var mixedRanks = routing.Ranks{{Value: 0, Objective: 4 * time.Second}, {Value: 2, Objective: 10 * time.Second}}

type simulatedPrompt struct {
	host, kind, engineRank int
	organisation           string
	arrived, ready         float64
	started                bool
}

type simulatedEngine struct {
	queue       []*simulatedPrompt
	until       float64
	down, fails bool
}

// simulatedLoad is 15 s of arrivals of both ranks, as multiples of those on the image archive, at the share of its engines
// that is up. One organisation of each rank sends flood times as much as each of three others. With crashes, 0.9 of the
// engines of one data centre after the other are down for 1.2 s.
type simulatedLoad struct {
	rates     [2]float64
	up, flood float64
	crashes   bool
}

// timely returns the mean shares of the streams of each rank that begin within their objective in three simulations, since
// single ones differ by some 0.02.
func timely(hosts, engines int, load simulatedLoad, collector, byUrgency bool) (mean [2]float64) {
	for seed := range uint64(3) {
		for kind, share := range simulate(rand.New(rand.NewPCG(uint64(hosts), 7+seed)), hosts, engines, load, collector, byUrgency) {
			mean[kind] += share / 3
		}
	}
	return mean
}

// simulate plays the load on engines that read a prompt in 1.1 s and lose every eighth one.
func simulate(random *rand.Rand, hosts, engines int, load simulatedLoad, collector, byUrgency bool) (met [2]float64) {
	fleet := make([]simulatedEngine, int(load.up*float64(engines)))
	var pending []*simulatedPrompt
	var sent [2]float64
	for now := 0.0; now < 40; now += 0.02 {
		for kind, rate := range [2]float64{0.117 * load.rates[0], 0.135 * load.rates[1]} {
			for n := rate * float64(engines) * 0.02; now < 15 && random.Float64() < n; n-- {
				organisation := 1 + random.IntN(3)
				if random.Float64() < load.flood/(load.flood+3) {
					organisation = 0
				}
				pending = append(pending, &simulatedPrompt{host: random.IntN(hosts), kind: kind, organisation: fmt.Sprint(kind, organisation), arrived: now, ready: now})
				sent[kind]++
			}
		}
		for i := range fleet {
			e, ended := &fleet[i], 0
			if e.down = load.crashes && i%4 == int(now/1.2)%4 && i%40 >= 4; e.down {
				ended, e.fails = len(e.queue), true
			} else if e.until > 0 && now >= e.until {
				ended = 1
			}
			for _, prompt := range e.queue[:ended] {
				if prompt.started, prompt.ready = true, now; e.fails {
					pending = append(pending, prompt)
				} else {
					met[prompt.kind] += indicator(now-prompt.arrived <= mixedRanks[prompt.kind].Objective.Seconds())
				}
				e.until = 0
			}
			e.queue = e.queue[ended:]
			if e.until == 0 && len(e.queue) > 0 {
				slices.SortStableFunc(e.queue, func(a, b *simulatedPrompt) int { return a.engineRank - b.engineRank })
				e.until, e.fails = now+1.1, random.Float64() < 0.12
			}
		}
		pending = slices.DeleteFunc(pending, func(prompt *simulatedPrompt) bool {
			return prompt.ready <= now && place(random, fleet, prompt, now, collector, byUrgency) || prompt.ready >= prompt.arrived+25
		})
	}
	return [2]float64{met[0] / sent[0], met[1] / sent[1]}
}

// place puts the prompt on an engine, or refuses it, sets when its caller returns and returns false.
func place(random *rand.Rand, fleet []simulatedEngine, prompt *simulatedPrompt, now float64, collector, byUrgency bool) bool {
	rank := mixedRanks[prompt.kind]
	waiting, best, lowest := demand{prompts: map[string]int{}, byRank: map[int]int{}, rank: rank.Value, engines: engineCounts{all: len(fleet), usable: len(fleet)}}, 0, math.Inf(1)
	for i := range fleet {
		reading := 0
		for _, other := range fleet[i].queue {
			if collector || other.host == prompt.host {
				reading++
				waiting.prompts[other.organisation]++
				waiting.byRank[mixedRanks[other.kind].Value]++
			}
		}
		waiting.engines.idle = waiting.engines.idle || reading == 0 && !fleet[i].down
		if cost := float64(reading) + 0.1*random.Float64(); cost < lowest && !fleet[i].down {
			best, lowest = i, cost
		}
	}
	needs := streamNeeds{ranks: mixedRanks, objective: rank.Objective, prompt: promptTime, left: time.Duration((prompt.arrived + 25 - now) * float64(time.Second))}
	if !byUrgency {
		needs.ranks, waiting.byRank = nil, nil
	}
	retryAfter, refused := waiting.refusal(prompt.organisation, random.Float64())
	if decided := waiting.admit(needs); !refused && decided.refusal != "" {
		retryAfter, refused = roomWait(decided.untilRoom, needs, random.Float64()), true
	}
	if refused && !prompt.started {
		prompt.ready = now + retryAfter.Seconds()
		return false
	}
	prompt.engineRank = needs.ranks.EngineRank(rank.Value, routing.PrecedenceOf(waiting.exceedsShare(prompt.organisation), prompt.started))
	fleet[best].queue = append(fleet[best].queue, prompt)
	return true
}

// Guards against urgent streams that begin late because of less urgent ones. Up is the share of engines that are up, and
// gain what the urgent streams gain at least over the decision without ranks, with a collector and without one.
var _ = DescribeTable("streams of two ranks on too few engines", func(load simulatedLoad, withCollector, without float64) {
	for hosts, engines := range map[int]int{6: 180, 88: 280, 300: 324} {
		for collector, gain := range map[bool]float64{true: withCollector, false: without} {
			former, now := timely(hosts, engines, load, collector, false), timely(hosts, engines, load, collector, true)
			GinkgoWriter.Printf("%d hosts, collector %v: %.3f before, %.3f now\n", hosts, collector, former, now)
			Expect(now[0]-former[0]).To(BeNumerically(">=", gain), "%d hosts, collector %v", hosts, collector)
			if collector {
				Expect(now[0]).To(BeNumerically(">=", 0.9), "the target for urgent streams, %d hosts", hosts)
			}
		}
	}
},
	Entry("a burst of the less urgent ones in which engines crash", simulatedLoad{rates: [2]float64{1, 2.6}, up: 0.65, flood: 1, crashes: true}, 0.05, 0.1),
	Entry("both on a third of the engines", simulatedLoad{rates: [2]float64{1.1, 1.6}, up: 0.333, flood: 1}, 0.05, -0.03),
	Entry("one organisation of each rank at 7.5 times", simulatedLoad{rates: [2]float64{2.6, 1}, up: 0.4, flood: 7.5}, 0.25, -0.03),
)

// exchangeFunc implements LoadExchanger.
type exchangeFunc func(dataCentre string) loads.Others

func (f exchangeFunc) Exchange(_ context.Context, _ string, report loads.HostLoads) (loads.Others, error) {
	return f(report.DataCentre), nil
}

// Guards against urgency that does not reach the decisions of the dispatcher, or reaches streams that it must not refuse.
var _ = Describe("a data centre in which urgent prompts wait at all engines", func() {
	admit := func(ctx context.Context, priorities [2]int, remote loads.Others, request Acquire) Assignment {
		dispatcher := newTestTask(Parameters{Self: "self", Loads: exchangeFunc(func(dataCentre string) loads.Others {
			if dataCentre == "here" {
				return loads.Others{Servers: map[string]loads.Load{"a": {Reading: 1}, "b": {Reading: 5}}, Organisations: map[string]int{"x": 6}, Ranks: map[int]int{0: 6}}
			}
			return remote
		})})
		dispatcher.applyHosts([]routing.Host{{Address: "peer", DataCentre: "there"}})
		view, routes := viewOf(server("a", "here"), server("b", "here"), server("c", "there")), []routing.Route(nil)
		for _, priority := range priorities {
			routes = append(routes, routing.Route{Kind: routing.Streaming, Priority: priority, LatencyObjective: 4 * time.Second, Split: []routing.Share{{Service: "engine", Weight: 1}}})
		}
		view.Config = routing.NewConfig(1, routing.Limits{}, routes, []routing.Service{{Name: "engine", Engine: &routing.Engine{}}}, nil)
		dispatcher.applyView(view)
		reply := make(chan Assignment, 1)
		request.Service, request.Objective, request.Reply = "engine", 10*time.Second, task.Reply[Assignment](reply)
		request.Deadline = dispatcher.Clock.Now().Add(25 * time.Second)
		dispatcher.handle(ctx, request)
		for {
			select {
			case assignment := <-reply:
				return assignment
			case message := <-dispatcher.mailbox.C():
				dispatcher.handle(ctx, message)
			}
		}
	}
	busy := loads.Others{Servers: map[string]loads.Load{"c": {Reading: 5}}, Organisations: map[string]int{"x": 5}, Ranks: map[int]int{0: 5}}

	It("refuses new less urgent streams only, and not if another data centre has an idle engine", func(ctx SpecContext) {
		refused := admit(ctx, [2]int{0, 2}, busy, Acquire{Rank: 2})
		Expect(refused.Refusal).To(Equal(RefusedForUrgent))
		Expect(refused.RetryAfter).To(And(BeNumerically(">=", minRoomWait), BeNumerically("<=", 25*time.Second/3)))
		Expect(admit(ctx, [2]int{0, 2}, loads.Others{}, Acquire{Rank: 2}).Server.ID).To(Equal("c"))
		for _, request := range []Acquire{{Rank: 0}, {Rank: 2, Begun: true}, {Rank: 2, Retry: true}} {
			Expect(admit(ctx, [2]int{0, 2}, busy, request).Server).NotTo(BeNil())
		}
		Expect(admit(ctx, [2]int{2, 2}, busy, Acquire{Rank: 2}).Server).NotTo(BeNil(), "a service with one rank")
	}, SpecTimeout(10*time.Second))

	DescribeTable("sends a stream to another one only if it is sooner there than after its return", func(wait time.Duration, sooner bool) {
		_, found := bestElsewhere(admission{refusal: RefusedForUrgent, wait: 1600 * time.Millisecond}, []admission{{refusal: RefusedForWait}, {wait: wait, distance: remoteDelay}})
		Expect(found).To(Equal(sooner))
	}, Entry("without a backlog there", time.Duration(0), true), Entry("with one", time.Second, false))
})
