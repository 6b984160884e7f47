package admission

import (
	"math/rand/v2"
	"slices"

	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/model"
)

// Candidate is what the routing plugins read of a server. It is a value; a
// plugin never changes it.
type Candidate struct {
	Server   backends.ServerState
	InFlight int
	Limit    int
	// CachedBlocks is the number of leading prompt blocks the server holds.
	CachedBlocks int
	// Remote tells that the server is in another data centre.
	Remote bool
}

// ID returns the server's id.
func (c Candidate) ID() model.ServerID { return model.ServerID(c.Server.Host.ID) }

// Filter removes candidates that must not run the request. It returns a subset
// in the same order and has no side effects.
type Filter interface {
	Filter(request Request, candidates []Candidate) []Candidate
}

// Scorer rates a candidate from 0 (worst) to 1 (best) without side effects.
type Scorer interface {
	Score(request Request, candidate Candidate) float64
}

// Scored is a candidate with the weighted sum of its scores.
type Scored struct {
	Candidate Candidate
	Score     float64
}

// Picker chooses one of at least one scored candidates.
type Picker interface {
	Pick(random *rand.Rand, scored []Scored) Candidate
}

// WeightedScorer is a scorer with its weight in the sum.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Router chooses a server by filters, then scorers, then a picker.
type Router struct {
	Filters []Filter
	Scorers []WeightedScorer
	Picker  Picker
}

// Route returns the chosen candidate, or false when no server may run the request.
func (r Router) Route(random *rand.Rand, request Request, candidates []Candidate) (Candidate, bool) {
	for _, filter := range r.Filters {
		candidates = filter.Filter(request, candidates)
	}
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	scored := make([]Scored, len(candidates))
	for i, candidate := range candidates {
		scored[i] = Scored{Candidate: candidate, Score: r.score(request, candidate)}
	}
	return r.Picker.Pick(random, scored), true
}

func (r Router) score(request Request, candidate Candidate) float64 {
	var sum float64
	for _, weighted := range r.Scorers {
		sum += weighted.Weight * weighted.Scorer.Score(request, candidate)
	}
	return sum
}

// DefaultRouter returns the routing policy of the daemon.
func DefaultRouter() Router {
	return Router{
		Filters: []Filter{LiveFilter{}, VersionFilter{}, CapacityFilter{}, ExcludeFilter{}},
		Scorers: []WeightedScorer{{Scorer: LoadScorer{}, Weight: 1}},
		Picker:  TwoChoicesPicker{},
	}
}

// LiveFilter removes servers that are leaving or unreachable.
type LiveFilter struct{}

// Filter implements Filter.
func (LiveFilter) Filter(_ Request, candidates []Candidate) []Candidate {
	return keep(candidates, func(c Candidate) bool {
		return !c.Server.Host.Leaving && c.Server.Reachable
	})
}

// VersionFilter removes servers that do not hold the request's version.
type VersionFilter struct{}

// Filter implements Filter.
func (VersionFilter) Filter(request Request, candidates []Candidate) []Candidate {
	if request.Version == "" {
		return candidates
	}
	return keep(candidates, func(c Candidate) bool {
		return slices.Contains(c.Server.Load.Versions, string(request.Version))
	})
}

// CapacityFilter removes servers that are at their limit.
type CapacityFilter struct{}

// Filter implements Filter.
func (CapacityFilter) Filter(_ Request, candidates []Candidate) []Candidate {
	return keep(candidates, func(c Candidate) bool { return c.InFlight < c.Limit })
}

// ExcludeFilter removes the servers a request should avoid, unless no other is left.
type ExcludeFilter struct{}

// Filter implements Filter.
func (ExcludeFilter) Filter(request Request, candidates []Candidate) []Candidate {
	kept := keep(candidates, func(c Candidate) bool {
		return !slices.Contains(request.Exclude, c.ID())
	})
	if len(kept) == 0 {
		return candidates
	}
	return kept
}

// LoadScorer prefers servers with the smaller share of their limit in use.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(_ Request, candidate Candidate) float64 {
	used := float64(candidate.InFlight) / float64(max(candidate.Limit, 1))
	return 1 - min(used, 1)
}

// TwoChoicesPicker draws two candidates at random and takes the better one,
// which avoids herding on lagging load reports.
type TwoChoicesPicker struct{}

// Pick implements Picker.
func (TwoChoicesPicker) Pick(random *rand.Rand, scored []Scored) Candidate {
	first := scored[random.IntN(len(scored))]
	second := scored[random.IntN(len(scored))]
	if second.Score > first.Score {
		return second.Candidate
	}
	return first.Candidate
}

func keep(candidates []Candidate, wanted func(Candidate) bool) []Candidate {
	kept := make([]Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		if wanted(candidate) {
			kept = append(kept, candidate)
		}
	}
	return kept
}
