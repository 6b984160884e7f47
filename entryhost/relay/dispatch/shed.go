package dispatch

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/loads"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/series"
	"github.com/lentilpoint/lentilpoint/eventcode"
)

// shedKey names the calls that are shed together.
type shedKey struct {
	service   string
	objective time.Duration
}

func shedKeyOf(request *Acquire) shedKey {
	return shedKey{service: request.Service, objective: request.Plain.LatencyObjective}
}

// shedReturn is the Retry-After of a call that is shed, unless a third of its time left is
// shorter. Overload lasts for seconds, so that calls that return early find it as it was.
const shedReturn = time.Second

// recordAnswerTime keeps the time of an answer for the next report to the collector.
func (t *Task) recordAnswerTime(service, server string, took time.Duration, now time.Time) {
	t.ownCalls.Add(map[string]loads.ServiceCalls{service: {
		Answers: map[string]loads.Answers{server: {Count: 1, Sum: took}}, Fastest: t.plainServices[service].answers.fastest(now),
	}}, now)
}

// takeCalls returns the calls that were not reported yet.
func (t *Task) takeCalls() map[string]loads.ServiceCalls {
	calls := t.ownCalls.Sums(t.Clock.Now())
	t.ownCalls = loads.CallWindow{}
	return calls
}

// shed refuses a new call of a plain service if others would be late for it.
func (t *Task) shed(request *Acquire) bool {
	now, call := t.Clock.Now(), request.Plain
	service := t.plainServices[request.Service]
	service.limits = service.limits.add(call.Limit, now)
	t.plainServices[request.Service] = service
	returned := service.limits.hasReturned(call.Limit)
	if !returned {
		t.ownCalls.Add(map[string]loads.ServiceCalls{request.Service: {Offered: 1}}, now)
	}
	key := shedKeyOf(request)
	state := t.shedding[key]
	refused := state.refuses(returned, t.Random.Float64(), now)
	if refused {
		state.refused++
		t.refuseFor(*request, RefusedShed, callerReturn(shedReturn, call.Deadline.Sub(now), t.Random.Float64()))
	}
	t.shedding[key] = state
	return refused
}

// updateShedding decides again what is shed, by the calls that the data centre has seen.
func (t *Task) updateShedding(shared map[string]loads.ServiceCalls, now time.Time) {
	for key, before := range t.shedding {
		candidates := filterCandidates(t.candidates(key.service, now), func(c *candidate) bool {
			return !c.server.Draining && !c.leaving && !c.stale && !c.paused && c.refusesFor == 0
		})
		for i := range candidates {
			candidates[i].backoff = t.servers[candidates[i].server.ID].backoff.current(now)
		}
		calls := shared[key.service]
		after := before.update(calls, serviceDelay(calls, candidates), key.objective, now)
		t.Metrics.GetOrCreateGauge(series.Name("lentilpoint_relay_shed_share", "service", key.service, "objective", key.objective.String()), nil).Set(after.share)
		switch {
		case !before.active && after.active:
			t.Logger.Info("calls are refused at once, since no server is expected to answer in time", eventcode.PlainCallsShed.Attr(),
				"service", key.service, "objective_ms", key.objective.Milliseconds(), "delay_ms", after.delay.Milliseconds(), "share", after.share)
		case before.active && !after.active:
			t.Logger.Info("calls are no longer refused at once", eventcode.PlainCallsShed.Attr(),
				"service", key.service, "objective_ms", key.objective.Milliseconds(), "delay_ms", after.delay.Milliseconds(), "refused", after.refused)
			after.refused = 0
		}
		t.shedding[key] = after
	}
}
