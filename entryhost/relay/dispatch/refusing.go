package dispatch

import (
	"time"

	"github.com/lentilpoint/lentilpoint/eventcode"
)

// refusalJitter spreads the returns of callers that are refused since all servers of a
// service have asked to wait, as a share of the shortest remaining time.
const refusalJitter = 0.25

// ServerRefuses reports that a server has turned a request away and asked for no requests for
// a time.
type ServerRefuses struct {
	Lease Lease
	For   time.Duration
}

func (ServerRefuses) isMessage() {}

// refusingServer is a server that has asked for no requests until a time.
type refusingServer struct {
	address   string
	startedAt time.Duration
	until     time.Time
}

// handleRefuses takes a server out of use for the time that it has asked for.
func (t *Task) handleRefuses(message ServerRefuses) {
	granted, found := t.leases[message.Lease]
	if !found || t.servers[granted.server.server.ID] != granted.server {
		return
	}
	server, now := granted.server.server, t.Clock.Now()
	until := now.Add(message.For)
	if known, found := t.refusing[server.ID]; found && known.until.After(until) {
		return
	}
	t.refusing[server.ID] = refusingServer{address: server.Address, startedAt: server.StartedAt, until: until}
	t.Metrics.GetOrCreateCounter("lentilpoint_relay_servers_refusing_total").Inc()
	t.Logger.Info("server asks for no requests for a time", eventcode.ServerRefuses.Attr(), "server", server.ID, "service", server.Service,
		"address", server.Address, "for_ms", message.For.Milliseconds())
}

// updateRefusing forgets the servers whose time has passed or in whose place another process
// is registered.
func (t *Task) updateRefusing() {
	now := t.Clock.Now()
	for id, known := range t.refusing {
		registered := t.registration(id)
		replaced := registered != nil && (registered.Address != known.address || registered.StartedAt != known.startedAt)
		if replaced || !now.Before(known.until) {
			delete(t.refusing, id)
		}
	}
}

// refusesFor returns the time for which the server still wants no requests, or 0.
func (t *Task) refusesFor(id string, now time.Time) time.Duration {
	return max(0, t.refusing[id].until.Sub(now))
}

// allRefuse returns the shortest time after which one of the candidates wants requests again,
// and whether all that could take some later have asked for none. A request that could wait
// for one of them is refused at once, as it would be refused in the end.
func allRefuse(candidates []candidate) (time.Duration, bool) {
	var shortest time.Duration
	for _, c := range candidates {
		if c.server.Draining || c.leaving || c.stale {
			continue
		}
		if c.refusesFor == 0 {
			return 0, false
		}
		if shortest == 0 || c.refusesFor < shortest {
			shortest = c.refusesFor
		}
	}
	return shortest, shortest > 0
}
