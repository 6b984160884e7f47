package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/series"
	"github.com/lentilpoint/lentilpoint/eventcode"
)

// ranksOf returns the ranks of a service's streams, or nil if urgency does not matter
// there since there is only one.
func (t *Task) ranksOf(service string) routing.Ranks {
	if t.view.Config == nil {
		return nil
	}
	if ranks := t.view.Config.Services[service].Ranks; len(ranks) > 1 {
		return ranks
	}
	return nil
}

// admitStream decides by urgency about a stream of a service with several ranks, for
// which an engine was chosen. It returns the engine and the demand in its data centre, or
// nil if the stream was refused or waits for the loads of other data centres.
func (t *Task) admitStream(ctx context.Context, request *Acquire, chosen *candidate, waiting demand, candidates []candidate, now time.Time) (*candidate, demand) {
	needs := t.needsOf(request, now)
	decided := t.admissionAt(chosen.server.DataCentre, waiting, needs)
	// A stream that was sent to an engine may have run, so that a refusal could not state
	// that it has not, and one of which the caller has events would be cut off.
	if decided.refusal != "" && !request.Retry && !request.Begun {
		if !request.remoteLoadsKnown {
			request.remoteLoadsKnown = true
			t.exchangeLoads(ctx, request, t.otherDataCentres())
			return nil, waiting
		}
		elsewhere, elsewhereWaiting := t.spillOver(request, decided, needs, candidates, now)
		if elsewhere == nil {
			t.refuseByUrgency(*request, decided, needs, waiting, now)
			return nil, waiting
		}
		chosen, waiting = elsewhere, elsewhereWaiting
		decided = t.admissionAt(chosen.server.DataCentre, waiting, needs)
	}
	if waiting.moreUrgentWait() {
		t.countByRank("lentilpoint_relay_urgency_deferrals_total", request, string(RefusedForUrgent))
	}
	t.Metrics.GetOrCreateHistogram(rankSeries("lentilpoint_relay_first_event_predicted_seconds", request.Service, request.Rank)).Update((decided.wait + needs.prompt).Seconds())
	return chosen, waiting
}

// needsOf returns what the admission of the stream depends on besides the demand.
func (t *Task) needsOf(request *Acquire, now time.Time) streamNeeds {
	return streamNeeds{
		ranks: t.ranksOf(request.Service), objective: request.Objective, left: request.Deadline.Sub(now), prompt: t.promptTimes[request.Service].duration(),
	}
}

func (t *Task) admissionAt(dataCentre string, waiting demand, needs streamNeeds) admission {
	decided := waiting.admit(needs)
	decided.dataCentre = dataCentre
	if dataCentre != t.DataCentre {
		decided.distance = remoteDelay
	}
	return decided
}

// spillOver returns an engine in a data centre that admits the stream, and the demand
// there, or nil. Data centres of which the loads are not known are no capacity: all their
// engines would seem to be idle.
func (t *Task) spillOver(request *Acquire, refused admission, needs streamNeeds, candidates []candidate, now time.Time) (*candidate, demand) {
	if candidates == nil {
		candidates = t.candidatesFor(request, now)
	}
	reachable := filterCandidates(candidates, func(c *candidate) bool {
		return !c.paused && !c.dataCentreDown && t.isViewFresh(c.server.DataCentre, now)
	})
	demands, others := map[string]demand{}, []admission(nil)
	for i := range reachable {
		dataCentre := reachable[i].server.DataCentre
		if _, found := demands[dataCentre]; found || dataCentre == refused.dataCentre {
			continue
		}
		demands[dataCentre] = t.demandAt(dataCentre, request, countEngines(dataCentre, reachable), now)
		others = append(others, t.admissionAt(dataCentre, demands[dataCentre], needs))
	}
	best, found := bestElsewhere(refused, others)
	if !found {
		return nil, demand{}
	}
	return t.pickServer(request, filterCandidates(reachable, func(c *candidate) bool { return c.server.DataCentre == best.dataCentre })), demands[best.dataCentre]
}

// maxViewAge is the age that is logged for a view that is older or was never received.
const maxViewAge = time.Minute

// refuseByUrgency refuses the stream and logs what the decision was made from.
func (t *Task) refuseByUrgency(request Acquire, decided admission, needs streamNeeds, waiting demand, now time.Time) {
	retryAfter := roomWait(decided.untilRoom, needs, t.Random.Float64())
	t.Logger.Info("stream is refused for more urgent ones or for its own wait", eventcode.StreamRefusedByUrgency.Attr(), "service", request.Service, "route", request.Route,
		"organisation", request.Organisation, "reason", string(decided.refusal), "rank", request.Rank, "data_centre", decided.dataCentre, "wait_ms", decided.wait.Milliseconds(),
		"prompt_ms", needs.prompt.Milliseconds(), "backlog", waiting.byRank, "engines", waiting.engines.usable, "objective_ms", needs.objective.Milliseconds(),
		"urgent_objective_ms", needs.ranks.ObjectiveBefore(request.Rank).Milliseconds(), "retry_after_ms", retryAfter.Milliseconds(),
		"view_age_ms", min(now.Sub(t.shared[decided.dataCentre].askedAt), maxViewAge).Milliseconds())
	t.refuseFor(request, decided.refusal, retryAfter)
}

// copyAllowed reports whether the run of a lease may get a further copy of its cache.
func (t *Task) copyAllowed(granted leaseState) bool {
	if t.ranksOf(granted.service) == nil {
		return true
	}
	now, dataCentre := t.Clock.Now(), granted.server.server.DataCentre
	request := &Acquire{Service: granted.service, Rank: granted.rank}
	return !t.demandAt(dataCentre, request, t.enginesFor(request, dataCentre, nil, now), now).moreUrgentWait()
}

// observeFirstEvent notes the time to the first event of an attempt that has read its
// prompt.
func (t *Task) observeFirstEvent(granted leaseState) {
	if granted.fromCopy || t.ranksOf(granted.service) == nil {
		return
	}
	took := t.Clock.Since(granted.stepStarted)
	if granted.alone {
		t.promptTimes[granted.service] = t.promptTimes[granted.service].observe(took)
	}
	t.Metrics.GetOrCreateHistogram(rankSeries("lentilpoint_relay_first_event_seconds", granted.service, granted.rank)).Update(took.Seconds())
}

// countByRank counts a refusal or deferral of a stream of a service with several ranks.
func (t *Task) countByRank(metric string, request *Acquire, reason string) {
	if t.ranksOf(request.Service) != nil {
		t.Metrics.GetOrCreateCounter(rankSeries(metric, request.Service, request.Rank, "reason", reason)).Inc()
	}
}

// rankSeries returns the name of a series of a service and a rank, with further labels.
func rankSeries(metric, service string, rank int, labels ...string) string {
	return series.Name(metric, append([]string{"service", service, "rank", strconv.Itoa(rank)}, labels...)...)
}
