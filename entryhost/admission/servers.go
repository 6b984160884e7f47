package admission

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// defaultServerLimit is the capacity assumed for a server that reports none.
	defaultServerLimit = 32
	// deathMergeWindow is the time within which broken attempts on one server count
	// as one death.
	deathMergeWindow = 500 * time.Millisecond
	// deathDisproofDelay is how long after a presumed death a load report must have
	// been read to disprove it; a read takes at most 1 s.
	deathDisproofDelay = time.Second
)

// serverSlots is the dispatcher's state of one server.
type serverSlots struct {
	// state points to an immutable snapshot.
	state *backends.ServerState
	// hash is the hash of the id for rendezvous hashing.
	hash     uint64
	inFlight int
	// inFlightAtReport is inFlight at the time of the last load report.
	inFlightAtReport int
	assigned         uint64
	lastAssigned     time.Time
	limiter          Limiter
	health           Health
	prefixes         *prefixSet
	death            serverDeath
}

// serverDeath is the last presumed death of a server; an id of 0 means none.
type serverDeath struct {
	id          DeathID
	at          time.Time
	incarnation uint64
	// disprovable is true until a load report has been compared with it.
	disprovable bool
}

func (s *serverSlots) capacity() int {
	if s.state.Load.Capacity > 0 {
		return s.state.Load.Capacity
	}
	return defaultServerLimit
}

func (s *serverSlots) load(now time.Time) float64 {
	reported := s.state.Load.Running + s.state.Load.Waiting
	return estimateLoad(s.inFlight, reported, s.inFlightAtReport, now.Sub(s.state.LoadAt))
}

// limit returns the number of attempts of this entry host that may be in flight;
// a probe runs alone.
func (s *serverSlots) limit(state HealthState) int {
	if state == HealthProbing {
		return 1
	}
	return s.limiter.Limit()
}

func (d *Dispatcher) applyServerEvent(event backends.Event) {
	switch event := event.(type) {
	case backends.ServerChanged:
		d.updateServer(event.State)
	case backends.ServerRemoved:
		delete(d.servers, event.ID)
	case backends.CacheChanged:
		if slots := d.servers[event.ID]; slots != nil {
			slots.applyCache(event)
		}
	}
}

func (d *Dispatcher) updateServer(state backends.ServerState) {
	id := model.ServerID(state.Host.ID)
	slots := d.servers[id]
	if slots == nil {
		d.addServer(id, state)
		return
	}
	previous := slots.state
	slots.state = &state
	if recovered(previous, &state) {
		slots.limiter.Restart()
		slots.health.Reinstate()
	}
	if previous.Load.Incarnation != state.Load.Incarnation {
		slots.prefixes.reset()
	}
	if state.Reachable && state.LoadAt.After(previous.LoadAt) {
		d.applyLoadReport(slots)
	}
}

// addServer adds a server with a slow start, even if it is new only to this entry
// host.
func (d *Dispatcher) addServer(id model.ServerID, state backends.ServerState) {
	slots := &serverSlots{state: &state, hash: serverHash(id), prefixes: newPrefixSet()}
	slots.limiter = d.policies.newLimiter(slots.capacity())
	d.servers[id] = slots
	d.recountInFlight()
}

// recovered reports whether a server answers again or has restarted.
func recovered(previous, state *backends.ServerState) bool {
	if !previous.Reachable && state.Reachable {
		return true
	}
	return previous.Load.Incarnation != 0 && previous.Load.Incarnation != state.Load.Incarnation
}

func (d *Dispatcher) applyLoadReport(slots *serverSlots) {
	now := d.clock.Now()
	load := slots.state.Load
	slots.inFlightAtReport = slots.inFlight
	slots.limiter.SetCapacity(slots.capacity())
	queued := 0
	if load.Running >= slots.capacity() {
		queued = load.Waiting
	}
	slots.limiter.ApplyReport(now, slots.inFlight, queued, d.balance)
	slots.health.ApplyReport(slots.state.LoadAt)
	if slots.inFlight > 0 {
		slots.health.ApplyProbe(now, slots.lastAssigned)
	}
	d.retractDisprovedDeath(slots)
}

// retractDisprovedDeath retracts a presumed death when the server answers without
// having restarted: only the connection was lost.
func (d *Dispatcher) retractDisprovedDeath(slots *serverSlots) {
	death := &slots.death
	if !death.disprovable || slots.state.LoadAt.Sub(death.at) < deathDisproofDelay {
		return
	}
	death.disprovable = false
	if slots.state.Load.Incarnation == death.incarnation {
		d.suspects.Retract(death.id)
	}
}

// deathFor returns the death to which a broken attempt belongs. It starts a new one
// when the last is older than deathMergeWindow.
func (d *Dispatcher) deathFor(slots *serverSlots) DeathID {
	now := d.clock.Now()
	if slots.death.id != 0 && now.Sub(slots.death.at) < deathMergeWindow {
		return slots.death.id
	}
	d.nextDeath++
	slots.death = serverDeath{id: d.nextDeath, at: now, incarnation: slots.state.Load.Incarnation, disprovable: true}
	return d.nextDeath
}

// recordHealth applies an outcome to the health of a server and logs an ejection.
func (d *Dispatcher) recordHealth(id model.ServerID, slots *serverSlots, outcome Outcome) {
	now := d.clock.Now()
	ejected := 0
	for _, other := range d.servers {
		if other.health.Ejected(now) {
			ejected++
		}
	}
	if slots.health.Record(now, outcome, mayEjectAnother(ejected, len(d.servers))) {
		d.logger.Warn("server ejected", eventcode.ServerEjected.Attr(), "server", id,
			"service", d.service, "cause", outcome, "until", slots.health.ejectedUntil)
	}
}

func (s *serverSlots) applyCache(event backends.CacheChanged) {
	if event.Reset {
		s.prefixes.reset()
	}
	for _, hash := range event.Stored {
		s.prefixes.store(hash)
	}
	for _, hash := range event.Evicted {
		s.prefixes.evict(hash)
	}
}
