// Package relay is the root supervisor of an entry host that forwards opaque
// requests and streams to servers by route. Its shared state is kept in the
// platform's store.
package relay

import (
	"strings"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/memory"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/moves"
)

// Settings holds the validated settings of one relay.
type Settings struct {
	// HostName is the name of this host.
	HostName string
	// DataCentre is the data centre of this host.
	DataCentre string
	// RegionDataCentres are the data centres of this host's region, separated by
	// commas. If it is empty, all data centres are.
	RegionDataCentres string
	// FrontAddress is where callers connect, ReadyAddress where the balancer
	// checks readiness, PeerAddress where other entry hosts connect, and
	// MetricsAddress where metrics are scraped. An empty PeerAddress or
	// MetricsAddress disables that listener.
	FrontAddress   string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	// Seeds are peer addresses of entry hosts, separated by commas. They may be
	// stale.
	Seeds string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// StopGracePeriod is the time from SIGTERM to the platform's kill.
	StopGracePeriod time.Duration
	// DeregistrationDelay is how long the balancer may still send new connections
	// after this host has stopped being ready.
	DeregistrationDelay time.Duration
	// Budget limits the retries of a service.
	Budget dispatch.BudgetLimits
	// Exposure limits the requests that a faulty version may receive in a version
	// move.
	Exposure moves.ExposureLimits
	// Memory bounds what clients may take of this host. Zero values are derived from the
	// memory and the descriptors.
	Memory memory.Limits
}

// SeedList returns the seeds as a list.
func (s Settings) SeedList() []string { return splitList(s.Seeds) }

// Region returns the data centres of this host's region as a set.
func (s Settings) Region() map[string]bool {
	region := map[string]bool{}
	for _, dataCentre := range splitList(s.RegionDataCentres) {
		region[dataCentre] = true
	}
	return region
}

func splitList(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' })
}
