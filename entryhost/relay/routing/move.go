package routing

import "time"

// Move is the operator's order to move a service's traffic to a version.
type Move struct {
	Service string
	// Target is the version that the traffic moves to.
	Target string
	// Duration is the time within which all traffic must have moved.
	Duration time.Duration
	// Order is the version of the stored row that holds the order; a newer order
	// for the same service has a higher one.
	Order uint64
}

// Host is an entry host. Address is where other entry hosts connect to it.
type Host struct {
	Name       string
	Address    string
	DataCentre string
}

// Phase is the progress of a version move.
type Phase int

// The phases of a version move.
const (
	// PhaseNone means that no host has started the move; the target gets no
	// traffic.
	PhaseNone Phase = iota
	PhaseActive
	PhaseCompleted
	PhaseWithdrawn
)

// Stage is a version move's phase and the share of the service's traffic that
// the target receives, in [0, 1].
type Stage struct {
	Service string
	Target  string
	Order   uint64
	Phase   Phase
	Share   float64
	// RouteShares holds the shares of routes that have another one than Share.
	RouteShares map[string]float64
	// LoadTest is the period in which the target receives all traffic.
	LoadTest Period
	// Rejected holds what earlier moves have shown about versions, and the target if
	// this one was withdrawn.
	Rejected Rejections
}

// Period is a period of time. The zero Period contains no time.
type Period struct{ From, Until time.Time }

// Contains reports whether the time is in the period.
func (p Period) Contains(t time.Time) bool { return !t.Before(p.From) && t.Before(p.Until) }

// At returns the stage with the shares of a time.
func (s Stage) At(now time.Time) Stage {
	if s.Phase == PhaseActive && s.LoadTest.Contains(now) {
		s.Share, s.RouteShares = 1, nil
	}
	return s
}

// OfRoute returns the stage for the requests of a route.
func (s Stage) OfRoute(route string) Stage {
	if share, found := s.RouteShares[route]; found {
		s.Share = share
	}
	return s
}

// Allows reports whether a request may go to a server of the version. Point is
// uniform in [0, 1) and fixed for the life of the request.
func (s Stage) Allows(version string, point float64) bool {
	target := version == s.Target
	switch s.Phase {
	case PhaseCompleted:
		return target
	case PhaseActive:
		return target == (point < s.Share)
	default:
		return !target
	}
}
