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
		if chosen := chooseServer(random, "here", &request, candidates); chosen != nil {
			return chosen.server.ID
		}
		return ""
	}

	It("never selects a draining server, a stale registration or a server without free connections", func() {
		draining := server("draining", "here")
		draining.Draining = true
		Expect(pick(Acquire{}, candidate{server: draining}, candidate{server: server("stale", "here"), stale: true},
			candidate{server: server("full", "here"), full: true})).To(BeEmpty())
	})

	It("never selects an excluded server", func() {
		Expect(pick(Acquire{Exclude: map[string]bool{"a": true}}, candidate{server: server("a", "here")})).To(BeEmpty())
	})

	It("selects a paused server only if there is no other", func() {
		Expect(pick(Acquire{}, candidate{server: server("a", "here"), paused: true})).To(Equal("a"))
		Expect(pick(Acquire{}, candidate{server: server("a", "here"), paused: true}, candidate{server: server("b", "there"), inFlight: 9})).To(Equal("b"))
	})

	It("leaves out a server that fails far more often than the best one", func() {
		Expect(pick(Acquire{}, candidate{server: server("grey", "here"), failureRate: 0.6}, candidate{server: server("b", "there"), inFlight: 2})).To(Equal("b"))
	})

	It("selects another data centre when all local engines are reading prompts", func() {
		Expect(pick(Acquire{}, candidate{server: server("near", "here"), inFlight: 4}, candidate{server: server("far", "there")})).To(Equal("far"))
		Expect(pick(Acquire{}, candidate{server: server("near", "here"), inFlight: 1, decoding: 1}, candidate{server: server("far", "there")})).To(Equal("near"))
	})

	It("avoids a data centre whose servers became unreachable together", func() {
		Expect(pick(Acquire{}, candidate{server: server("near", "here"), dataCentreDown: true}, candidate{server: server("far", "there"), inFlight: 3})).To(Equal("far"))
	})

	It("avoids a data centre in which a server was silent to the request, since its engines go dark together", func() {
		avoid := Acquire{Avoid: map[string]bool{"here": true}}
		Expect(pick(avoid, candidate{server: server("near", "here"), warm: true}, candidate{server: server("far", "there"), inFlight: 3})).To(Equal("far"))
		Expect(pick(avoid, candidate{server: server("near", "here")})).To(Equal("near"), "there is no other")
	})

	It("puts the copy of a cache into another data centre, since the engines of one fail together", func() {
		chosen := server("a", "here")
		for range 50 {
			backup := chooseBackup(random, "here", &Acquire{}, []candidate{{server: chosen}, {server: server("b", "here")}, {server: server("c", "there"), inFlight: 5}}, chosen)
			Expect(backup.server.ID).To(Equal("c"))
		}
	})

	It("puts the copy of a remote run into the local data centre, which stays reachable in a partition", func() {
		chosen := server("a", "there")
		for range 50 {
			backup := chooseBackup(random, "here", &Acquire{}, []candidate{{server: chosen}, {server: server("b", "here")}, {server: server("c", "third")}}, chosen)
			Expect(backup.server.ID).To(Equal("b"))
		}
	})

	It("returns no backup at the address of the run's server, which another entry may name too", func() {
		chosen, odd := server("a", "here"), server("odd", "there")
		odd.Address = chosen.Address
		Expect(chooseBackup(random, "here", &Acquire{}, []candidate{{server: chosen}, {server: odd}}, chosen)).To(BeNil())
	})

	It("returns no backup when there is only one server", func() {
		chosen := server("a", "here")
		Expect(chooseBackup(random, "here", &Acquire{}, []candidate{{server: chosen}}, chosen)).To(BeNil())
	})
})

var _ = Describe("the health of a server", func() {
	now := time.Unix(100, 0)

	It("lengthens the pause after each failure to reach the server, up to a limit, and ends it after a success", func() {
		var h serverHealth
		var last time.Duration
		for range 10 {
			h = h.update(OutcomeUnreachable, now)
			Expect(h.pause).To(BeNumerically(">=", last))
			last = h.pause
		}
		Expect(last).To(Equal(maxPause))
		h = h.update(OutcomeSuccess, now)
		Expect(h.pausedUntil).To(BeZero())
	})

	It("does not change when the caller left, which is no evidence about the server", func() {
		Expect(serverHealth{}.update(OutcomeNone, now)).To(Equal(serverHealth{}))
	})
})

var _ = Describe("the failures of a data centre's servers", func() {
	now := time.Unix(100, 0)

	It("mark the data centre as down after three servers within a second, until one answers", func() {
		var failures poolFailures
		for i := range poolDownServers {
			Expect(failures.down(now)).To(BeFalse())
			failures = failures.update(fmt.Sprint(i), OutcomeUnreachable, now)
		}
		Expect(failures.down(now)).To(BeTrue())
		Expect(failures.down(now.Add(poolDownWindow))).To(BeFalse())
		Expect(failures.update("x", OutcomeSuccess, now).down(now)).To(BeFalse())
	})

	It("do not mark the data centre as down when one server fails repeatedly", func() {
		var failures poolFailures
		for range 10 {
			failures = failures.update("same", OutcomeUnreachable, now)
		}
		Expect(failures.down(now)).To(BeFalse())
	})
})

var _ = Describe("the retry budget", func() {
	limits := BudgetLimits{Ratio: 0.8, Window: 10 * time.Second, Extra: 150}

	It("limits the retries in every window, summed over hosts that borrow from each other", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const hosts = 6
			budgets := make([]budget, hosts)
			for i := range budgets {
				budgets[i] = budget{limits: limits}
			}
			type arrival struct {
				at    time.Duration
				retry bool
			}
			var arrivals []arrival
			now := 1000 * time.Second
			for range rapid.IntRange(1, 600).Draw(t, "steps") {
				now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
				host := &budgets[rapid.IntRange(0, hosts-1).Draw(t, "host")]
				if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
					host.countRequest(now)
					arrivals = append(arrivals, arrival{at: now})
				} else if host.spend(now, hosts, 0) || spendAtAnyHost(budgets, now) {
					arrivals = append(arrivals, arrival{at: now, retry: true})
				}
			}
			for _, end := range arrivals {
				var requests, earlier, retries float64
				for _, a := range arrivals {
					age := end.at - a.at
					switch {
					case age < 0 || age >= 2*limits.Window:
					case age >= limits.Window:
						earlier += countIf(!a.retry)
					default:
						requests += countIf(!a.retry)
						retries += countIf(a.retry)
					}
				}
				if limit := limits.Ratio*max(requests, earlier) + limits.Extra; retries > limit {
					t.Fatalf("%v retries in a window that allows %v", retries, limit)
				}
			}
		})
	})

	It("keeps one retry in reserve when it lends", func() {
		b := budget{limits: BudgetLimits{Ratio: 0, Window: time.Second, Extra: 2.5}}
		Expect(b.spend(time.Second, 1, lendReserveRetries)).To(BeTrue())
		Expect(b.spend(time.Second, 1, lendReserveRetries)).To(BeFalse())
		Expect(b.spend(time.Second, 1, 0)).To(BeTrue())
	})

	It("gets back a retry that reached no server", func() {
		now := 1000 * time.Second
		b := budget{limits: BudgetLimits{Ratio: 0, Window: time.Second, Extra: 2}}
		Expect(b.spend(now, 1, 0)).To(BeTrue())
		Expect(b.spend(now, 1, 0)).To(BeFalse())
		b.refund(now)
		Expect(b.spend(now, 1, 0)).To(BeTrue())
	})
})

// spendAtAnyHost reports whether one of the hosts pays for a retry.
func spendAtAnyHost(budgets []budget, now time.Duration) bool {
	for i := range budgets {
		if budgets[i].spend(now, len(budgets), lendReserveRetries) {
			return true
		}
	}
	return false
}

func countIf(condition bool) float64 { return indicator(condition) }

var _ = Describe("ownership", func() {
	It("gives each server of a data centre to exactly one host, and every host some of many servers", func() {
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
