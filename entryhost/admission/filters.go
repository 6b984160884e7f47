package admission

import (
	"slices"
	"time"
)

const (
	// linkCost is the extra latency of a server in another data centre: a round
	// trip at the 1.5 ms one-way delay between today's data centres.
	linkCost = 3 * time.Millisecond
	// affinityBound is the load, as a multiple of the mean, above which a server
	// takes no work for the sake of its prefix cache.
	affinityBound = 1.25
)

// keep moves the wanted candidates to the front of the array.
func keep(candidates []Candidate, wanted func(*Candidate) bool) []Candidate {
	kept := 0
	for i := range candidates {
		if !wanted(&candidates[i]) {
			continue
		}
		if kept != i {
			candidates[kept] = candidates[i]
		}
		kept++
	}
	return candidates[:kept]
}

func anyOf(candidates []Candidate, wanted func(*Candidate) bool) bool {
	for i := range candidates {
		if wanted(&candidates[i]) {
			return true
		}
	}
	return false
}

// LiveFilter removes servers that do not answer.
type LiveFilter struct{}

// Filter implements Filter.
func (LiveFilter) Filter(_ *Request, candidates []Candidate) []Candidate {
	return keep(candidates, func(c *Candidate) bool { return c.Server.Reachable })
}

// LeavingFilter removes servers that the host list shows as leaving.
type LeavingFilter struct{}

// Filter implements Filter.
func (LeavingFilter) Filter(_ *Request, candidates []Candidate) []Candidate {
	return keep(candidates, func(c *Candidate) bool { return !c.Server.Host.Leaving })
}

// HealthFilter removes servers that are ejected or held. A refusal holds a
// server at once, so that one that drains takes no work while the host list lags.
type HealthFilter struct{}

// Filter implements Filter.
func (HealthFilter) Filter(_ *Request, candidates []Candidate) []Candidate {
	return keep(candidates, func(c *Candidate) bool { return c.Health == HealthGood || c.Health == HealthProbing })
}

// SetApartFilter removes the server reserved for suspect requests.
type SetApartFilter struct{}

// Filter implements Filter.
func (SetApartFilter) Filter(_ *Request, candidates []Candidate) []Candidate {
	return keep(candidates, func(c *Candidate) bool { return !c.SetApart })
}

// VersionFilter removes servers that do not hold the request's version.
type VersionFilter struct{}

// Filter implements Filter.
func (VersionFilter) Filter(request *Request, candidates []Candidate) []Candidate {
	if request.Version == "" {
		return candidates
	}
	version := string(request.Version)
	return keep(candidates, func(c *Candidate) bool { return slices.Contains(c.Server.Load.Versions, version) })
}

// ExcludeFilter removes the servers a request should avoid, unless no other is
// left. It goes before the capacity is looked at: a server that has just failed
// has free slots, which must not make it the only choice.
type ExcludeFilter struct{}

// Filter implements Filter.
func (ExcludeFilter) Filter(request *Request, candidates []Candidate) []Candidate {
	if len(request.Exclude) == 0 {
		return candidates
	}
	allowed := func(c *Candidate) bool { return !slices.Contains(request.Exclude, c.ID()) }
	if !anyOf(candidates, allowed) {
		return candidates
	}
	return keep(candidates, allowed)
}

// DataCentreFilter keeps to the own data centre and spills over to others when
// the wait for a slot there costs more than the link.
type DataCentreFilter struct{}

// Filter implements Filter.
func (DataCentreFilter) Filter(_ *Request, candidates []Candidate) []Candidate {
	local := func(c *Candidate) bool { return !c.Remote }
	if !anyOf(candidates, local) {
		return candidates
	}
	room := anyOf(candidates, func(c *Candidate) bool { return !c.Remote && c.HasRoom() })
	if room || candidates[0].SlotWait < linkCost {
		return keep(candidates, local)
	}
	return candidates
}

// CapacityFilter removes servers that are at their limit.
type CapacityFilter struct{}

// Filter implements Filter.
func (CapacityFilter) Filter(_ *Request, candidates []Candidate) []Candidate {
	return keep(candidates, (*Candidate).HasRoom)
}

// AffinityFilter keeps the servers that hold the longest part of the prompt and
// whose load is within affinityBound of the mean. A prompt that no such server
// holds goes to the one that rendezvous hashing names among those within the
// bound, so that all entry hosts build up the same prefix in the same place.
type AffinityFilter struct{}

// Filter implements Filter.
func (AffinityFilter) Filter(request *Request, candidates []Candidate) []Candidate {
	if len(request.PrefixHashes) == 0 {
		return candidates
	}
	var sum float64
	for i := range candidates {
		sum += candidates[i].Load
	}
	// One more request on a nearly idle set of servers is always within the bound.
	bound := max(affinityBound*sum/float64(len(candidates)), 1)
	longest, home := 0, -1
	for i := range candidates {
		if candidates[i].Load > bound {
			continue
		}
		longest = max(longest, candidates[i].CachedBlocks)
		if home < 0 || candidates[i].rank(request) < candidates[home].rank(request) {
			home = i
		}
	}
	if longest > 0 {
		return keep(candidates, func(c *Candidate) bool { return c.CachedBlocks == longest && c.Load <= bound })
	}
	if home < 0 {
		return candidates
	}
	return candidates[home : home+1]
}

// rank orders servers for the first block of a prompt.
func (c *Candidate) rank(request *Request) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	mixed := (c.Hash ^ request.PrefixHashes[0]) * multiplier
	return (mixed ^ mixed>>32) * multiplier
}
