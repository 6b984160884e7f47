package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/series"
	"github.com/lentilpoint/lentilpoint/eventcode"
)

// minRetryInterval is the shortest time between two tries to assign servers to waiting
// calls of plain services that no message caused.
const minRetryInterval = time.Millisecond

// addPlain tries the call after the waiting ones that precede it, and keeps it if it has to
// wait.
func (t *Task) addPlain(ctx context.Context, request Acquire) {
	if now := t.Clock.Now(); request.Plain.notBefore.IsZero() {
		request.Plain.pauseAfterRefusal(now, t.plainServices[request.Service].answers.fastest(now), t.Random.Float64())
	}
	if !request.Retry && t.shed(&request) {
		return
	}
	t.plain = append(t.plain, request)
	t.retryPlain(ctx)
}

// retryPlain tries each waiting call of plain services once, the most urgent first. It takes
// them from the list one by one, so that a panic loses only the call that caused it.
func (t *Task) retryPlain(ctx context.Context) {
	if len(t.plain) == 0 {
		return
	}
	t.handlePendingReports()
	now := t.Clock.Now()
	slices.SortStableFunc(t.plain, func(a, b Acquire) int { return comparePlain(&a, &b, now, t.plainServices) })
	for range len(t.plain) {
		request := t.plain[0]
		t.plain = t.plain[1:]
		if !t.tryAssign(ctx, request) {
			t.plain = append(t.plain, request)
		}
	}
}

// handlePendingReports makes connections available that have become idle. The report of a
// connection and the release of its lease arrive in any order, and a call that is assigned
// between them would open a new connection.
func (t *Task) handlePendingReports() {
	for {
		select {
		case report := <-t.reports.C():
			t.handleReport(report)
		default:
			return
		}
	}
}

// untilPlainRetry returns the time until the first waiting call may be sent or has to be
// refused.
func (t *Task) untilPlainRetry() time.Duration {
	wait := waitingRetryInterval
	for i := range t.plain {
		wait = min(wait, t.Clock.Until(t.plain[i].Plain.retryAt))
	}
	return max(wait, minRetryInterval)
}

// tryAssignPlain answers the call with a server or a refusal, or returns false if it has to
// wait.
func (t *Task) tryAssignPlain(ctx context.Context, request Acquire, candidates []candidate, now time.Time) bool {
	service := t.plainServices[request.Service]
	for i := range candidates {
		c := &candidates[i]
		state := t.servers[c.server.ID]
		c.backoff, c.warm = state.backoff.current(now), state.reusable(request.NotRepeatable, now)
	}
	service.sheds = t.shedding[shedKeyOf(&request)].sheds(now)
	plan := planPlain(&request, candidates, now, service)
	if chosen := t.pickServer(&request, plan.ready); chosen != nil {
		t.plainServices[request.Service] = service.afterOffer(request.Plain.Refusals[chosen.server.ID] > 0, !request.Retry, now)
		t.payAndGrant(ctx, request, chosen, candidates, false, now)
		return true
	}
	if plan.refusal != "" {
		retryAfter := callerReturn(plan.expected, request.Plain.Deadline.Sub(now), t.Random.Float64())
		if plan.refusal == RefusedByServers {
			retryAfter = time.Duration(float64(plan.expected) * (1 + refusalJitter*t.Random.Float64()))
		}
		t.refuseFor(request, plan.refusal, retryAfter)
		return true
	}
	request.Plain.retryAt = request.WaitUntil
	if !plan.next.IsZero() {
		request.Plain.retryAt = plan.next
	}
	return false
}

// endPlain updates what is known of the server and its service after an attempt of a call,
// and tries the waiting calls, since a slot may be free.
func (t *Task) endPlain(ctx context.Context, granted leaseState, message Release) {
	now, state := t.Clock.Now(), granted.server
	switch message.Outcome {
	case OutcomeRejected:
		if id := state.server.ID; !t.isLeaving(id) && t.refusesFor(id, now) == 0 {
			t.backOff(state, now)
		}
	case OutcomeSuccess, OutcomeFailed:
		if state.backoff.refusals >= loggedRefusals {
			t.Logger.Info("server that was full has answered", eventcode.ServerFull.Attr(), "server", state.server.ID, "service", granted.service,
				"refusals", state.backoff.refusals)
		}
		state.backoff = serverBackoff{}
		if message.Outcome == OutcomeSuccess && message.Latency > 0 {
			service := t.plainServices[granted.service]
			service.answers = service.answers.add(state.server.ID, message.Latency, now)
			t.plainServices[granted.service] = service
			t.recordAnswerTime(granted.service, state.server.ID, message.Latency, now)
		}
	}
	t.retryPlain(ctx)
}

// loggedRefusals is the number of refusals in a row from which a full server is logged,
// once it reaches the longest backoff.
const loggedRefusals = 5

// backOff does not ask the server again for a time.
func (t *Task) backOff(state *serverState, now time.Time) {
	before := state.backoff.current(now)
	state.backoff = before.afterRefusal(now, t.Random.Float64())
	t.Metrics.GetOrCreateCounter(series.Name("lentilpoint_relay_server_full_total", "service", state.server.Service)).Inc()
	if before.refusals < loggedRefusals && state.backoff.refusals == loggedRefusals {
		t.Logger.Info("server refuses one request after the other since it is full", eventcode.ServerFull.Attr(), "server", state.server.ID,
			"service", state.server.Service, "address", state.server.Address, "refusals", state.backoff.refusals,
			"backoff_ms", state.backoff.until.Sub(now).Milliseconds(), "in_flight", state.inFlight, "waiting", len(t.plain))
	}
}

// refuseAllPlain refuses the waiting calls of a host that stops.
func (t *Task) refuseAllPlain() {
	for _, request := range t.plain {
		t.refuse(request, RefusedStopping)
	}
	t.plain = nil
}

// publishPlain sets the gauges of plain services.
func (t *Task) publishPlain() {
	now := t.Clock.Now()
	waiting, inBackoff := map[string]int{}, map[string]int{}
	for i := range t.plain {
		waiting[t.plain[i].Service]++
	}
	for _, state := range t.servers {
		if state.backoff.until.After(now) {
			inBackoff[state.server.Service]++
		}
	}
	for service := range t.plainServices {
		t.Metrics.GetOrCreateGauge(series.Name("lentilpoint_relay_plain_waiting", "service", service), nil).Set(float64(waiting[service]))
		t.Metrics.GetOrCreateGauge(series.Name("lentilpoint_relay_servers_in_backoff", "service", service), nil).Set(float64(inBackoff[service]))
	}
}
