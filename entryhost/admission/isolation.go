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
	// suspectSpread is the time after which the other entry hosts know that a
	// server is set apart; only a load report read after it shows the server idle.
	suspectSpread = 200 * time.Millisecond
	// provenTokens is the number of tokens after which a suspect that runs alone
	// is cleared. A continuation starts where the earlier attempts ended, so that
	// content which crashes engines does so within the first tokens.
	provenTokens = 16
)

// recordDeath counts the death of a server against a request that was on it.
func (d *Dispatcher) recordDeath(now time.Time, flight *flight, slots *serverSlots, tokens int) {
	fingerprint := flight.request.Fingerprint
	before := d.suspects.Verdict(fingerprint)
	d.suspects.Death(now, fingerprint, d.noteDeath(slots), weighDeath(flight.request.Resume, tokens))
	after := d.suspects.Verdict(fingerprint)
	if after == before || d.policies.BlindRetry {
		return
	}
	code := eventcode.RequestSuspected
	if after == VerdictRefuse {
		code = eventcode.RequestCrashes
	}
	d.logger.Warn("server deaths count against a request", code.Attr(), "request", flight.request.ID,
		"organisation", flight.request.Organisation, "server", flight.server)
}

// isolate makes a suspect wait to run alone.
func (d *Dispatcher) isolate(waiting Waiting) {
	d.isolated = append(d.isolated, waiting)
	if fingerprint := waiting.Dispatch.Request.Fingerprint; !d.runsAlone(fingerprint) {
		d.suspects.SetTurn(fingerprint, TurnWaiting)
	}
}

func (d *Dispatcher) runsAlone(fingerprint model.Fingerprint) bool {
	for _, flight := range d.flights {
		if flight.alone && flight.request.Fingerprint == fingerprint {
			return true
		}
	}
	return false
}

// sweepIsolated judges the waiting suspects again and starts the next one when
// the server set apart is idle and it is this host's turn.
func (d *Dispatcher) sweepIsolated(now time.Time) {
	if len(d.isolated) == 0 {
		return
	}
	var kept []Waiting
	for _, waiting := range d.isolated {
		if !d.leavesIsolation(now, waiting) {
			kept = append(kept, waiting)
		}
	}
	d.isolated = kept
}

// leavesIsolation reports whether a suspect needs to wait no more.
func (d *Dispatcher) leavesIsolation(now time.Time, waiting Waiting) bool {
	request := &waiting.Dispatch.Request
	verdict := d.verdict(request)
	switch {
	case verdict == VerdictRefuse:
		d.endTurn(request.Fingerprint)
		d.refuse(waiting.Dispatch, suspectRefused())
		return true
	case d.overdue(now, waiting):
		d.endTurn(request.Fingerprint)
		return true
	case verdict == VerdictClear:
		d.endTurn(request.Fingerprint)
		d.queue.Push(waiting)
		return true
	default:
		return d.runAlone(now, waiting)
	}
}

func (d *Dispatcher) endTurn(fingerprint model.Fingerprint) {
	if !d.runsAlone(fingerprint) {
		d.suspects.SetTurn(fingerprint, TurnNone)
	}
}

// runAlone places a suspect on the server set apart if that is idle.
func (d *Dispatcher) runAlone(now time.Time, waiting Waiting) bool {
	if now.Sub(waiting.Since) < suspectHold || !d.suspects.MyTurn(now) {
		return false
	}
	request := &waiting.Dispatch.Request
	id := d.setApart(now, request.Version)
	if id == "" {
		return false
	}
	if !d.idleSince(id, waiting.Since.Add(suspectSpread)) {
		_ = d.servers[id].state.Commands.TrySend(backends.PollNow{})
		return false
	}
	d.suspects.SetTurn(request.Fingerprint, TurnRunning)
	d.place(now, waiting, id, true)
	return true
}

// idleSince reports whether a server ran nothing but cleared suspects of this
// host when its load was last read, and that was after the time.
func (d *Dispatcher) idleSince(id model.ServerID, at time.Time) bool {
	slots := d.servers[id]
	cleared := 0
	for _, flight := range d.flights {
		if flight.server == id && flight.cleared {
			cleared++
		}
	}
	load := slots.state.Load
	return slots.inFlight == cleared && load.Running+load.Waiting <= cleared && slots.state.LoadAt.After(at)
}

// clearProgressed clears a suspect that ran alone for long enough. The next
// suspect may then run beside it.
func (d *Dispatcher) clearProgressed(progressed Progressed) {
	flight := d.flights[progressed.ID]
	if flight == nil || !flight.alone {
		return
	}
	flight.alone = false
	flight.cleared = true
	now := d.clock.Now()
	d.suspects.Finished(now, flight.request.Fingerprint)
	d.share(now)
}

// setApart returns the server reserved for suspects of a version, or "" while
// there are none. The entry hosts agree on it by rendezvous hashing.
func (d *Dispatcher) setApart(now time.Time, version model.Version) model.ServerID {
	if d.policies.BlindRetry || !d.suspects.Active(now) {
		return ""
	}
	var chosen model.ServerID
	var best uint64
	for id, slots := range d.servers {
		if !mayIsolate(now, slots, version) {
			continue
		}
		if chosen == "" || slots.hash < best {
			chosen, best = id, slots.hash
		}
	}
	return chosen
}

func mayIsolate(now time.Time, slots *serverSlots, version model.Version) bool {
	state := slots.state
	health := slots.health.State(now)
	if !state.Reachable || state.Host.Leaving || health == HealthEjected || health == HealthHeld {
		return false
	}
	return version == "" || slices.Contains(state.Load.Versions, string(version))
}

// learn applies a fact of another entry host.
func (d *Dispatcher) learn(fact peers.Fact) {
	now := d.clock.Now()
	switch fact.Kind {
	case peers.FactEvidence, peers.FactWithdrawal:
		d.evidence.receive(now, fact)
	case peers.FactSuspect:
		fingerprint, suspicion, err := decodeSuspicion(fact)
		if err != nil {
			d.rejectFact(fact, err)
			return
		}
		d.suspects.Learn(now, fingerprint, fact.Origin, suspicion)
	case peers.FactUsage:
		entries, err := decodeUsage(fact)
		if err != nil {
			d.rejectFact(fact, err)
			return
		}
		d.usage.Learn(now, fact.Origin, entries)
	}
}

func (d *Dispatcher) rejectFact(fact peers.Fact, err error) {
	d.logger.Warn("fact of a peer rejected", eventcode.FactRejected.Attr(), "peer", fact.Origin, "kind", fact.Kind, "error", err)
}

// share publishes changed suspicions. What does not fit the mailbox is tried
// again with the next sweep.
func (d *Dispatcher) share(now time.Time) {
	if d.policies.BlindRetry {
		return
	}
	for fingerprint, suspicion := range d.suspects.Changes(now) {
		if d.facts.TrySend(peers.Publish{Fact: suspectFact(d.service, fingerprint, suspicion)}) != nil {
			d.suspects.Unsent(fingerprint)
		}
	}
}

// shareUsage publishes the open requests of the largest organisations. After
// the last one ended, one empty fact is sent and then none.
func (d *Dispatcher) shareUsage() {
	open := maps.Clone(d.open)
	d.queue.AddOwned(open)
	entries := largestUsage(open)
	d.balance = d.usage.Balance(entries)
	if len(entries) == 0 && !d.usageSent {
		return
	}
	if d.facts.TrySend(peers.Publish{Fact: usageFact(d.service, entries)}) == nil {
		d.usageSent = len(entries) > 0
	}
}
