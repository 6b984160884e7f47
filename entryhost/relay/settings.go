// Package relay is the root supervisor of an entry host that forwards opaque
// requests and streams by route, with its state in the platform's store.
package relay

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
)

// Settings are the checked settings of one relay.
type Settings struct {
	HostName string
	// Zone is the data centre of this host.
	Zone string
	// FrontAddress is where callers connect, ReadyAddress where the balancer
	// asks, PeerAddress where other entry hosts do, and MetricsAddress where
	// metrics are read.
	FrontAddress   string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	// Seeds are peer addresses of up to three hosts, which may be stale.
	Seeds []string
	// StoreAddress is that of the platform's store.
	StoreAddress string
	// StopTime is how long the platform waits after SIGTERM before it kills.
	StopTime time.Duration
	// Budget bounds the repeated arrivals at a service.
	Budget dispatch.BudgetTerms
}
