package admission

import (
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// maxDeferral is how long a resumed dispatch waits for the retry budget; a
	// loss should be made good within 5 s.
	maxDeferral = 5 * time.Second
	// doneGrace is how long a Done may follow the end of its request. Requests
	// give up sending it after 5 s.
	doneGrace = 6 * time.Second
)

// assignWaiting hands out servers in fair order while there is room.
func (d *Dispatcher) assignWaiting() {
	for d.queue.Len() > 0 && d.queue.Next(d.assign) {
		continue
	}
}

// assign offers a waiting dispatch to the router. It returns the charge for the
// fair queue, and true when the dispatch needs to wait no more.
func (d *Dispatcher) assign(waiting Waiting) (float64, bool) {
	now := d.clock.Now()
	if d.overdue(now, waiting) {
		return 0, true
	}
	request := &waiting.Dispatch.Request
	candidate, found := d.policies.Router.Route(d.random, request, d.listCandidates(now, request), d.scored)
	if !found {
		return 0, false
	}
	d.rate.Served()
	charged := d.charge(request)
	d.place(now, waiting, candidate.ID(), false)
	d.flights[d.nextID].charged = charged
	return charged, true
}

// charge is the cost of a request in virtual time.
func (d *Dispatcher) charge(request *Request) float64 {
	here := d.open[request.Organisation] + d.queue.Owned(request.Organisation)
	weight := float64(max(request.Weight, 1)) * presence(here, d.usage.Elsewhere(request.Organisation))
	return float64(max(request.Cost, 1)) / weight
}

// place assigns a dispatch to a server.
func (d *Dispatcher) place(now time.Time, waiting Waiting, id model.ServerID, alone bool) {
	request := waiting.Dispatch.Request
	slots := d.servers[id]
	d.nextID++
	d.flights[d.nextID] = &flight{
		request: request, server: id, started: now, cancelled: waiting.Dispatch.Cancelled, alone: alone,
	}
	slots.inFlight++
	slots.assigned++
	slots.lastAssigned = now
	d.open[request.Organisation]++
	for _, hash := range request.PrefixHashes {
		slots.prefixes.store(hash)
	}
	reportAfter := 0
	if alone {
		reportAfter = provenTokens
	}
	waiting.Dispatch.Reply.Send(DispatchResult{Assignment: Assignment{
		ReportAfter:       reportAfter,
		ID:                d.nextID,
		Server:            id,
		DataCentre:        slots.state.Host.DataCentre,
		Version:           request.Version,
		Generation:        slots.state.Generation,
		Commands:          slots.state.Commands,
		Finished:          d.messages,
		FirstTokenTimeout: defaultFirstTokenTimeout,
		TokenTimeout:      defaultTokenTimeout,
	}})
}

// listCandidates fills the dispatcher's scratch array with all servers.
func (d *Dispatcher) listCandidates(now time.Time, request *Request) []Candidate {
	setApart := d.setApart(now, request.Version)
	wait := d.slotWait()
	d.candidates = d.candidates[:0]
	for id, slots := range d.servers {
		health := slots.health.State(now)
		d.candidates = append(d.candidates, Candidate{
			Server:       slots.state,
			InFlight:     slots.inFlight,
			Limit:        slots.limit(health),
			Load:         slots.load(now),
			Assigned:     slots.assigned,
			Hash:         slots.hash,
			CachedBlocks: slots.prefixes.leading(request.PrefixHashes),
			SlotWait:     wait,
			Health:       health,
			Remote:       slots.state.Host.DataCentre != d.home,
			SetApart:     setApart != "" && id == setApart,
		})
	}
	if cap(d.scored) < len(d.candidates) {
		d.scored = make([]Scored, 0, len(d.candidates))
	}
	return d.candidates
}

// slotWait is the expected time until the next slot is free; without a measured
// rate the wait counts as long.
func (d *Dispatcher) slotWait() time.Duration {
	if wait := d.rate.Wait(1); wait > 0 {
		return wait
	}
	return time.Second
}

// finish frees the slot of an assignment and learns from its outcome.
func (d *Dispatcher) finish(done Done) {
	flight := d.flights[done.ID]
	if flight == nil {
		return
	}
	d.release(done.ID, flight)
	d.refund(flight, done.Tokens)
	d.count("attempts", string(done.Outcome))
	now := d.clock.Now()
	if done.Outcome == OutcomeDone {
		d.work.Observe(done, flight.request.Cost)
		d.suspects.Finished(now, flight.request.Fingerprint)
	} else if done.Outcome != OutcomeCancelled && done.Outcome != OutcomeInvalid {
		d.failures[flight.request.ID] = failure{outcome: done.Outcome, at: now}
	}
	if flight.alone && done.Outcome != OutcomeDone {
		d.suspects.SetTurn(flight.request.Fingerprint, TurnNone)
	}
	slots := d.servers[flight.server]
	if slots == nil {
		return
	}
	slots.limiter.Finish(now, LimitSample{
		Outcome: done.Outcome, Started: flight.started, FirstToken: done.FirstToken, InFlight: slots.inFlight + 1,
	})
	d.recordHealth(flight.server, slots, done.Outcome)
	if done.Outcome == OutcomeBroken && d.isEngine() {
		d.recordDeath(now, flight, slots, done.Tokens)
	}
	d.share(now)
}

// refund gives back the charge for tokens that were not generated: the charge
// covers all tokens that the request allows. Calls to plain services have none.
func (d *Dispatcher) refund(flight *flight, tokens int) {
	if !d.isEngine() || flight.request.Cost <= 0 {
		return
	}
	unused := 1 - min(float64(tokens)/float64(flight.request.Cost), 1)
	d.queue.Credit(flight.request.Organisation, flight.charged*unused)
}

func (d *Dispatcher) release(id DispatchID, flight *flight) {
	delete(d.flights, id)
	if slots := d.servers[flight.server]; slots != nil {
		slots.inFlight--
	}
	organisation := flight.request.Organisation
	d.open[organisation]--
	if d.open[organisation] <= 0 {
		delete(d.open, organisation)
	}
}

// recount derives the counts by server and organisation from the assignments
// in progress.
func (d *Dispatcher) recount() {
	clear(d.open)
	for _, slots := range d.servers {
		slots.inFlight = 0
	}
	for _, flight := range d.flights {
		d.open[flight.request.Organisation]++
		if slots := d.servers[flight.server]; slots != nil {
			slots.inFlight++
		}
	}
}

// sweep judges the waiting dispatches again.
func (d *Dispatcher) sweep() {
	now := d.clock.Now()
	d.rate.Observe(now, d.queue.Len())
	d.queue.RemoveIf(func(waiting Waiting) bool { return d.overdue(now, waiting) })
	d.sweepDeferred(now)
	d.sweepIsolated(now)
	if now.Sub(d.upkeepAt) >= upkeepInterval {
		d.upkeepAt = now
		d.upkeep(now)
	}
	d.share(now)
}

// overdue drops a dispatch whose request ended, and refuses one whose deadline
// passed or cannot be met any more even by a server that is free now.
func (d *Dispatcher) overdue(now time.Time, waiting Waiting) bool {
	if ended(waiting.Dispatch.Cancelled) {
		return true
	}
	request := &waiting.Dispatch.Request
	if !now.Before(request.Deadline) {
		d.refuse(waiting.Dispatch, deadlinePassed())
		return true
	}
	if request.Resume || d.policies.FirstComeFirstServed {
		return false
	}
	needed := d.work.Expect(request.Cost)
	if now.Add(needed).After(request.Deadline) {
		d.refuse(waiting.Dispatch, deadlineUnreachable(needed))
		return true
	}
	return false
}

// sweepDeferred lets resumed dispatches go on as the retry budget allows.
func (d *Dispatcher) sweepDeferred(now time.Time) {
	kept := d.deferred[:0]
	for _, waiting := range d.deferred {
		switch {
		case d.overdue(now, waiting):
		case d.mayRetry(now, &waiting.Dispatch.Request):
			d.queue.Push(waiting)
		case now.Sub(waiting.Since) >= maxDeferral:
			d.refuse(waiting.Dispatch, retryBudgetSpent())
		default:
			kept = append(kept, waiting)
		}
	}
	clear(d.deferred[len(kept):])
	d.deferred = kept
}

// upkeep drops state whose lifetime is over and shares the usage of this host.
func (d *Dispatcher) upkeep(now time.Time) {
	for id, flight := range d.flights {
		if d.lost(now, flight) {
			d.release(id, flight)
			d.count("attempts", "lost")
		}
	}
	for id, last := range d.failures {
		if now.Sub(last.at) > maxDeferral {
			delete(d.failures, id)
		}
	}
	d.suspects.Expire(now)
	d.usage.Expire(now)
	d.shareUsage()
}

// lost reports whether the Done of an assignment will not come any more.
func (d *Dispatcher) lost(now time.Time, flight *flight) bool {
	if flight.endedAt.IsZero() && ended(flight.cancelled) {
		flight.endedAt = now
	}
	return !flight.endedAt.IsZero() && now.Sub(flight.endedAt) > doneGrace
}

func ended(cancelled <-chan struct{}) bool {
	select {
	case <-cancelled:
		return true
	default:
		return false
	}
}
