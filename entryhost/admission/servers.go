package admission

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// defaultServerLimit is the capacity of a server that has not reported it.
	defaultServerLimit = 32
	// sameDeath joins the losses of attempts on one server to one death.
	sameDeath = 500 * time.Millisecond
	// deathDoubt is how long after a presumed death a load report must have been
	// read to disprove it; a read takes at most 1 s.
	deathDoubt = time.Second
)

// serverSlots is the dispatcher's view of one server.
type serverSlots struct {
	// state points to an immutable snapshot.
	state *backends.ServerState
	// hash stands for the id in rendezvous hashing.
	hash         uint64
	inFlight     int
	ownAtReport  int
	assigned     uint64
	lastAssigned time.Time
	limiter      Limiter
	health       Health
	prefixes     *prefixSet
	death        serverDeath
}

// serverDeath is the last presumed death of a server.
type serverDeath struct {
	id          DeathID
	at          time.Time
	incarnation uint64
	// open tells that a load report may still disprove it.
	open bool
}

func (s *serverSlots) capacity() int {
	if s.state.Load.Capacity > 0 {
		return s.state.Load.Capacity
	}
	return defaultServerLimit
}

func (s *serverSlots) load(now time.Time) float64 {
	reported := s.state.Load.Running + s.state.Load.Waiting
	return estimatedLoad(s.inFlight, reported, s.ownAtReport, now.Sub(s.state.LoadAt))
}

// limit is the number of attempts that may be in flight; a probe runs alone.
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
	if returned(previous, &state) {
		slots.limiter.Restart()
		slots.health.Returned()
	}
	if previous.Load.Incarnation != state.Load.Incarnation {
		slots.prefixes.reset()
	}
	if state.Reachable && state.LoadAt.After(previous.LoadAt) {
		d.applyReport(slots)
	}
}

// addServer takes a server in; it starts slowly, also when it is only new to
// this entry host.
func (d *Dispatcher) addServer(id model.ServerID, state backends.ServerState) {
	slots := &serverSlots{state: &state, hash: serverHash(id), prefixes: newPrefixSet()}
	slots.limiter = d.policies.newLimiter(slots.capacity())
	d.servers[id] = slots
	d.recount()
}

// returned reports whether a server came back: it answers again or restarted.
func returned(previous, state *backends.ServerState) bool {
	if !previous.Reachable && state.Reachable {
		return true
	}
	return previous.Load.Incarnation != 0 && previous.Load.Incarnation != state.Load.Incarnation
}

func (d *Dispatcher) applyReport(slots *serverSlots) {
	now := d.clock.Now()
	load := slots.state.Load
	slots.ownAtReport = slots.inFlight
	slots.limiter.SetCapacity(slots.capacity())
	queued := 0
	if load.Running >= slots.capacity() {
		queued = load.Waiting
	}
	slots.limiter.Report(now, slots.inFlight, queued, d.balance)
	slots.health.Reported(slots.state.LoadAt)
	if slots.inFlight > 0 {
		slots.health.Probed(now, slots.lastAssigned)
	}
	d.doubtDeath(slots)
}

// doubtDeath retracts a presumed death when the server answers without having
// restarted: only the connection was lost.
func (d *Dispatcher) doubtDeath(slots *serverSlots) {
	death := &slots.death
	if !death.open || slots.state.LoadAt.Sub(death.at) < deathDoubt {
		return
	}
	death.open = false
	if slots.state.Load.Incarnation == death.incarnation {
		d.suspects.Retract(death.id)
	}
}

// noteDeath returns the death that a broken attempt is part of.
func (d *Dispatcher) noteDeath(slots *serverSlots) DeathID {
	now := d.clock.Now()
	if slots.death.id != 0 && now.Sub(slots.death.at) < sameDeath {
		return slots.death.id
	}
	d.nextDeath++
	slots.death = serverDeath{id: d.nextDeath, at: now, incarnation: slots.state.Load.Incarnation, open: true}
	return d.nextDeath
}

// recordHealth applies an outcome to the health of a server.
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
