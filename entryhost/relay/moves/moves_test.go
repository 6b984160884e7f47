package moves

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

func TestMoves(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "moves")
}

func sample(count, failed int, mean time.Duration) Sample {
	return Sample{Count: count, Failed: failed, LatencySum: time.Duration(count-failed) * mean}
}

// sums returns the observation from hosts that report only the sums over all routes.
func sums(target, other Sample) Observation {
	return Observation{"": {Target: target, Other: other}}
}

var _ = Describe("the comparison of versions", func() {
	other := sample(200, 28, 30*time.Millisecond)

	DescribeTable("compares the target with the other versions over the same time",
		func(target Sample, faulty bool) { Expect(isFaulty(target, other)).To(Equal(faulty)) },
		Entry("as good as the others, which fail 14 in 100 requests", sample(20, 3, 30*time.Millisecond), false),
		Entry("one failure is not enough", sample(1, 1, 0), false),
		Entry("half of its requests fail", sample(10, 5, 30*time.Millisecond), true),
		Entry("its responses are four times slower", sample(10, 0, 120*time.Millisecond), true),
		Entry("a few slow responses are not enough", sample(3, 0, 120*time.Millisecond), false),
	)
})

var _ = Describe("the holder of a move", func() {
	state := State{Order: 7, Phase: routing.PhaseActive}

	It("withdraws a faulty version even when the move's time is nearly over", func() {
		got := nextState(state, progress{seen: sums(sample(10, 8, 0), sample(100, 0, time.Millisecond)), elapsed: time.Hour, duration: time.Second}, limits)
		Expect(got.Phase).To(Equal(routing.PhaseWithdrawn))
	})

	// Guards against old servers that stop while other hosts still send them requests.
	It("completes the move to a good version before the move's time is over, after all traffic has left the old servers", func() {
		got := state
		seen := sums(sample(10, 0, time.Millisecond), sample(100, 0, time.Millisecond))
		for _, elapsed := range []time.Duration{15, 16} {
			got = nextState(got, progress{seen: seen, elapsed: elapsed * time.Second, duration: 20 * time.Second}, limits)
			Expect(got.Phase).To(Equal(routing.PhaseActive))
			Expect(got.Share).To(Equal(1.0))
		}
		got = nextState(got, progress{seen: seen, elapsed: 17 * time.Second, duration: 20 * time.Second}, limits)
		Expect(got.Phase).To(Equal(routing.PhaseCompleted))
	})

	It("completes a short move before its time is over", func() {
		seen := sums(sample(10, 0, time.Millisecond), sample(100, 0, time.Millisecond))
		got := nextState(state, progress{seen: seen, elapsed: 3 * time.Second, duration: 4 * time.Second}, limits)
		Expect(got.Phase).To(Equal(routing.PhaseActive))
		Expect(got.Share).To(Equal(1.0))
		Expect(nextState(got, progress{seen: seen, elapsed: 3700 * time.Millisecond, duration: 4 * time.Second}, limits).Phase).To(Equal(routing.PhaseCompleted))
	})

	// Guards against a move of 9 s whose target is proven after 6 s: the round at 8.0 s came
	// before withdrawalFraction, and the next one after the end.
	It("completes a move whose next round would come after its end, once traffic has left the old servers for a round", func() {
		seen := sums(sample(10, 0, time.Millisecond), sample(100, 0, time.Millisecond))
		got := nextState(state, progress{seen: seen, elapsed: 7010 * time.Millisecond, duration: 9 * time.Second}, limits)
		Expect(got.Phase).To(Equal(routing.PhaseActive))
		Expect(nextState(got, progress{seen: seen, elapsed: 8017 * time.Millisecond, duration: 9 * time.Second}, limits).Phase).To(Equal(routing.PhaseCompleted))
	})

	It("withdraws a version that turns out to be faulty under the whole load", func() {
		got := nextState(state, progress{seen: sums(sample(10, 0, time.Millisecond), sample(100, 0, time.Millisecond)), elapsed: 15 * time.Second, duration: 20 * time.Second}, limits)
		Expect(got.Share).To(Equal(1.0))
		got = nextState(got, progress{seen: sums(sample(60, 30, time.Millisecond), sample(100, 0, time.Millisecond)), elapsed: 16 * time.Second, duration: 20 * time.Second}, limits)
		Expect(got.Phase).To(Equal(routing.PhaseWithdrawn))
	})

	It("never exceeds the allowed exposure of an unproven version", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var target, other Sample
			state := state
			for range rapid.IntRange(1, 100).Draw(t, "rounds") {
				state = nextState(state, progress{seen: sums(target, other), duration: time.Hour}, limits)
				requests := rapid.IntRange(0, 60).Draw(t, "requests")
				exposed := int(float64(requests) * state.Share)
				target.Count += exposed
				other.Count += requests - exposed
			}
			if limit := limits.Share*float64(target.Count+other.Count) + limits.Slack; float64(target.Count) > limit {
				t.Fatalf("target received %d requests, %v are allowed", target.Count, limit)
			}
		})
	})

	It("counts only the evidence on its own order", func() {
		seen := sumEvidence([]Evidence{{Order: 6, Total: Versions{Target: sample(5, 5, 0)}}, {Order: 7, Total: Versions{Target: sample(2, 0, 0)}}}, 7)
		Expect(seen.total().Target.Count).To(Equal(2))
	})
})

// times returns a histogram with count times.
func times(count int, each time.Duration) (h Histogram) {
	h[bucketOf(each)] = count
	return h
}

// streams returns the sample of a version of which some streams have sent their first
// event and others wait for it.
func streams(answered int, took time.Duration, waiting int, waited time.Duration) Sample {
	return Sample{Sent: answered + waiting, Answers: Step{Done: times(answered, took), Waiting: times(waiting, waited)}}
}

// limits are those of the small deployments.
var limits = ExposureLimits{Share: 0.1, Slack: 50}

// decide returns the state that follows an active one at a time of a move of 15 s.
func decide(seen Observation, elapsed time.Duration) State {
	return nextState(State{Order: 7, Phase: routing.PhaseActive}, progress{seen: seen, elapsed: elapsed, duration: 15 * time.Second}, limits)
}

// decideWhole returns the state in which a move is that has had the same evidence for
// the rounds of a handover.
func decideWhole(seen Observation, elapsed time.Duration) State {
	state := State{Order: 7, Phase: routing.PhaseActive}
	for range handoverRounds + 1 {
		if state.Phase == routing.PhaseActive {
			state = nextState(state, progress{seen: seen, elapsed: elapsed, duration: 15 * time.Second}, limits)
		}
	}
	return state
}

// Guards against evidence that arrives only with the end of an attempt: the streams of a
// slow version end last, and a version without evidence was taken for a good one.
var _ = Describe("streams that have not ended", func() {
	good := streams(30, 1300*time.Millisecond, 4, 500*time.Millisecond)

	It("show a slow version although none of its streams has sent an event", func() {
		got := decide(Observation{"chat": {Target: streams(0, 0, 4, 4*time.Second), Other: good}}, 7*time.Second)
		Expect(got.Phase).To(Equal(routing.PhaseWithdrawn))
		Expect(got.Reason).To(HavePrefix("faulty"))
	})

	It("show a slow version by their first events", func() {
		got := decide(Observation{"chat": {Target: streams(4, 5*time.Second, 0, 0), Other: good}}, 7*time.Second)
		Expect(got.Phase).To(Equal(routing.PhaseWithdrawn))
	})

	It("show a version whose first events come in time and whose further events are slow", func() {
		target, other := streams(6, 1300*time.Millisecond, 0, 0), good
		target.Pace, other.Pace = Step{Waiting: times(5, 3*time.Second)}, Step{Done: times(60, 700*time.Millisecond)}
		got := decide(Observation{"chat": {Target: target, Other: other}}, 7*time.Second)
		Expect(got.Phase).To(Equal(routing.PhaseWithdrawn))
		Expect(got.Reason).To(ContainSubstring("slow events"))
	})

	It("show a slow version whose callers give up before the first event", func() {
		target := Sample{Sent: 5, Answers: Step{Left: times(5, 6*time.Second)}}
		Expect(decide(Observation{"chat": {Target: target, Other: good}}, 7*time.Second).Phase).To(Equal(routing.PhaseWithdrawn))
	})

	It("are no evidence against a version while they have waited no longer than on the others", func() {
		got := decide(Observation{"chat": {Target: streams(0, 0, 12, 2*time.Second), Other: good}}, 7*time.Second)
		Expect(got.Phase).To(Equal(routing.PhaseActive))
	})

	It("withdraw no version if the streams of the other versions are as slow", func() {
		congested := streams(10, 1300*time.Millisecond, 20, 5*time.Second)
		got := decide(Observation{"chat": {Target: streams(3, 1300*time.Millisecond, 6, 5*time.Second), Other: congested}}, 7*time.Second)
		Expect(got.Phase).To(Equal(routing.PhaseActive))
	})
})

var _ = Describe("evidence by route", func() {
	other := sample(400, 8, 30*time.Millisecond)

	It("shows a version that fails on one route only, which the sum over the routes hides", func() {
		all := Versions{Target: sample(100, 6, 30*time.Millisecond), Other: other.add(other)}
		Expect(isFaulty(all.Target, all.Other)).To(BeFalse(), "the sum")
		got := decide(Observation{"pay": {Target: sample(8, 6, 30*time.Millisecond), Other: other}, "list": {Target: sample(92, 0, 30*time.Millisecond), Other: other}}, 7*time.Second)
		Expect(got.Phase).To(Equal(routing.PhaseWithdrawn))
		Expect(got.Reason).To(ContainSubstring(`"pay"`))
	})

	// Guards against a good version that is withdrawn on a route that fails 14 in 100
	// requests by itself: callers repeat these, and they fail again.
	It("does not take a version for faulty on which three requests failed twice", func() {
		seen := Observation{"check": {Target: sample(7, 6, 30*time.Millisecond), Other: sample(60, 9, 30*time.Millisecond)}}
		Expect(decide(seen, 7*time.Second).Phase).To(Equal(routing.PhaseActive))
	})

	It("takes a version for faulty that fails a third of the requests on a route that does not fail by itself", func() {
		seen := Observation{"chat": {Target: sample(15, 5, time.Second), Other: sample(30, 0, time.Second)}}
		Expect(decide(seen, 7*time.Second).Phase).To(Equal(routing.PhaseWithdrawn))
	})

	It("does not take a version for slow that gets more requests of a slower route", func() {
		seen := Observation{
			"chat": {Target: streams(12, 1300*time.Millisecond, 0, 0), Other: streams(12, 1300*time.Millisecond, 0, 0)},
			"tiny": {Target: streams(4, 100*time.Millisecond, 0, 0), Other: streams(200, 100*time.Millisecond, 0, 0)},
		}
		Expect(decide(seen, 7*time.Second).Phase).To(Equal(routing.PhaseActive))
	})

	It("finds by the sum over the routes what no route shows alone", func() {
		seen := Observation{}
		for _, route := range []string{"a", "b", "c", "d", "e"} {
			seen[route] = Versions{Target: streams(0, 0, 1, 9*time.Second), Other: streams(20, time.Second, 0, 0)}
		}
		Expect(decide(seen, 7*time.Second).Phase).To(Equal(routing.PhaseWithdrawn))
	})
})

var _ = Describe("a version that turns faulty later", func() {
	It("is found by the latest responses, which its many good ones hide", func() {
		before := Observation{"list": {Target: sample(300, 0, 30*time.Millisecond), Other: sample(3000, 30, 30*time.Millisecond)}}
		seen := Observation{"list": {Target: sample(320, 20, 30*time.Millisecond), Other: sample(3200, 32, 30*time.Millisecond)}}
		p := progress{seen: seen, elapsed: 7 * time.Second, duration: 15 * time.Second}
		Expect(nextState(State{Phase: routing.PhaseActive}, p, limits).Phase).To(Equal(routing.PhaseActive), "without the latest")
		p.recent = seen.since(before)
		Expect(nextState(State{Phase: routing.PhaseActive}, p, limits).Phase).To(Equal(routing.PhaseWithdrawn))
	})

	It("is compared over the last rounds in which the holder decided", func() {
		m := &move{}
		for count := range 2 * recentRounds {
			p := m.observe(Observation{"list": {Target: sample(10*count, 0, 0)}}, time.Time{})
			if count < recentRounds {
				Expect(p.recent).To(BeNil())
				continue
			}
			Expect(p.recent["list"].Target.Count).To(Equal(10 * recentRounds))
		}
		Expect(m.history).To(HaveLen(recentRounds))
	})

	It("is not taken for one after a host has restarted and counts anew", func() {
		earlier := Observation{"list": {Target: sample(50, 0, time.Millisecond), Other: sample(50, 5, time.Millisecond)}}
		recent := Observation{"list": {Target: sample(3, 0, time.Millisecond), Other: sample(3, 0, time.Millisecond)}}.since(earlier)
		Expect(recent["list"].Target).To(Equal(Sample{}))
		Expect(recent.faults(0)).To(BeEmpty())
	})
})

// Guards against a move that is completed by the clock: the old servers are stopped then.
var _ = Describe("the end of a move", func() {
	good := streams(40, 1300*time.Millisecond, 4, 500*time.Millisecond)

	DescribeTable("is completed only with evidence",
		func(seen Observation, elapsed time.Duration, phase routing.Phase) {
			Expect(decideWhole(seen, elapsed).Phase).To(Equal(phase))
		},
		Entry("a proven version", Observation{"chat": {Target: streams(9, 1300*time.Millisecond, 0, 0), Other: good}}, 12*time.Second, routing.PhaseCompleted),
		Entry("a proven version before its time", Observation{"chat": {Target: streams(9, 1300*time.Millisecond, 0, 0), Other: good}}, 9*time.Second, routing.PhaseActive),
		Entry("no request has reached the target", Observation{"chat": {Other: good}}, 12*time.Second, routing.PhaseActive),
		Entry("no request has reached the target until the end", Observation{"chat": {Other: good}}, 14*time.Second, routing.PhaseWithdrawn),
		Entry("no evidence at all until the end", Observation{}, 14*time.Second, routing.PhaseWithdrawn),
		Entry("streams stand at the target and none has answered", Observation{"chat": {Target: streams(0, 0, 3, 2*time.Second), Other: good}}, 14*time.Second, routing.PhaseWithdrawn),
		Entry("too few slow answers to call it faulty", Observation{"chat": {Target: streams(3, 5*time.Second, 0, 0), Other: streams(9, time.Second, 0, 0)}}, 14*time.Second, routing.PhaseWithdrawn),
		Entry("little traffic, and a quarter of it on the target", Observation{"chat": {Target: streams(3, time.Second, 0, 0), Other: streams(9, time.Second, 0, 0)}}, 12*time.Second, routing.PhaseCompleted),
		Entry("a route without evidence", Observation{"chat": {Target: streams(9, time.Second, 0, 0), Other: good}, "pay": {Other: good}}, 14*time.Second, routing.PhaseWithdrawn),
		Entry("a route on which hardly a request is answered on the other versions", Observation{"chat": {Target: streams(9, time.Second, 0, 0), Other: good}, "gone": {Target: sample(6, 6, 0), Other: sample(40, 38, time.Millisecond)}}, 12*time.Second, routing.PhaseCompleted),
		Entry("two slow answers of fourteen, which are usual", Observation{"chat": {Target: streams(12, 30*time.Millisecond, 0, 0).add(streams(2, 150*time.Millisecond, 0, 0)), Other: streams(70, 30*time.Millisecond, 0, 0)}}, 12*time.Second, routing.PhaseCompleted),
		Entry("a route with hardly any traffic", Observation{"chat": {Target: streams(9, time.Second, 0, 0), Other: good}, "rare": {Other: streams(2, time.Second, 0, 0)}}, 12*time.Second, routing.PhaseCompleted),
		Entry("a route with little traffic while there is time to wait for it", Observation{"chat": {Target: streams(9, time.Second, 0, 0), Other: good}, "rare": {Other: streams(8, time.Second, 0, 0)}}, 11*time.Second, routing.PhaseActive),
		Entry("a route with little traffic afterwards", Observation{"chat": {Target: streams(9, time.Second, 0, 0), Other: good}, "rare": {Other: streams(8, time.Second, 0, 0)}}, 12*time.Second, routing.PhaseCompleted),
		Entry("a route with little traffic on which all answers were slow", Observation{"chat": {Target: streams(9, time.Second, 0, 0), Other: good}, "rare": {Target: streams(2, 5*time.Second, 0, 0), Other: streams(8, time.Second, 0, 0)}}, 14*time.Second, routing.PhaseWithdrawn),
	)

	It("states why a move was withdrawn", func() {
		got := decide(Observation{"chat": {Other: good}}, 14*time.Second)
		Expect(got.Reason).To(Equal("unproven: 0 answers of 8 needed"))
		Expect(got.result()).To(Equal(resultUnproven))
		Expect(decide(Observation{"chat": {Target: streams(8, 9*time.Second, 0, 0), Other: good}}, 14*time.Second).result()).To(Equal(resultFaulty))
	})
})

var _ = Describe("the share of a version on trial", func() {
	It("is raised on a route with so little traffic that the initial one would bring no evidence in time", func() {
		got := decide(Observation{"chat": {Other: streams(4, time.Second, 0, 0)}}, 2*time.Second)
		Expect(got.RouteShares["chat"]).To(BeNumerically("~", maxTrialShare, 0.01))
	})

	It("is not raised on a route with much traffic", func() {
		got := decide(Observation{"chat": {Other: streams(2000, time.Second, 0, 0)}}, 2*time.Second)
		Expect(got.RouteShares["chat"]).To(BeNumerically("<=", initialShare))
	})

	It("is not raised while the target has answered none of several requests", func() {
		got := decide(Observation{"chat": {Target: streams(0, 0, maxUnanswered, time.Second), Other: streams(10, time.Second, 0, 0)}}, 2*time.Second)
		Expect(got.RouteShares).To(BeEmpty())
	})

	It("counts requests in progress as exposed, which a slow version has most of", func() {
		got := decide(Observation{"chat": {Target: streams(0, 0, 60, time.Second), Other: streams(200, time.Second, 0, 0)}}, 2*time.Second)
		Expect(got.Share).To(BeZero())
	})

	It("never exceeds the allowed exposure while no request is answered", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			routes := rapid.IntRange(1, 5).Draw(t, "routes")
			seen := Observation{}
			perRound := rapid.IntRange(0, 200).Draw(t, "requests")
			for round := range rapid.IntRange(1, 60).Draw(t, "rounds") {
				elapsed := time.Duration(round) * time.Second
				state := nextState(State{Phase: routing.PhaseActive}, progress{seen: seen, elapsed: elapsed, duration: time.Minute}, limits)
				for route := range routes {
					name := string(rune('a' + route))
					stage := routing.Stage{Share: state.Share, RouteShares: state.RouteShares}.OfRoute(name)
					v := seen[name]
					exposed := int(float64(perRound) * stage.Share)
					v.Target.Sent += exposed
					v.Other.Sent += perRound - exposed
					seen[name] = v
				}
			}
			total := seen.total()
			if limit := limits.Share*float64(total.Target.Sent+total.Other.Sent) + limits.Slack; float64(total.Target.Sent) > limit {
				t.Fatalf("target received %d requests, %v are allowed", total.Target.Sent, limit)
			}
		})
	})
})

var _ = Describe("a histogram", func() {
	It("counts as over a limit only what certainly is", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			took := time.Duration(rapid.Int64Range(0, int64(100*time.Second)).Draw(t, "took"))
			limit := time.Duration(rapid.Int64Range(int64(2*time.Millisecond), int64(100*time.Second)).Draw(t, "limit"))
			var h Histogram
			h.Add(took)
			if h.countOver(limit) > 0 && took < limit-time.Microsecond {
				t.Fatalf("%v counts as over %v", took, limit)
			}
			if h.countOver(limit) == 0 && took > limit*5/4 {
				t.Fatalf("%v does not count as over %v", took, limit)
			}
		})
	})

	It("has a median within a bucket of the exact one", func() {
		var h Histogram
		for ms := 1; ms <= 1001; ms++ {
			h.Add(time.Duration(ms) * time.Millisecond)
		}
		Expect(h.median()).To(BeNumerically("~", 500*time.Millisecond, 60*time.Millisecond))
		Expect((&Histogram{}).median()).To(BeZero())
	})
})

var _ = Describe("the probability of bad responses by chance", func() {
	It("is that of the binomial distribution", func() {
		Expect(binomialTail(4, 4, 0.1)).To(BeNumerically("~", 1e-4, 1e-9))
		Expect(binomialTail(10, 5, 0.5)).To(BeNumerically("~", 0.623, 0.001))
		Expect(binomialTail(10, 0, 0.5)).To(Equal(1.0))
		Expect(binomialTail(10, 5, 1)).To(Equal(1.0))
	})
})
