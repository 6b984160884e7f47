package routing

import (
	"sort"
	"time"
)

// Rank is the urgency of some streams of a service; 0 is the most urgent. Objective is
// the shortest latency objective of these streams, or 0 if none has one.
type Rank struct {
	Value     int
	Objective time.Duration
}

// Ranks are the ranks that streams of a service may have, the most urgent first.
// Urgency matters only if there are several.
type Ranks []Rank

// Precedence is the place of a stream among those of its rank; the lowest comes first.
type Precedence int

const (
	// StartedStream was sent to an engine before, so that its caller waits already.
	StartedStream Precedence = iota
	NewStream
	// AboveShare is a stream whose organisation has more prompts waiting than its
	// share.
	AboveShare

	precedences = 3
)

// PrecedenceOf returns the precedence of a stream that is above its organisation's share,
// or was sent to an engine before.
func PrecedenceOf(aboveShare, started bool) Precedence {
	switch {
	case aboveShare:
		return AboveShare
	case started:
		return StartedStream
	}
	return NewStream
}

// engineRanks is the number of admission ranks that engines know.
const engineRanks = 10

// EngineRank returns the rank at the engine of a stream. Each rank of the service gets as
// many engine ranks as there is room for, up to one for each precedence, so that a stream
// precedes others of its rank but never a more urgent one. With more than three ranks
// precedences share an engine rank, and with more than ten the least urgent ranks do.
func (r Ranks) EngineRank(rank int, precedence Precedence) int {
	if len(r) <= 1 {
		switch precedence {
		case StartedStream:
			return 0
		case AboveShare:
			return engineRanks - 1
		default:
			return rank
		}
	}
	width := max(min(engineRanks/len(r), precedences), 1)
	position := sort.Search(len(r), func(i int) bool { return r[i].Value >= rank })
	return min(position*width+min(int(precedence), width-1), engineRanks-1)
}

// ObjectiveBefore returns the shortest latency objective of the ranks that are more urgent
// than the given one, or 0 if there is none.
func (r Ranks) ObjectiveBefore(rank int) time.Duration {
	var shortest time.Duration
	for _, other := range r {
		if other.Value < rank {
			shortest = shorterObjective(shortest, other.Objective)
		}
	}
	return shortest
}

// shorterObjective returns the shorter of two objectives, of which 0 is none.
func shorterObjective(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// ranksOf returns the ranks of the streams of each service. An organisation with a
// priority has that rank on every route.
func ranksOf(routes []Route, organisations map[string]Organisation, keyless bool) map[string]Ranks {
	overrides, overridesAll := map[int]bool{}, !keyless
	for _, organisation := range organisations {
		if organisation.Priority == nil {
			overridesAll = false
			continue
		}
		overrides[*organisation.Priority] = true
	}
	objectives := map[string]map[int]time.Duration{}
	for _, route := range routes {
		if route.Kind != Streaming {
			continue
		}
		ranks := make([]int, 0, len(overrides)+1)
		for rank := range overrides {
			ranks = append(ranks, rank)
		}
		if !overridesAll || route.Public {
			ranks = append(ranks, route.Priority)
		}
		for _, share := range route.Split {
			if share.Weight <= 0 && len(route.Split) > 1 {
				continue
			}
			if objectives[share.Service] == nil {
				objectives[share.Service] = map[int]time.Duration{}
			}
			for _, rank := range ranks {
				objectives[share.Service][rank] = shorterObjective(objectives[share.Service][rank], route.LatencyObjective)
			}
		}
	}
	byService := make(map[string]Ranks, len(objectives))
	for service, byRank := range objectives {
		ranks := make(Ranks, 0, len(byRank))
		for rank, objective := range byRank {
			ranks = append(ranks, Rank{Value: rank, Objective: objective})
		}
		sort.Slice(ranks, func(i, j int) bool { return ranks[i].Value < ranks[j].Value })
		byService[service] = ranks
	}
	return byService
}
