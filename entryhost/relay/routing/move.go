package routing

import "time"

// Move is the operator's order to move a service's traffic to a version.
type Move struct {
	Service string
	// Target is the version that the traffic moves to.
	Target string
	// Duration is the time within which the traffic must have moved.
	Duration time.Duration
	// Order is the version of the row that holds the order; a new order for the
	// same service has a higher one.
	Order uint64
}

// Host is another entry host.
type Host struct {
	Name    string
	Address string
	Zone    string
}
