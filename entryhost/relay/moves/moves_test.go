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
	return Sample{Count: count, Failed: failed, Took: time.Duration(count-failed) * mean}
}

var _ = Describe("the judgement of a version", func() {
	old := sample(200, 28, 30*time.Millisecond)

	DescribeTable("compares it with the others over the same time",
		func(target Sample, bad bool) { Expect(isBad(target, old)).To(Equal(bad)) },
		Entry("as good as the others, which fail 14 in 100 themselves", sample(20, 3, 30*time.Millisecond), false),
		Entry("one failure proves nothing", sample(1, 1, 0), false),
		Entry("half of its answers fail", sample(10, 5, 30*time.Millisecond), true),
		Entry("its answers are four times slower", sample(10, 0, 120*time.Millisecond), true),
		Entry("a few slow answers prove nothing", sample(3, 0, 120*time.Millisecond), false),
	)
})

var _ = Describe("the holder of a move", func() {
	terms := Terms{Share: 0.1, Slack: 50}
	state := State{Order: 7, Phase: routing.PhaseActive}

	It("withdraws a bad version also when its time is nearly over", func() {
		got := next(state, sample(10, 8, 0), sample(100, 0, time.Millisecond), time.Hour, time.Second, terms)
		Expect(got.Phase).To(Equal(routing.PhaseWithdrawn))
	})

	It("completes a good version before its time is over", func() {
		got := next(state, sample(10, 0, time.Millisecond), sample(100, 0, time.Millisecond), 8*time.Second, 10*time.Second, terms)
		Expect(got.Phase).To(Equal(routing.PhaseCompleted))
	})

	It("never gives a version more than the exposure allows while it is not proved", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var target, other Sample
			state := state
			for range rapid.IntRange(1, 100).Draw(t, "rounds") {
				state = next(state, target, other, 0, time.Hour, terms)
				requests := rapid.IntRange(0, 60).Draw(t, "requests")
				exposed := int(float64(requests) * state.Share)
				target.Count += exposed
				other.Count += requests - exposed
			}
			if limit := terms.Share*float64(target.Count+other.Count) + terms.Slack; float64(target.Count) > limit {
				t.Fatalf("%d requests where %v are allowed", target.Count, limit)
			}
		})
	})

	It("counts evidence of its own order only", func() {
		target, _ := sum([]Evidence{{Order: 6, Target: sample(5, 5, 0)}, {Order: 7, Target: sample(2, 0, 0)}}, 7)
		Expect(target.Count).To(Equal(2))
	})
})
