package routing

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against streams that displace more urgent ones at an engine.
var _ = Describe("the ranks of a service", func() {
	engineRanksOf := func(ranks Ranks, rank int) []int {
		return []int{ranks.EngineRank(rank, StartedStream), ranks.EngineRank(rank, NewStream), ranks.EngineRank(rank, AboveShare)}
	}

	It("are those of its streams, with the priority of an organisation before that of the route", func() {
		urgent, mixed := 0, []Share{{Service: "mixed", Weight: 1}, {Service: "unused"}}
		ranksWith := func(organisations map[string]Organisation) Ranks {
			config := NewConfig(1, Limits{}, []Route{
				{Kind: Streaming, Priority: 3, LatencyObjective: 4 * time.Second, Split: mixed},
				{Kind: Streaming, Priority: 7, LatencyObjective: 10 * time.Second, Split: mixed}, {Kind: Idempotent, Priority: 1, Split: mixed},
			}, []Service{{Name: "mixed"}, {Name: "unused"}}, organisations)
			Expect(config.Services["unused"].Ranks).To(BeEmpty())
			return config.Services["mixed"].Ranks
		}
		Expect(ranksWith(nil)).To(Equal(Ranks{{3, 4 * time.Second}, {7, 10 * time.Second}}))
		Expect(ranksWith(map[string]Organisation{"a": {Priority: &urgent}})).To(Equal(Ranks{{0, 4 * time.Second}}))
		Expect(ranksWith(map[string]Organisation{"a": {Priority: &urgent}, "b": {}})).To(HaveLen(3))
		Expect([]time.Duration{ranksWith(nil).ObjectiveBefore(3), ranksWith(nil).ObjectiveBefore(7)}).To(Equal([]time.Duration{0, 4 * time.Second}))
	})

	It("map to engine ranks in the order of urgency first and precedence second, and a single one as before", func() {
		Expect(engineRanksOf(nil, 1)).To(Equal([]int{0, 1, 9}))
		Expect(engineRanksOf(Ranks{{Value: 1}}, 1)).To(Equal([]int{0, 1, 9}))
		Expect(engineRanksOf(Ranks{{Value: 0}, {Value: 2}}, 0)).To(Equal([]int{0, 1, 2}))
		Expect(engineRanksOf(Ranks{{Value: 0}, {Value: 2}}, 2)).To(Equal([]int{3, 4, 5}))
		five := Ranks{{Value: 0}, {Value: 1}, {Value: 2}, {Value: 5}, {Value: 9}}
		Expect(engineRanksOf(five, 9)).To(Equal([]int{8, 9, 9}))
		twelve := append(five, Ranks{{Value: 10}, {Value: 11}, {Value: 12}, {Value: 13}, {Value: 14}, {Value: 15}, {Value: 16}}...)
		Expect(engineRanksOf(twelve, 5)).To(Equal([]int{3, 3, 3}))
		Expect(engineRanksOf(twelve, 16)).To(Equal([]int{9, 9, 9}))
	})
})
