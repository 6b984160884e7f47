package admission

import (
	"math/rand/v2"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/model"
)

// Candidate holds the properties of a server that filters, scorers and pickers
// read. They must not modify it.
type Candidate struct {
	// Server is an immutable snapshot.
	Server *backends.ServerState
	// InFlight is the number of attempts of this entry host on the server, and
	// Limit their maximum.
	InFlight int
	Limit    int
	// Load is the estimated number of requests on the server, from all entry hosts.
	Load float64
	// Assigned counts the attempts sent to the server so far.
	Assigned uint64
	// Hash is the hash of the server's id for rendezvous hashing.
	Hash uint64
	// CachedBlocks is the number of leading prompt blocks in the server's cache.
	CachedBlocks int
	// SlotWait is the expected time until the next slot is free; it is the same for
	// all candidates.
	SlotWait time.Duration
	Health   HealthState
	// Remote is true if the server is in another data centre.
	Remote bool
	// Reserved is true if the server is reserved for suspect requests.
	Reserved bool
}

// ID returns the server's id.
func (c *Candidate) ID() model.ServerID { return model.ServerID(c.Server.Host.ID) }

// HasFreeSlot reports whether the server has a free slot.
func (c *Candidate) HasFreeSlot() bool { return c.InFlight < c.Limit }

// Filter removes candidates that must not run the request. It returns a subset
// in the same order, which may reuse the array of its argument, and has no
// other effect.
type Filter interface {
	Filter(request *Request, candidates []Candidate) []Candidate
}

// Scorer rates a candidate from 0 (worst) to 1 (best) without side effects.
type Scorer interface {
	Score(request *Request, candidate *Candidate) float64
}

// Scored is a candidate with the weighted sum of its scores.
type Scored struct {
	Candidate *Candidate
	Score     float64
}

// Picker chooses one of the scored candidates, of which there is at least one.
type Picker interface {
	Pick(random *rand.Rand, scored []Scored) *Candidate
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

// Route returns the chosen candidate, or false when no server may run the
// request. Filters may overwrite candidates. The scores are stored in scratch, so
// that routing a dispatch need not allocate.
func (r Router) Route(random *rand.Rand, request *Request, candidates []Candidate, scratch []Scored) (*Candidate, bool) {
	for _, filter := range r.Filters {
		candidates = filter.Filter(request, candidates)
		if len(candidates) == 0 {
			return nil, false
		}
	}
	scored := scratch[:0]
	for i := range candidates {
		scored = append(scored, Scored{Candidate: &candidates[i], Score: r.score(request, &candidates[i])})
	}
	return r.Picker.Pick(random, scored), true
}

func (r Router) score(request *Request, candidate *Candidate) float64 {
	var sum float64
	for _, weighted := range r.Scorers {
		sum += weighted.Weight * weighted.Scorer.Score(request, candidate)
	}
	return sum
}

// DefaultRouter returns the routing policy of the daemon.
func DefaultRouter() Router {
	return Router{
		Filters: []Filter{
			ReachableFilter{}, LeavingFilter{}, HealthFilter{}, ReservedFilter{}, VersionFilter{},
			ExcludeFilter{}, DataCentreFilter{}, CapacityFilter{}, AffinityFilter{},
		},
		Scorers: []WeightedScorer{{Scorer: LoadScorer{}, Weight: 1}},
		Picker:  TwoChoicesPicker{},
	}
}

// LoadScorer prefers servers that use a smaller share of their capacity. The
// score reaches 0 at a load of twice the capacity.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(_ *Request, candidate *Candidate) float64 {
	capacity := candidate.Server.Load.Capacity
	if capacity <= 0 {
		capacity = defaultServerLimit
	}
	return 1 - min(candidate.Load/float64(2*capacity), 1)
}

// TwoChoicesPicker draws two candidates at random and takes the better one, so
// that entry hosts with the same outdated load reports do not all choose the same
// server.
type TwoChoicesPicker struct{}

// Pick implements Picker.
func (TwoChoicesPicker) Pick(random *rand.Rand, scored []Scored) *Candidate {
	first := scored[random.IntN(len(scored))]
	second := scored[random.IntN(len(scored))]
	if second.Score > first.Score {
		return second.Candidate
	}
	return first.Candidate
}

// RandomPicker chooses uniformly at random. It serves as a baseline.
type RandomPicker struct{}

// Pick implements Picker.
func (RandomPicker) Pick(random *rand.Rand, scored []Scored) *Candidate {
	return scored[random.IntN(len(scored))].Candidate
}

// RoundRobinPicker chooses the server with the fewest assignments so far. It
// serves as a baseline.
type RoundRobinPicker struct{}

// Pick implements Picker.
func (RoundRobinPicker) Pick(_ *rand.Rand, scored []Scored) *Candidate {
	best := scored[0].Candidate
	for _, other := range scored[1:] {
		if other.Candidate.Assigned < best.Assigned {
			best = other.Candidate
		}
	}
	return best
}
