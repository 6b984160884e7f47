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
	limits := ExposureLimits{Share: 0.1, Slack: 50}
	state := State{Order: 7, Phase: routing.PhaseActive}

	It("withdraws a faulty version even when the move's time is nearly over", func() {
		got := nextState(state, sample(10, 8, 0), sample(100, 0, time.Millisecond), time.Hour, time.Second, limits)
		Expect(got.Phase).To(Equal(routing.PhaseWithdrawn))
	})

	It("completes the move to a good version before the move's time is over", func() {
		got := nextState(state, sample(10, 0, time.Millisecond), sample(100, 0, time.Millisecond), 8*time.Second, 10*time.Second, limits)
		Expect(got.Phase).To(Equal(routing.PhaseCompleted))
	})

	It("never exceeds the allowed exposure of an unproven version", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var target, other Sample
			state := state
			for range rapid.IntRange(1, 100).Draw(t, "rounds") {
				state = nextState(state, target, other, 0, time.Hour, limits)
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
		target, _ := sumEvidence([]Evidence{{Order: 6, Target: sample(5, 5, 0)}, {Order: 7, Target: sample(2, 0, 0)}}, 7)
		Expect(target.Count).To(Equal(2))
	})
})
