package admission

import (
	"slices"
	"time"
)

const (
	// remoteLinkDelay is the extra latency of a server in another data centre: a
	// round trip at the 1.5 ms one-way delay between the present data centres.
	remoteLinkDelay = 3 * time.Millisecond
	// maxAffinityLoad is the load, as a multiple of the mean, above which a server
	// is not preferred for its prefix cache.
	maxAffinityLoad = 1.25
)

// filterInPlace returns the wanted candidates, in the same order and array.
func filterInPlace(candidates []Candidate, wanted func(*Candidate) bool) []Candidate {
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

// ReachableFilter removes unreachable servers.
type ReachableFilter struct{}

// Filter implements Filter.
func (ReachableFilter) Filter(_ *Request, candidates []Candidate) []Candidate {
	return filterInPlace(candidates, func(c *Candidate) bool { return c.Server.Reachable })
}

// LeavingFilter removes servers that the host list shows as leaving.
type LeavingFilter struct{}

// Filter implements Filter.
func (LeavingFilter) Filter(_ *Request, candidates []Candidate) []Candidate {
	return filterInPlace(candidates, func(c *Candidate) bool { return !c.Server.Host.Leaving })
}

// HealthFilter removes servers that are ejected or back off. One refusal starts a
// backoff, so that a draining server gets no work while the host list lags.
type HealthFilter struct{}

// Filter implements Filter.
func (HealthFilter) Filter(_ *Request, candidates []Candidate) []Candidate {
	return filterInPlace(candidates, func(c *Candidate) bool { return c.Health == HealthGood || c.Health == HealthProbing })
}

// ReservedFilter removes the server that is reserved for suspect requests.
type ReservedFilter struct{}

// Filter implements Filter.
func (ReservedFilter) Filter(_ *Request, candidates []Candidate) []Candidate {
	return filterInPlace(candidates, func(c *Candidate) bool { return !c.Reserved })
}

// VersionFilter removes servers that do not report the request's version.
type VersionFilter struct{}

// Filter implements Filter.
func (VersionFilter) Filter(request *Request, candidates []Candidate) []Candidate {
	if request.Version == "" {
		return candidates
	}
	version := string(request.Version)
	return filterInPlace(candidates, func(c *Candidate) bool { return slices.Contains(c.Server.Load.Versions, version) })
}

// ExcludeFilter removes the servers that a request should avoid, unless no other
// is left. It must precede CapacityFilter: a server that has just failed has free
// slots, which must not make it the only choice.
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
	return filterInPlace(candidates, allowed)
}

// DataCentreFilter removes servers of other data centres, unless no local server
// has a free slot and the expected wait for one is at least remoteLinkDelay.
type DataCentreFilter struct{}

// Filter implements Filter.
func (DataCentreFilter) Filter(_ *Request, candidates []Candidate) []Candidate {
	local := func(c *Candidate) bool { return !c.Remote }
	if !anyOf(candidates, local) {
		return candidates
	}
	localFree := anyOf(candidates, func(c *Candidate) bool { return !c.Remote && c.HasFreeSlot() })
	if localFree || candidates[0].SlotWait < remoteLinkDelay {
		return filterInPlace(candidates, local)
	}
	return candidates
}

// CapacityFilter removes servers without a free slot.
type CapacityFilter struct{}

// Filter implements Filter.
func (CapacityFilter) Filter(_ *Request, candidates []Candidate) []Candidate {
	return filterInPlace(candidates, (*Candidate).HasFreeSlot)
}

// AffinityFilter keeps the servers that hold the longest prefix of the prompt in
// their cache, among those whose load is within maxAffinityLoad of the mean. If
// none of these holds any of it, rendezvous hashing chooses one, so that all entry
// hosts build up the same prefix on the same server.
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
	// With nearly idle servers, one request is always within the bound.
	bound := max(maxAffinityLoad*sum/float64(len(candidates)), 1)
	longest, preferred := 0, -1
	for i := range candidates {
		if candidates[i].Load > bound {
			continue
		}
		longest = max(longest, candidates[i].CachedBlocks)
		if preferred < 0 || candidates[i].rendezvousRank(request) < candidates[preferred].rendezvousRank(request) {
			preferred = i
		}
	}
	if longest > 0 {
		return filterInPlace(candidates, func(c *Candidate) bool { return c.CachedBlocks == longest && c.Load <= bound })
	}
	if preferred < 0 {
		return candidates
	}
	return candidates[preferred : preferred+1]
}

// rendezvousRank is the rank of the server for the first block of the prompt; the
// lowest wins.
func (c *Candidate) rendezvousRank(request *Request) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	mixed := (c.Hash ^ request.PrefixHashes[0]) * multiplier
	return (mixed ^ mixed>>32) * multiplier
}
