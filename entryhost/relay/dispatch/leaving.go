package dispatch

import (
	"context"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/eventcode"
)

const (
	// leavingLifetime is how long a server that leaves is remembered after its
	// registration has ended. A registration that lapsed in an outage of the store comes
	// back within seconds.
	leavingLifetime = time.Minute
	// leavingCheckInterval is the time between health checks of a server that leaves
	// while its registration says otherwise, as in an outage of the store. Such a server
	// may have been replaced by one with its id and address, which may take work.
	leavingCheckInterval = 2 * time.Second
)

// ServerLeaving reports that the head of a response states that its server leaves.
type ServerLeaving struct {
	Lease Lease
}

// leavingCheckDone is the result of a health check of a server that leaves.
type leavingCheckDone struct {
	server string
	// since is when the server had stated that it leaves.
	since   time.Time
	staysOn bool
}

func (ServerLeaving) isMessage()    {}
func (leavingCheckDone) isMessage() {}

// leavingServer is a server that has stated that it leaves, whatever its registration
// says.
type leavingServer struct {
	address   string
	startedAt time.Duration
	// adopted is set if the server had no registration of its own, so that its start is
	// not known.
	adopted bool
	since   time.Time
	// lastKnown is when the server was last registered or adopted, checkedAt when its
	// health was checked last.
	lastKnown time.Time
	checkedAt time.Time
}

// handleLeaving takes a server out of use. Requests that it has started are not affected.
func (t *Task) handleLeaving(message ServerLeaving) {
	granted, found := t.leases[message.Lease]
	if !found {
		return
	}
	state := granted.server
	id := state.server.ID
	if _, known := t.leaving[id]; known || t.servers[id] != state {
		// The latter are attempts on a process that was replaced since.
		return
	}
	_, adopted := t.adopted[id]
	now := t.Clock.Now()
	t.leaving[id] = leavingServer{
		address: state.server.Address, startedAt: state.server.StartedAt, adopted: adopted, since: now, lastKnown: now, checkedAt: now,
	}
	state.closeIdle()
	t.notifyCopyLost(state)
	t.Metrics.GetOrCreateCounter("lentilpoint_relay_servers_leaving_total").Inc()
	t.Logger.Info("server states that it leaves", eventcode.ServerLeaves.Attr(), "server", id, "service", state.server.Service,
		"address", state.server.Address, "registered_draining", state.server.Draining)
}

// isLeaving reports whether the server has stated that it leaves.
func (t *Task) isLeaving(id string) bool {
	_, found := t.leaving[id]
	return found
}

// updateLeaving forgets the servers in whose place another process is registered, and
// those that are gone.
func (t *Task) updateLeaving() {
	now := t.Clock.Now()
	for id, known := range t.leaving {
		registered := t.registration(id)
		switch {
		case registered != nil && known.adopted && registered.Address == known.address:
			known.startedAt, known.adopted, known.lastKnown = registered.StartedAt, false, now
		case registered != nil && (registered.Address != known.address || registered.StartedAt != known.startedAt):
			delete(t.leaving, id)
			continue
		case registered != nil || t.isKnown(id):
			known.lastKnown = now
		case now.Sub(known.lastKnown) > leavingLifetime:
			delete(t.leaving, id)
			continue
		}
		t.leaving[id] = known
	}
}

// registration returns the registration with the id, or nil.
func (t *Task) registration(id string) *routing.Server {
	if server, found := t.view.Servers[id]; found {
		return server
	}
	return t.view.Superseded[id]
}

// checkLeaving checks the health of the servers that leave while they are registered as
// ready.
func (t *Task) checkLeaving(ctx context.Context) {
	if t.view.Config == nil {
		return
	}
	now := t.Clock.Now()
	for id, known := range t.leaving {
		server := t.registration(id)
		if server == nil || server.Draining || now.Sub(known.checkedAt) < leavingCheckInterval {
			continue
		}
		path := t.view.Config.Services[server.Service].HealthPath
		if path == "" {
			continue
		}
		known.checkedAt = now
		t.leaving[id] = known
		go func() {
			checkContext, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			err := t.Prober.CheckHealth(checkContext, server.Address, path, id)
			if err != nil {
				t.Logger.Debug("server that leaves takes no work", eventcode.ServerLeaves.Attr(), "server", id, "error", err)
			}
			_ = t.mailbox.Send(ctx, leavingCheckDone{server: id, since: known.since, staysOn: err == nil})
		}()
	}
}

// handleLeavingCheck uses a server again that is healthy: it is another process than the
// one that leaves.
func (t *Task) handleLeavingCheck(message leavingCheckDone) {
	known, found := t.leaving[message.server]
	if !found || !message.staysOn || known.since != message.since {
		return
	}
	delete(t.leaving, message.server)
	t.Logger.Info("another process has taken the place of a server that was leaving", eventcode.ServerLeaves.Attr(), "server", message.server, "address", known.address)
}
