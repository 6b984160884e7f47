package routing

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against streams that displace more urgent ones at an engine.
var _ = Describe("the ranks of a service", func() {
	urgent := 0
	routes := []Route{
		{Kind: Streaming, Priority: 3, LatencyObjective: 4 * time.Second, Split: []Share{{Service: "mixed", Weight: 1}, {Service: "unused"}}},
		{Kind: Streaming, Priority: 7, LatencyObjective: 10 * time.Second, Split: []Share{{Service: "mixed", Weight: 1}}},
		{Kind: Idempotent, Priority: 1, Split: []Share{{Service: "mixed", Weight: 1}}},
	}
	ranksWith := func(organisations map[string]Organisation) Ranks {
		config := NewConfig(1, Limits{}, routes, []Service{{Name: "mixed"}, {Name: "unused"}}, organisations)
		Expect(config.Services["unused"].Ranks).To(BeEmpty())
		return config.Services["mixed"].Ranks
	}

	It("are those of its streams, with the priority of an organisation before that of the route", func() {
		Expect(ranksWith(nil)).To(Equal(Ranks{{3, 4 * time.Second}, {7, 10 * time.Second}}))
		Expect(ranksWith(map[string]Organisation{"a": {Priority: &urgent}})).To(Equal(Ranks{{0, 4 * time.Second}}))
		Expect(ranksWith(map[string]Organisation{"a": {Priority: &urgent}, "b": {}})).To(HaveLen(3))
		Expect(ranksWith(nil).ObjectiveBefore(7)).To(Equal(4 * time.Second))
		Expect(ranksWith(nil).ObjectiveBefore(3)).To(BeZero())
	})

	It("map to engine ranks in the order of urgency first and precedence second", func() {
		for count := 2; count <= 12; count++ {
			var ranks Ranks
			for i := range count {
				ranks = append(ranks, Rank{Value: 3 * i})
			}
			last := -1
			for _, rank := range ranks {
				started, fresh, above := ranks.EngineRank(rank.Value, StartedStream), ranks.EngineRank(rank.Value, NewStream), ranks.EngineRank(rank.Value, AboveShare)
				Expect(started).To(Or(BeNumerically(">", last), Equal(engineRanks-1)))
				Expect([]int{started, fresh, above}).To(Satisfy(func([]int) bool { return started <= fresh && fresh <= above && above < engineRanks }))
				Expect(started < fresh).To(Equal(count <= 5))
				last = above
			}
		}
	})

	It("leave the engine ranks of a service with one rank as they are", func() {
		for _, ranks := range []Ranks{nil, {{Value: 1}}} {
			Expect([]int{ranks.EngineRank(1, StartedStream), ranks.EngineRank(1, NewStream), ranks.EngineRank(1, AboveShare)}).To(Equal([]int{0, 1, 9}))
		}
	})
})
