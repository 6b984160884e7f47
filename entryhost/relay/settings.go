// Package relay is the root supervisor of an entry host that forwards opaque
// requests and streams by route, with its state in the platform's store.
package relay

import (
	"strings"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/moves"
)

// Settings are the checked settings of one relay.
type Settings struct {
	HostName string
	// DataCentre is the data centre of this host.
	DataCentre string
	// FrontAddress is where callers connect, ReadyAddress where the balancer
	// asks, PeerAddress where other entry hosts do, and MetricsAddress where
	// metrics are read.
	FrontAddress   string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	// Seeds are peer addresses of hosts, which may be stale, joined by commas.
	Seeds string
	// StoreAddress is that of the platform's store.
	StoreAddress string
	// StopTime is how long the platform waits after SIGTERM before it kills.
	StopTime time.Duration
	// ArrivalTime is how long the balancer may still send new connections after
	// this host stopped being ready.
	ArrivalTime time.Duration
	// Budget bounds the repeated arrivals at a service.
	Budget dispatch.BudgetLimits
	// Exposure bounds what a bad version may get in a version move.
	Exposure moves.Terms
}

// SeedList returns the seeds one by one.
func (s Settings) SeedList() []string {
	return strings.FieldsFunc(s.Seeds, func(r rune) bool { return r == ',' })
}
