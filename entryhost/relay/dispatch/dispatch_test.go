package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

func server(id, dataCentre string) *routing.Server {
	return &routing.Server{ID: id, DataCentre: dataCentre, Service: "engine", Address: id}
}

var _ = Describe("the choice of a server", func() {
	random := rand.New(rand.NewPCG(1, 2))
	pick := func(request Acquire, candidates ...candidate) string {
		if chosen := choose(random, "here", &request, candidates); chosen != nil {
			return chosen.server.ID
		}
		return ""
	}

	It("never takes a server that drains, was contradicted or is full", func() {
		draining := server("draining", "here")
		draining.Draining = true
		Expect(pick(Acquire{}, candidate{server: draining}, candidate{server: server("stale", "here"), stale: true},
			candidate{server: server("full", "here"), full: true})).To(BeEmpty())
	})

	It("takes no server twice for one request", func() {
		Expect(pick(Acquire{Exclude: map[string]bool{"a": true}}, candidate{server: server("a", "here")})).To(BeEmpty())
	})

	It("tries a paused server rather than none", func() {
		Expect(pick(Acquire{}, candidate{server: server("a", "here"), paused: true})).To(Equal("a"))
		Expect(pick(Acquire{}, candidate{server: server("a", "here"), paused: true}, candidate{server: server("b", "there"), inFlight: 9})).To(Equal("b"))
	})

	It("leaves a server out that fails far more often than the best one", func() {
		Expect(pick(Acquire{}, candidate{server: server("grey", "here"), failureRate: 0.6}, candidate{server: server("b", "there"), inFlight: 2})).To(Equal("b"))
	})

	It("goes to another zone when the own one reads prompts everywhere", func() {
		Expect(pick(Acquire{}, candidate{server: server("near", "here"), inFlight: 4}, candidate{server: server("far", "there")})).To(Equal("far"))
		Expect(pick(Acquire{}, candidate{server: server("near", "here"), inFlight: 1, decoding: 1}, candidate{server: server("far", "there")})).To(Equal("near"))
	})

	It("avoids a zone whose servers were lost together", func() {
		Expect(pick(Acquire{}, candidate{server: server("near", "here"), dataCentreLost: true}, candidate{server: server("far", "there"), inFlight: 3})).To(Equal("far"))
	})

	It("puts the copy of a cache into another zone, since the engines of one fail together", func() {
		chosen := server("a", "here")
		for range 50 {
			backup := chooseBackup(random, "here", &Acquire{}, []candidate{{server: chosen}, {server: server("b", "here")}, {server: server("c", "there"), inFlight: 5}}, chosen)
			Expect(backup.server.ID).To(Equal("c"))
		}
	})

	It("puts the copy of a run elsewhere into the own zone, which is reached behind a cut", func() {
		chosen := server("a", "there")
		for range 50 {
			backup := chooseBackup(random, "here", &Acquire{}, []candidate{{server: chosen}, {server: server("b", "here")}, {server: server("c", "third")}}, chosen)
			Expect(backup.server.ID).To(Equal("b"))
		}
	})

	It("has no backup where there is one server only", func() {
		chosen := server("a", "here")
		Expect(chooseBackup(random, "here", &Acquire{}, []candidate{{server: chosen}}, chosen)).To(BeNil())
	})
})

var _ = Describe("the standing of a server", func() {
	now := time.Unix(100, 0)

	It("pauses longer after each failure to reach it, up to a bound, and ends with a success", func() {
		var s standing
		var last time.Duration
		for range 10 {
			s = s.learn(OutcomeUnreachable, now)
			Expect(s.pause).To(BeNumerically(">=", last))
			last = s.pause
		}
		Expect(last).To(Equal(pauseLongest))
		s = s.learn(OutcomeSuccess, now)
		Expect(s.pausedUntil).To(BeZero())
	})

	It("does not change when the caller left, which says nothing about the server", func() {
		Expect(standing{}.learn(OutcomeNone, now)).To(Equal(standing{}))
	})
})

var _ = Describe("the loss of a zone", func() {
	now := time.Unix(100, 0)

	It("takes three servers in a second, and ends when one answers", func() {
		var l loss
		for i := range lossServers {
			Expect(l.lost(now)).To(BeFalse())
			l = l.learn(fmt.Sprint(i), OutcomeUnreachable, now)
		}
		Expect(l.lost(now)).To(BeTrue())
		Expect(l.lost(now.Add(lossMemory))).To(BeFalse())
		Expect(l.learn("x", OutcomeSuccess, now).lost(now)).To(BeFalse())
	})

	It("is not seen in one server that fails again and again", func() {
		var l loss
		for range 10 {
			l = l.learn("same", OutcomeUnreachable, now)
		}
		Expect(l.lost(now)).To(BeFalse())
	})
})

var _ = Describe("the retry budget", func() {
	terms := BudgetTerms{Ratio: 0.8, Window: 10 * time.Second, Extra: 150}

	It("holds in every window, summed over hosts that borrow from each other", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const hosts = 6
			budgets := make([]budget, hosts)
			for i := range budgets {
				budgets[i] = budget{terms: terms}
			}
			type arrival struct {
				at     time.Duration
				repeat bool
			}
			var arrivals []arrival
			now := 1000 * time.Second
			for range rapid.IntRange(1, 600).Draw(t, "steps") {
				now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
				host := &budgets[rapid.IntRange(0, hosts-1).Draw(t, "host")]
				if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
					host.earn(now)
					arrivals = append(arrivals, arrival{at: now})
				} else if host.spend(now, hosts, 0) || lent(budgets, now) {
					arrivals = append(arrivals, arrival{at: now, repeat: true})
				}
			}
			for _, end := range arrivals {
				var requests, earlier, repeats float64
				for _, a := range arrivals {
					age := end.at - a.at
					switch {
					case age < 0 || age >= 2*terms.Window:
					case age >= terms.Window:
						earlier += count(!a.repeat)
					default:
						requests += count(!a.repeat)
						repeats += count(a.repeat)
					}
				}
				if limit := terms.Ratio*max(requests, earlier) + terms.Extra; repeats > limit {
					t.Fatalf("%v repeats in a window that allows %v", repeats, limit)
				}
			}
		})
	})

	It("keeps a repeat for itself when it lends", func() {
		b := budget{terms: BudgetTerms{Ratio: 0, Window: time.Second, Extra: 2.5}}
		Expect(b.spend(time.Second, 1, lendReserve)).To(BeTrue())
		Expect(b.spend(time.Second, 1, lendReserve)).To(BeFalse())
		Expect(b.spend(time.Second, 1, 0)).To(BeTrue())
	})

	It("gets a repeat back that reached no server", func() {
		now := 1000 * time.Second
		b := budget{terms: BudgetTerms{Ratio: 0, Window: time.Second, Extra: 2}}
		Expect(b.spend(now, 1, 0)).To(BeTrue())
		Expect(b.spend(now, 1, 0)).To(BeFalse())
		b.refund(now)
		Expect(b.spend(now, 1, 0)).To(BeTrue())
	})
})

// lent reports whether one of the hosts pays for a repeat.
func lent(budgets []budget, now time.Duration) bool {
	for i := range budgets {
		if budgets[i].spend(now, len(budgets), lendReserve) {
			return true
		}
	}
	return false
}

func count(condition bool) float64 { return indicator(condition) }

var _ = Describe("ownership", func() {
	It("gives each server of a zone to exactly one host, and all hosts some of many servers", func() {
		var hosts []routing.Host
		for i := range 5 {
			hosts = append(hosts, routing.Host{Address: fmt.Sprintf("10.0.0.%d:7", i), DataCentre: "here"})
		}
		owned := map[string]int{}
		for i := range 100 {
			candidate := &routing.Server{Address: fmt.Sprintf("10.0.64.%d:8", i), DataCentre: "here"}
			owners := 0
			for _, host := range hosts {
				if newOwnership(host.Address, "here", hosts).owns(candidate) {
					owners++
					owned[host.Address]++
				}
			}
			Expect(owners).To(Equal(1))
		}
		Expect(owned).To(HaveLen(5))
	})
})
