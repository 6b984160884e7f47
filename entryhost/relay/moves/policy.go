package moves

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

// ExposureLimits limits the exposure of callers to a version that may be faulty.
type ExposureLimits struct {
	// Share is the fraction of requests that a faulty version may receive over
	// the whole move, and Slack the number of requests that it may receive in
	// addition.
	Share float64
	Slack float64
}

const (
	// initialShare is the target's share of the traffic at the start. It rises to
	// provenShare after minProvenResponses successful responses.
	initialShare = 0.05
	provenShare  = 0.2
	// minProvenResponses is the number of successful responses that allow
	// provenShare.
	minProvenResponses = 20
	// usedExposureFraction is the fraction of the allowed exposure that is used.
	usedExposureFraction = 0.6
	// completionFraction is the fraction of the move's duration after which it is
	// completed; the rest is reserved for an outage of the store.
	completionFraction = 0.75
	// minFailures is the number of failures below which the failure rate is ignored.
	minFailures = 4
	// failureRateFactor and failureRateMargin bound the target's failure rate:
	// it may reach the rate of the other versions times the factor plus the margin.
	failureRateFactor = 2.0
	failureRateMargin = 0.1
	// minLatencySamples is the number of successful responses below which the mean
	// latency is ignored. latencyFactor is the highest ratio of the target's mean
	// latency to that of the other versions.
	minLatencySamples = 8
	latencyFactor     = 2.5
	// holderTimeoutRounds is the number of rounds without a heartbeat after
	// which another host takes over the move.
	holderTimeoutRounds = 3
)

// sumEvidence adds up the evidence of all hosts on one order.
func sumEvidence(evidence []Evidence, order uint64) (target, other Sample) {
	for _, report := range evidence {
		if report.Order == order {
			target, other = target.add(report.Target), other.add(report.Other)
		}
	}
	return target, other
}

// isFaulty reports whether the target fails more often or responds more slowly
// than the other versions, beyond the tolerances.
func isFaulty(target, other Sample) bool {
	if target.Failed >= minFailures && target.failureRate() > failureRateFactor*other.failureRate()+failureRateMargin {
		return true
	}
	return target.succeeded() >= minLatencySamples && other.succeeded() >= minLatencySamples && target.meanLatency() > time.Duration(latencyFactor*float64(other.meanLatency()))
}

func (s Sample) succeeded() int { return s.Count - s.Failed }

func (s Sample) failureRate() float64 {
	if s.Count == 0 {
		return 0
	}
	return float64(s.Failed) / float64(s.Count)
}

func (s Sample) meanLatency() time.Duration {
	if s.succeeded() == 0 {
		return 0
	}
	return s.LatencySum / time.Duration(s.succeeded())
}

// nextState returns the state that the holder writes next.
func nextState(state State, target, other Sample, elapsed, duration time.Duration, limits ExposureLimits) State {
	state.Heartbeat++
	exposed := float64(target.Count)
	allowed := usedExposureFraction * (limits.Share*float64(target.Count+other.Count) + limits.Slack)
	switch {
	case isFaulty(target, other):
		state.Phase, state.Share = routing.PhaseWithdrawn, 0
	case elapsed >= time.Duration(completionFraction*float64(duration)):
		state.Phase, state.Share = routing.PhaseCompleted, 1
	case exposed >= allowed:
		state.Share = 0
	case target.succeeded() >= minProvenResponses:
		state.Share = provenShare
	default:
		state.Share = initialShare
	}
	return state
}
