package routing

import (
	"cmp"
	"slices"
	"time"
)

// maxRejections bounds the versions of a service that are remembered. Those of the
// oldest orders are forgotten first; their servers have left long before.
const maxRejections = 32

// Rejection records that a move ended without its target being completed. It outlives
// the move, since servers of the version may be registered until after later orders.
type Rejection struct {
	Version string
	// Order is the order whose move ended.
	Order uint64
	// Withdrawn is set if the move was withdrawn. Otherwise a later order replaced it
	// before its target was proven.
	Withdrawn bool
	// LatestStart is the latest start of the version's servers that were known at the
	// end of the move, by the clocks of the servers.
	LatestStart time.Duration
	// Reordered is set if a later order names the version again. Then only the servers
	// that had started by LatestStart are rejected.
	Reordered bool
}

// Covers reports whether the rejection applies to the server.
func (r Rejection) Covers(server *Server) bool {
	return r.Version == server.Version && (!r.Reordered || server.StartedAt <= r.LatestStart)
}

// Rejections holds at most one rejection for each version. Nil means that nothing is
// known, an empty list that no version is rejected.
type Rejections []Rejection

// Find returns the rejection that applies to the server, if there is one.
func (r Rejections) Find(server *Server) (Rejection, bool) {
	for _, rejection := range r {
		if rejection.Covers(server) {
			return rejection, true
		}
	}
	return Rejection{}, false
}

// With returns the rejections with another one added. A rejection of the same version
// is replaced, but what it says of earlier servers is kept.
func (r Rejections) With(added Rejection) Rejections {
	rejections := make(Rejections, 0, len(r)+1)
	for _, rejection := range r {
		if rejection.Version != added.Version {
			rejections = append(rejections, rejection)
			continue
		}
		added.Withdrawn = added.Withdrawn || rejection.Withdrawn
		added.LatestStart = max(added.LatestStart, rejection.LatestStart)
	}
	rejections = append(rejections, added)
	slices.SortFunc(rejections, func(a, b Rejection) int { return cmp.Compare(a.Order, b.Order) })
	return rejections[max(len(rejections)-maxRejections, 0):]
}

// Or returns the rejections, or the others if nothing is known. Hosts of builds that do
// not record rejections leave none in the state of a move.
func (r Rejections) Or(others Rejections) Rejections {
	if r == nil {
		return others
	}
	return r
}

// has reports whether the order's move has left a rejection.
func (r Rejections) has(version string, order uint64) bool {
	return slices.ContainsFunc(r, func(rejection Rejection) bool { return rejection.Version == version && rejection.Order == order })
}

// Succeed returns the stage in which the move of the next order begins. The target of
// this stage's order is rejected unless it was completed.
func (s Stage) Succeed(next Move, servers Servers) Stage {
	rejected := slices.Clone(s.Rejected)
	ended := s.Order != 0 && s.Order < next.Order && s.Phase != PhaseCompleted
	if ended && s.Target != next.Target && !rejected.has(s.Target, s.Order) {
		rejected = rejected.With(Rejection{
			Version: s.Target, Order: s.Order, Withdrawn: s.Phase == PhaseWithdrawn, LatestStart: servers.LatestStart(next.Service, s.Target),
		})
	}
	for i := range rejected {
		if rejected[i].Version == next.Target && rejected[i].Order < next.Order {
			rejected[i].Reordered = true
		}
	}
	return Stage{Service: next.Service, Target: next.Target, Order: next.Order, Rejected: rejected}
}

// Count returns the number of servers of a version.
func (s Servers) Count(service, version string) int {
	count := 0
	for _, server := range s {
		if server.Service == service && server.Version == version {
			count++
		}
	}
	return count
}

// LatestStart returns the latest start of the servers of a version, or 0.
func (s Servers) LatestStart(service, version string) time.Duration {
	var latest time.Duration
	for _, server := range s {
		if server.Service == service && server.Version == version {
			latest = max(latest, server.StartedAt)
		}
	}
	return latest
}
