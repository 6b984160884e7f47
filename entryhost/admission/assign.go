package admission

import (
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// maxRetryWait bounds the wait of a resumed dispatch for the retry budget, as a
	// lost stream should resume within 5 s.
	maxRetryWait = 5 * time.Second
	// doneGrace is how long after the end of its request a Done may still arrive.
	// Requests give up sending it after 5 s.
	doneGrace = 6 * time.Second
)

// assignWaiting assigns waiting dispatches in fair order while servers have free
// slots.
func (d *Dispatcher) assignWaiting() {
	for d.queue.Len() > 0 && d.queue.Next(d.assign) {
		continue
	}
}

// assign routes a waiting dispatch to a server. It returns the cost for the fair
// queue, and whether the dispatch leaves the queue, assigned or dropped.
func (d *Dispatcher) assign(waiting WaitingDispatch) (float64, bool) {
	now := d.clock.Now()
	if d.dropExpired(now, waiting) {
		return 0, true
	}
	request := &waiting.Dispatch.Request
	candidate, found := d.policies.Router.Route(d.random, request, d.listCandidates(now, request), d.scored)
	if !found {
		return 0, false
	}
	d.serviceRate.CountAssigned()
	charged := d.queueCost(request)
	d.assignTo(now, waiting, candidate.ID(), false)
	d.assignments[d.nextID].charged = charged
	return charged, true
}

// queueCost returns the cost of a request in virtual time: its tokens divided by
// the part of the organisation's weight that applies on this host.
func (d *Dispatcher) queueCost(request *Request) float64 {
	local := d.openRequests[request.Organisation] + d.queue.WaitingOf(request.Organisation)
	weight := float64(max(request.Weight, 1)) * localShare(local, d.usage.OpenElsewhere(request.Organisation))
	return float64(max(request.Cost, 1)) / weight
}

// assignTo assigns a dispatch to a server. If alone is set, the request reports its
// progress after clearAfterTokens tokens.
func (d *Dispatcher) assignTo(now time.Time, waiting WaitingDispatch, id model.ServerID, alone bool) {
	request := waiting.Dispatch.Request
	slots := d.servers[id]
	d.nextID++
	d.assignments[d.nextID] = &activeAssignment{
		request: request, server: id, started: now, cancelled: waiting.Dispatch.Cancelled, alone: alone,
	}
	slots.inFlight++
	slots.assigned++
	slots.lastAssigned = now
	d.openRequests[request.Organisation]++
	for _, hash := range request.PrefixHashes {
		slots.prefixes.store(hash)
	}
	reportAfter := 0
	if alone {
		reportAfter = clearAfterTokens
	}
	waiting.Dispatch.Reply.Send(DispatchResult{Assignment: Assignment{
		ReportAfter:       reportAfter,
		ID:                d.nextID,
		Server:            id,
		DataCentre:        slots.state.Host.DataCentre,
		Version:           request.Version,
		Generation:        slots.state.Generation,
		Commands:          slots.state.Commands,
		Reports:           d.messages,
		FirstTokenTimeout: defaultFirstTokenTimeout,
		TokenTimeout:      defaultTokenTimeout,
	}})
}

// listCandidates returns all servers as candidates. The result is valid until the
// next call, as it reuses one array.
func (d *Dispatcher) listCandidates(now time.Time, request *Request) []Candidate {
	reserved := d.reservedServer(now, request.Version)
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
			CachedBlocks: slots.prefixes.countLeading(request.PrefixHashes),
			SlotWait:     wait,
			Health:       health,
			Remote:       slots.state.Host.DataCentre != d.home,
			Reserved:     reserved != "" && id == reserved,
		})
	}
	if cap(d.scored) < len(d.candidates) {
		d.scored = make([]Scored, 0, len(d.candidates))
	}
	return d.candidates
}

// slotWait returns the expected time until the next slot is free, or 1 s while
// the service rate is unknown.
func (d *Dispatcher) slotWait() time.Duration {
	if wait := d.serviceRate.Wait(1); wait > 0 {
		return wait
	}
	return time.Second
}

// finishAssignment frees the slot of an assignment and updates estimates, limits,
// health and suspicions by its outcome.
func (d *Dispatcher) finishAssignment(done Done) {
	assignment := d.assignments[done.ID]
	if assignment == nil {
		return
	}
	d.release(done.ID, assignment)
	d.refund(assignment, done.Tokens)
	d.increment("attempts", string(done.Outcome))
	now := d.clock.Now()
	if done.Outcome == OutcomeDone {
		d.generationTime.Observe(done, assignment.request.Cost)
		d.suspects.Clear(now, assignment.request.Fingerprint)
	} else if done.Outcome != OutcomeCancelled && done.Outcome != OutcomeInvalid {
		d.failures[assignment.request.ID] = failure{outcome: done.Outcome, at: now}
	}
	if assignment.alone && done.Outcome != OutcomeDone {
		d.suspects.SetIsolation(assignment.request.Fingerprint, IsolationNone)
	}
	slots := d.servers[assignment.server]
	if slots == nil {
		return
	}
	slots.limiter.ApplyOutcome(now, LimitSample{
		Outcome: done.Outcome, Started: assignment.started, FirstToken: done.FirstToken, InFlight: slots.inFlight + 1,
	})
	d.recordHealth(assignment.server, slots, done.Outcome)
	if done.Outcome == OutcomeBroken && d.isEngine() {
		d.recordDeath(now, assignment, slots, done.Tokens)
	}
	d.publishSuspicions(now)
}

// refund credits the organisation for tokens that were not generated, as the
// charge covers all tokens that the request allows. Calls to plain services
// generate no tokens and get no refund.
func (d *Dispatcher) refund(assignment *activeAssignment, tokens int) {
	if !d.isEngine() || assignment.request.Cost <= 0 {
		return
	}
	unused := 1 - min(float64(tokens)/float64(assignment.request.Cost), 1)
	d.queue.Credit(assignment.request.Organisation, assignment.charged*unused)
}

func (d *Dispatcher) release(id DispatchID, assignment *activeAssignment) {
	delete(d.assignments, id)
	if slots := d.servers[assignment.server]; slots != nil {
		slots.inFlight--
	}
	organisation := assignment.request.Organisation
	d.openRequests[organisation]--
	if d.openRequests[organisation] <= 0 {
		delete(d.openRequests, organisation)
	}
}

// recountInFlight derives the counts by server and organisation from the
// assignments in progress.
func (d *Dispatcher) recountInFlight() {
	clear(d.openRequests)
	for _, slots := range d.servers {
		slots.inFlight = 0
	}
	for _, assignment := range d.assignments {
		d.openRequests[assignment.request.Organisation]++
		if slots := d.servers[assignment.server]; slots != nil {
			slots.inFlight++
		}
	}
}

// sweep drops expired dispatches, advances deferred and isolated ones, and runs
// the periodic maintenance.
func (d *Dispatcher) sweep() {
	now := d.clock.Now()
	d.serviceRate.Observe(now, d.queue.Len())
	d.queue.RemoveIf(func(waiting WaitingDispatch) bool { return d.dropExpired(now, waiting) })
	d.sweepDeferred(now)
	d.sweepIsolated(now)
	if now.Sub(d.lastMaintenance) >= maintenanceInterval {
		d.lastMaintenance = now
		d.maintain(now)
	}
	d.publishSuspicions(now)
}

// dropExpired reports whether a dispatch must leave the queue because its request
// ended, or because its deadline has passed or could not be met even by a server
// that is free now. It refuses the dispatch in the latter cases.
func (d *Dispatcher) dropExpired(now time.Time, waiting WaitingDispatch) bool {
	if isClosed(waiting.Dispatch.Cancelled) {
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
	needed := d.generationTime.Estimate(request.Cost)
	if now.Add(needed).After(request.Deadline) {
		d.refuse(waiting.Dispatch, deadlineUnreachable(needed))
		return true
	}
	return false
}

// sweepDeferred queues deferred dispatches as the retry budget allows and refuses
// those that have waited for maxRetryWait.
func (d *Dispatcher) sweepDeferred(now time.Time) {
	kept := d.deferred[:0]
	for _, waiting := range d.deferred {
		switch {
		case d.dropExpired(now, waiting):
		case d.spendRetry(now, &waiting.Dispatch.Request):
			d.queue.Push(waiting)
		case now.Sub(waiting.Since) >= maxRetryWait:
			d.refuse(waiting.Dispatch, retryBudgetSpent())
		default:
			kept = append(kept, waiting)
		}
	}
	clear(d.deferred[len(kept):])
	d.deferred = kept
}

// maintain drops expired state and publishes the usage of this host.
func (d *Dispatcher) maintain(now time.Time) {
	for id, assignment := range d.assignments {
		if d.doneOverdue(now, assignment) {
			d.release(id, assignment)
			d.increment("attempts", "lost")
		}
	}
	for id, last := range d.failures {
		if now.Sub(last.at) > maxRetryWait {
			delete(d.failures, id)
		}
	}
	d.suspects.Expire(now)
	d.usage.Expire(now)
	d.publishUsage()
}

// doneOverdue reports whether the Done of an assignment must have been lost: its
// request ended more than doneGrace ago.
func (d *Dispatcher) doneOverdue(now time.Time, assignment *activeAssignment) bool {
	if assignment.endedAt.IsZero() && isClosed(assignment.cancelled) {
		assignment.endedAt = now
	}
	return !assignment.endedAt.IsZero() && now.Sub(assignment.endedAt) > doneGrace
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
