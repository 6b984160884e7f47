package admission

import (
	"maps"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// reservationPropagation is the time after which the other entry hosts know that
	// a server is reserved; only a load report read later proves the server idle.
	reservationPropagation = 200 * time.Millisecond
	// clearAfterTokens is the number of tokens after which a suspect that runs alone
	// is cleared. A resumed attempt starts where the earlier ones ended, so content
	// that crashes engines does so within the first tokens.
	clearAfterTokens = 16
)

// recordDeath counts the presumed death of a server against a request that ran on
// it, and logs a change of the request's suspect level.
func (d *Dispatcher) recordDeath(now time.Time, assignment *activeAssignment, slots *serverSlots, tokens int) {
	fingerprint := assignment.request.Fingerprint
	before := d.suspects.Level(fingerprint)
	d.suspects.RecordDeath(now, fingerprint, d.deathFor(slots), weighDeath(assignment.request.Resume, tokens))
	after := d.suspects.Level(fingerprint)
	if after == before || d.policies.BlindRetry {
		return
	}
	code := eventcode.RequestSuspected
	if after == LevelRefuse {
		code = eventcode.CrashingRequestRefused
	}
	d.logger.Warn("server deaths count against a request", code.Attr(), "request", assignment.request.ID,
		"organisation", assignment.request.Organisation, "server", assignment.server)
}

// isolate queues a suspect to run alone.
func (d *Dispatcher) isolate(waiting WaitingDispatch) {
	d.isolated = append(d.isolated, waiting)
	if fingerprint := waiting.Dispatch.Request.Fingerprint; !d.runsAlone(fingerprint) {
		d.suspects.SetIsolation(fingerprint, IsolationWaiting)
	}
}

func (d *Dispatcher) runsAlone(fingerprint model.Fingerprint) bool {
	for _, assignment := range d.assignments {
		if assignment.alone && assignment.request.Fingerprint == fingerprint {
			return true
		}
	}
	return false
}

// sweepIsolated refuses, clears or starts the waiting suspects. One starts when
// the reserved server is idle and no other entry host has precedence.
func (d *Dispatcher) sweepIsolated(now time.Time) {
	if len(d.isolated) == 0 {
		return
	}
	var kept []WaitingDispatch
	for _, waiting := range d.isolated {
		if !d.leavesIsolation(now, waiting) {
			kept = append(kept, waiting)
		}
	}
	d.isolated = kept
}

// leavesIsolation refuses, drops, clears or starts a waiting suspect and reports
// whether it did any of these.
func (d *Dispatcher) leavesIsolation(now time.Time, waiting WaitingDispatch) bool {
	request := &waiting.Dispatch.Request
	level := d.suspectLevel(request)
	switch {
	case level == LevelRefuse:
		d.endIsolation(request.Fingerprint)
		d.refuse(waiting.Dispatch, suspectRefused())
		return true
	case d.dropExpired(now, waiting):
		d.endIsolation(request.Fingerprint)
		return true
	case level == LevelClear:
		d.endIsolation(request.Fingerprint)
		d.queue.Push(waiting)
		return true
	default:
		return d.runAlone(now, waiting)
	}
}

func (d *Dispatcher) endIsolation(fingerprint model.Fingerprint) {
	if !d.runsAlone(fingerprint) {
		d.suspects.SetIsolation(fingerprint, IsolationNone)
	}
}

// runAlone assigns a suspect to the reserved server if that is idle, and reports
// whether it did. Otherwise it asks for a fresh load report.
func (d *Dispatcher) runAlone(now time.Time, waiting WaitingDispatch) bool {
	if now.Sub(waiting.Since) < isolationDelay || !d.suspects.MayRun(now) {
		return false
	}
	request := &waiting.Dispatch.Request
	id := d.reservedServer(now, request.Version)
	if id == "" {
		return false
	}
	if !d.idleSince(id, waiting.Since.Add(reservationPropagation)) {
		_ = d.servers[id].state.Commands.TrySend(backends.PollNow{})
		return false
	}
	d.suspects.SetIsolation(request.Fingerprint, IsolationRunning)
	d.assignTo(now, waiting, id, true)
	return true
}

// idleSince reports whether the server's last load report was read after this time
// and shows nothing but cleared suspects of this entry host.
func (d *Dispatcher) idleSince(id model.ServerID, at time.Time) bool {
	slots := d.servers[id]
	cleared := 0
	for _, assignment := range d.assignments {
		if assignment.server == id && assignment.cleared {
			cleared++
		}
	}
	load := slots.state.Load
	return slots.inFlight == cleared && load.Running+load.Waiting <= cleared && slots.state.LoadAt.After(at)
}

// clearProgressed clears a suspect that ran alone for clearAfterTokens tokens. The
// next suspect may then run beside it.
func (d *Dispatcher) clearProgressed(progressed Progressed) {
	assignment := d.assignments[progressed.ID]
	if assignment == nil || !assignment.alone {
		return
	}
	assignment.alone = false
	assignment.cleared = true
	now := d.clock.Now()
	d.suspects.Clear(now, assignment.request.Fingerprint)
	d.publishSuspicions(now)
}

// reservedServer returns the server that is reserved for suspects of a version, or
// "" while there are no suspects or no server is eligible. All entry hosts choose
// the server with the smallest hash.
func (d *Dispatcher) reservedServer(now time.Time, version model.Version) model.ServerID {
	if d.policies.BlindRetry || !d.suspects.Active(now) {
		return ""
	}
	var chosen model.ServerID
	var best uint64
	for id, slots := range d.servers {
		if !canReserve(now, slots, version) {
			continue
		}
		if chosen == "" || slots.hash < best {
			chosen, best = id, slots.hash
		}
	}
	return chosen
}

// canReserve reports whether a server is eligible as the reserved server.
func canReserve(now time.Time, slots *serverSlots, version model.Version) bool {
	state := slots.state
	health := slots.health.State(now)
	if !state.Reachable || state.Host.Leaving || health == HealthEjected || health == HealthBackoff {
		return false
	}
	return version == "" || slices.Contains(state.Load.Versions, string(version))
}

// applyFact applies a fact of another entry host.
func (d *Dispatcher) applyFact(fact peers.Fact) {
	now := d.clock.Now()
	switch fact.Kind {
	case peers.FactEvidence, peers.FactWithdrawal:
		d.evidence.applyFact(now, fact)
	case peers.FactSuspect:
		fingerprint, suspicion, err := decodeSuspicion(fact)
		if err != nil {
			d.rejectFact(fact, err)
			return
		}
		d.suspects.Update(now, fingerprint, fact.Origin, suspicion)
	case peers.FactUsage:
		entries, err := decodeUsage(fact)
		if err != nil {
			d.rejectFact(fact, err)
			return
		}
		d.usage.Update(now, fact.Origin, entries)
	}
}

func (d *Dispatcher) rejectFact(fact peers.Fact, err error) {
	d.logger.Warn("fact of a peer rejected", eventcode.FactRejected.Attr(), "peer", fact.Origin, "kind", fact.Kind, "error", err)
}

// publishSuspicions publishes changed suspicions. Those that a full mailbox
// rejects are published with a later sweep.
func (d *Dispatcher) publishSuspicions(now time.Time) {
	if d.policies.BlindRetry {
		return
	}
	for fingerprint, suspicion := range d.suspects.TakeChanges(now) {
		if d.facts.TrySend(peers.Publish{Fact: suspectFact(d.service, fingerprint, suspicion)}) != nil {
			d.suspects.MarkUnsent(fingerprint)
		}
	}
}

// publishUsage publishes the waiting and running requests of the organisations
// with the most. After the last request ended, it publishes one empty fact and
// then none.
func (d *Dispatcher) publishUsage() {
	counts := maps.Clone(d.openRequests)
	d.queue.AddWaiting(counts)
	entries := largestUsage(counts)
	d.balance = d.usage.Balance(entries)
	if len(entries) == 0 && !d.usagePublished {
		return
	}
	if d.facts.TrySend(peers.Publish{Fact: usageFact(d.service, entries)}) == nil {
		d.usagePublished = len(entries) > 0
	}
}
