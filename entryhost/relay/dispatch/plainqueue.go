package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minBackoff and maxBackoff bound how long a server that was full is not asked
	// again; the time doubles with each refusal. Six slots and 30 ms of work free a slot
	// every 5 ms, and a queue of 24 ends within 60 to 120 ms.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 80 * time.Millisecond
	// backoffMemory is how long after its backoff a server that has not answered since
	// is avoided. Hosts have one or two requests a second, so that without an end a
	// server might never be asked again.
	backoffMemory = time.Second
	// fullAnswerFactor is how many times longer than the fastest answer one takes of a
	// server that was full just before: its queue holds four calls for each slot.
	fullAnswerFactor = 5
	// drainFactor is the time, in fastest answers, in which the queue of a server that was
	// full becomes short again while other calls arrive. Calls that return earlier keep
	// it full, and then all answers are late. With 12, calls that repeat at once made 0.01
	// to 0.03 of the worth late when answers count with their time on the network.
	drainFactor = 14
	// maxReoffers is how often a host may at once offer calls to servers that have refused
	// them before; each call allows reofferShare and each second reofferRate more. Without
	// a limit most offers in a lasting overload are repeated ones, and new calls wait
	// behind them. Hosts with a call or two a second need the rate to help at all.
	maxReoffers  = 2.0
	reofferShare = 0.05
	reofferRate  = 0.5
	// answerTimesWindow is the time for which the fastest answer of a service counts at
	// least, and half of that for which it counts at most.
	answerTimesWindow = 10 * time.Second
	// hopelessServers is the number of servers whose answers have to take longer than a call has
	// left before it is refused for that, unless the service has fewer.
	hopelessServers = 3
	// maxRetryAfterShare is the part of the time left up to which callers honour
	// Retry-After.
	maxRetryAfterShare = 1.0 / 3
)

// PlainCall is what the dispatcher needs to know of a call of a plain service. The
// dispatcher owns it after Acquire.
type PlainCall struct {
	// Objective is until when an answer is on time, Deadline until when it is of use.
	Objective time.Time
	Deadline  time.Time
	// LatencyObjective is the time from arrival to Objective.
	LatencyObjective time.Duration
	// Limit is the time that the caller stated to have at the arrival, or 0.
	Limit time.Duration
	// Refusals counts by server how often it stated that it did not run this call.
	Refusals map[string]int
	// MayHaveRun is set if an earlier attempt may have run.
	MayHaveRun bool
	// notBefore is when servers that refused this call are asked again. A server that has
	// answered since may be asked earlier, unless the call is late.
	notBefore time.Time
	late      bool
	// retryAt is when a waiting call is tried again.
	retryAt time.Time
}

// plainService is what the dispatcher knows of a plain service.
type plainService struct {
	answers answerTimes
	// limits are the longest times that callers of new calls stated.
	limits longestTimes
	// sheds is set if calls like the one that is decided on are shed. None of them is offered
	// again then, since it would be late and make others late.
	sheds bool
	// reoffers are the offers to servers that had refused the call before, as of countedAt,
	// less what calls and time have allowed since.
	reoffers  float64
	countedAt time.Time
}

func (s plainService) mayReoffer(now time.Time) bool {
	return !s.sheds && s.reoffersAt(now)+1 <= maxReoffers
}

func (s plainService) reoffersAt(now time.Time) float64 {
	return max(0, s.reoffers-reofferRate*now.Sub(s.countedAt).Seconds())
}

// afterOffer returns the state after a call was sent to a server that refused it before
// (again), or sent for the first time.
func (s plainService) afterOffer(again, first bool, now time.Time) plainService {
	s.reoffers, s.countedAt = s.reoffersAt(now), now
	switch {
	case again:
		s.reoffers++
	case first:
		s.reoffers = max(0, s.reoffers-reofferShare)
	}
	return s
}

// serverBackoff states how long a server that was full is not asked.
type serverBackoff struct {
	// refusals are those since the last answer.
	refusals int
	until    time.Time
}

// afterRefusal returns the backoff after a refusal. Random is uniform in [0, 1).
func (b serverBackoff) afterRefusal(now time.Time, random float64) serverBackoff {
	if now.Before(b.until) {
		// The request was sent before the last refusal arrived.
		return b
	}
	b.refusals++
	b.until = now.Add(spread(backoffTime(b.refusals), random))
	return b
}

// current returns the backoff, or an empty one if it is so old that it says nothing.
func (b serverBackoff) current(now time.Time) serverBackoff {
	if now.Sub(b.until) > backoffMemory {
		return serverBackoff{}
	}
	return b
}

// backoffTime returns the time after the given number of refusals in a row.
func backoffTime(refusals int) time.Duration {
	backoff := minBackoff
	for ; refusals > 1 && backoff < maxBackoff; refusals-- {
		backoff *= 2
	}
	return backoff
}

// spread returns the wait plus or minus up to a half, so that hosts and callers that were
// refused together do not return together.
func spread(wait time.Duration, random float64) time.Duration {
	return time.Duration((0.5 + random) * float64(wait))
}

// callerReturn returns when a refused caller may return, if a slot is expected after a time
// and the caller has the time left. Random is uniform in [0, 1).
func callerReturn(expected, left time.Duration, random float64) time.Duration {
	return max(0, min(spread(expected, random), time.Duration(maxRetryAfterShare*float64(left))))
}

// answerTimes holds the shortest recent answer times of a service.
type answerTimes struct {
	current, previous answerWindow
	since             time.Time
}

// answerWindow holds the shortest answer time of a span of time, or 0 without answers, and some
// of the servers that answered.
type answerWindow struct {
	fastest time.Duration
	servers [hopelessServers]string
}

func (w answerWindow) add(server string, took time.Duration) answerWindow {
	if w.fastest == 0 || took < w.fastest {
		w.fastest = took
	}
	if i := slices.Index(w.servers[:], ""); i >= 0 && !slices.Contains(w.servers[:], server) {
		w.servers[i] = server
	}
	return w
}

// add returns the times with a further answer.
func (a answerTimes) add(server string, took time.Duration, now time.Time) answerTimes {
	a = a.at(now)
	a.current = a.current.add(server, took)
	return a
}

// at returns the times without those that have become too old.
func (a answerTimes) at(now time.Time) answerTimes {
	switch age := now.Sub(a.since); {
	case age >= 2*answerTimesWindow:
		return answerTimes{since: now}
	case age >= answerTimesWindow:
		return answerTimes{previous: a.current, since: a.since.Add(answerTimesWindow)}
	}
	return a
}

// fastest returns a lower bound of the time of an answer. A mean would rise in an overload,
// and calls would be refused that can be answered.
func (a answerTimes) fastest(now time.Time) time.Duration {
	a = a.at(now)
	if a.previous.fastest == 0 || a.current.fastest > 0 && a.current.fastest < a.previous.fastest {
		return a.current.fastest
	}
	return a.previous.fastest
}

// areRepresentative reports whether the times tell of a service that has a number of servers.
// Those of one slow server tell nothing about the others: a host with few calls may have no other
// answers, and would get none if it refused its calls for them.
func (a answerTimes) areRepresentative(servers int, now time.Time) bool {
	a = a.at(now)
	answered := map[string]bool{}
	for _, server := range slices.Concat(a.current.servers[:], a.previous.servers[:]) {
		if server != "" {
			answered[server] = true
		}
	}
	return len(answered) >= min(servers, hopelessServers)
}

// comparePlain orders waiting calls: first attempts of calls that may run once, then other
// first attempts, then repeats. A call that was only refused has not run, so that its next
// attempt is a first one. Within each group those that can still be answered on time come
// first, and then those with the least time left.
func comparePlain(a, b *Acquire, now time.Time, services map[string]plainService) int {
	group := func(r *Acquire) int {
		switch {
		case r.Plain.MayHaveRun:
			return 2
		case r.NotRepeatable:
			return 0
		}
		return 1
	}
	late := func(r *Acquire) bool {
		return now.Add(services[r.Service].answers.fastest(now)).After(r.Plain.Objective)
	}
	if order := cmp.Or(cmp.Compare(group(a), group(b)), cmp.Compare(indicator(late(a)), indicator(late(b)))); order != 0 {
		return order
	}
	if late(a) {
		return a.Plain.Deadline.Compare(b.Plain.Deadline)
	}
	return a.Plain.Objective.Compare(b.Plain.Objective)
}

// pauseAfterRefusal sets when servers that refused the call are asked again. Random is
// uniform in [0, 1). A call that would be late in the queue of a server that is full waits
// until the queue is shorter, so that it does not make other calls late as well.
func (p *PlainCall) pauseAfterRefusal(now time.Time, fastest time.Duration, random float64) {
	total := 0
	for _, count := range p.Refusals {
		total += count
	}
	if total == 0 {
		return
	}
	pause := max(fastest, backoffTime(1+total-len(p.Refusals)))
	p.late = now.Add(fullAnswerFactor * fastest).After(p.Objective)
	if p.late {
		pause = max(pause, drainFactor*fastest)
	}
	p.notBefore = now.Add(spread(pause, random))
}

// offerTime returns from when on the call may be sent to the server.
func (p *PlainCall) offerTime(c *candidate, now time.Time) time.Time {
	at := now.Add(c.refusesFor)
	if c.backoff.until.After(at) {
		at = c.backoff.until
	}
	if p.Refusals[c.server.ID] > 0 && (p.late || c.backoff.refusals > 0) && p.notBefore.After(at) {
		at = p.notBefore
	}
	return at
}

// plainPlan is what can be done with a call of a plain service.
type plainPlan struct {
	// ready are the servers that it may be sent to now.
	ready []candidate
	// next is when another server may take it; zero if that is not known.
	next time.Time
	// refusal is why the call is refused if it is sent to none of the ready servers, and
	// expected the time until a server may take it; "" if it waits.
	refusal  Refusal
	expected time.Duration
}

// planPlain returns what can be done with the call.
func planPlain(request *Acquire, candidates []candidate, now time.Time, service plainService) plainPlan {
	call, fastest := request.Plain, service.answers.fastest(now)
	serving := filterCandidates(candidates, func(c *candidate) bool { return !c.server.Draining && !c.leaving && !c.stale })
	if now.Add(fastest).After(call.Deadline) && service.answers.areRepresentative(len(serving), now) {
		return plainPlan{refusal: RefusedTooLate, expected: max(maxBackoff, drainFactor*fastest)}
	}
	possible := filterCandidates(serving, func(c *candidate) bool {
		return c.refusesFor <= 0 || now.Add(c.refusesFor).Before(request.WaitUntil)
	})
	refusedBy := filterCandidates(possible, func(c *candidate) bool { return call.Refusals[c.server.ID] > 0 })
	if !service.mayReoffer(now) {
		possible = filterCandidates(possible, func(c *candidate) bool { return call.Refusals[c.server.ID] == 0 })
	}
	for _, apply := range []filter{notExcluded, notAvoided, reachable, notPaused} {
		possible = apply(request, possible)
	}
	var plan plainPlan
	var inBackoff []candidate
	for i := range possible {
		c := &possible[i]
		at := call.offerTime(c, now)
		switch {
		case c.full:
			// The end of an attempt may make room at any time.
		case !at.After(now):
			plan.ready = append(plan.ready, *c)
		default:
			if plan.next.IsZero() || at.Before(plan.next) {
				plan.next = at
			}
			if c.refusesFor == 0 {
				inBackoff = append(inBackoff, *c)
			}
		}
	}
	nextInTime := !plan.next.IsZero() && plan.next.Before(request.WaitUntil) && plan.next.Before(call.Deadline.Add(-fastest))
	if len(plan.ready) == 0 && !nextInTime && !request.Retry {
		// A call that was offered to no server is not refused for the refusals of others.
		plan.ready = inBackoff
	}
	plan.ready = leastRefused(call, plan.ready)
	wait, allAsk := allRefuse(candidates)
	switch {
	case nextInTime:
	case !plan.next.IsZero(), len(possible) == 0 && len(refusedBy) > 0:
		plan.refusal, plan.expected = RefusedServersFull, max(maxBackoff, drainFactor*fastest)
	case allAsk && len(plan.ready) == 0:
		plan.refusal, plan.expected = RefusedByServers, wait
	case !now.Before(request.WaitUntil), len(possible) == 0 && request.Retry:
		plan.refusal = RefusedNoServer
	}
	return plan
}

// leastRefused keeps the servers that refused the call least often, so that others are
// tried first.
func leastRefused(call *PlainCall, candidates []candidate) []candidate {
	fewest := -1
	for i := range candidates {
		if count := call.Refusals[candidates[i].server.ID]; fewest < 0 || count < fewest {
			fewest = count
		}
	}
	return filterCandidates(candidates, func(c *candidate) bool { return call.Refusals[c.server.ID] == fewest })
}
