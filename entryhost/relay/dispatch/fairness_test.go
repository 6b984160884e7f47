package dispatch

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = Describe("the fair share of organisations", func() {
	It("is without bound while all prompts are read in time", func() {
		Expect(fairShare(map[string]int{"large": 30, "small": 1}, 40)).To(Equal(math.Inf(1)))
	})

	It("leaves to the others what an organisation does not need", func() {
		Expect(fairShare(map[string]int{"a": 1, "b": 3, "large": 100}, 36)).To(Equal(32.0))
	})

	It("divides the whole capacity and leaves out none that needs less than its share", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			counts := map[string]int{}
			total := 0
			for i := range rapid.IntRange(1, 20).Draw(t, "organisations") {
				count := rapid.IntRange(1, 50).Draw(t, "prompts")
				counts[fmt.Sprint(i)] = count
				total += count
			}
			capacity := float64(rapid.IntRange(1, 200).Draw(t, "capacity"))
			share, used := fairShare(counts, capacity), 0.0
			for _, count := range counts {
				used += math.Min(float64(count), share)
			}
			if want := math.Min(capacity, float64(total)); math.Abs(used-want) > 1e-6 {
				t.Fatalf("%v of %v used with a share of %v", used, want, share)
			}
		})
	})
})

// flood returns what waits at a data centre when one of ten organisations has
// `multiple` times the prompts of each other.
func flood(multiple, engines int) demand {
	prompts := map[string]int{"flooding": 2 * multiple}
	for i := range 9 {
		prompts[fmt.Sprint("member-", i)] = 2
	}
	return demand{prompts: prompts, engines: engineCounts{all: engines}}
}

// Guards against an organisation that floods the engines at the cost of all others.
var _ = Describe("one organisation at many times its usual", func() {
	for _, multiple := range []int{8, 20} {
		for _, engines := range []int{18, 54} {
			It(fmt.Sprintf("comes after the others at %d times on %d engines, and only it is refused", multiple, engines), func() {
				waiting := flood(multiple, engines)
				overloaded := 2*multiple+18 > int(promptsInTime)*engines
				Expect(waiting.exceedsShare("flooding")).To(Equal(overloaded))
				for i := range 9 {
					Expect(waiting.exceedsShare(fmt.Sprint("member-", i))).To(BeFalse())
					_, refused := waiting.refusal(fmt.Sprint("member-", i), 0.5)
					Expect(refused).To(BeFalse())
				}
			})
		}
	}

	It("is refused once its streams could not end before their deadline, and returns spread over the time in which room appears", func() {
		waiting := flood(60, 18)
		earliest, refused := waiting.refusal("flooding", 0)
		Expect(refused).To(BeTrue())
		latest, _ := waiting.refusal("flooding", 0.999)
		Expect(earliest).To(BeNumerically(">", time.Second))
		Expect(latest).To(BeNumerically(">", 2*earliest))
	})

	It("is not refused while its streams end in time", func() {
		_, refused := flood(20, 18).refusal("flooding", 0.5)
		Expect(refused).To(BeFalse())
	})
})

// Guards against a collapse: copies of caches take the memory of the streams that run,
// and each stream that is pushed out reads its prompt again.
var _ = Describe("engines at which prompts wait", func() {
	It("hold copies of caches while each prompt finds an engine, and none once prompts wait at every engine", func() {
		Expect(demand{prompts: map[string]int{"a": 17}, engines: engineCounts{all: 18}}.copiesAllowed()).To(BeTrue())
		Expect(demand{prompts: map[string]int{"a": 18}, engines: engineCounts{all: 18}}.copiesAllowed()).To(BeFalse())
	})
})
