package moves

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

// Terms bound the exposure of callers to a version that may be bad.
type Terms struct {
	// Share is the part of the requests that a bad version may get over the whole
	// move, Slack the number of requests beyond it.
	Share float64
	Slack float64
}

const (
	// firstShare is the share of the target at the start; it grows to fullShare
	// once enough of its answers were good.
	firstShare = 0.05
	fullShare  = 0.2
	// enough is the number of good answers that allow fullShare.
	enough = 20
	// exposureMargin is the part of the allowed exposure that is used.
	exposureMargin = 0.6
	// completeAfter is the part of the move's time after which it is completed;
	// the rest covers an outage of the store.
	completeAfter = 0.75
	// failuresMin is the number of failures from which a failure rate counts.
	failuresMin = 4
	// failureFactor and failureExcess bound the failure rate of a good version
	// against that of the others.
	failureFactor = 2.0
	failureExcess = 0.1
	// slowMin is the number of answers from which a mean time counts, slowFactor
	// how far it may lie above that of the others.
	slowMin    = 8
	slowFactor = 2.5
	// holderRounds is the number of rounds without a beat after which another
	// host takes the move over.
	holderRounds = 3
)

// sum adds the evidence of all hosts on one order.
func sum(evidence []Evidence, order uint64) (target, other Sample) {
	for _, one := range evidence {
		if one.Order == order {
			target, other = target.add(one.Target), other.add(one.Other)
		}
	}
	return target, other
}

// isBad reports whether the target shows a fault against the other versions.
func isBad(target, other Sample) bool {
	if target.Failed >= failuresMin && target.rate() > failureFactor*other.rate()+failureExcess {
		return true
	}
	return target.good() >= slowMin && other.good() >= slowMin && target.mean() > time.Duration(slowFactor*float64(other.mean()))
}

func (s Sample) good() int { return s.Count - s.Failed }

func (s Sample) rate() float64 {
	if s.Count == 0 {
		return 0
	}
	return float64(s.Failed) / float64(s.Count)
}

func (s Sample) mean() time.Duration {
	if s.good() == 0 {
		return 0
	}
	return s.Took / time.Duration(s.good())
}

// next returns the state that the holder writes.
func next(state State, target, other Sample, elapsed, duration time.Duration, terms Terms) State {
	state.Beat++
	exposed := float64(target.Count)
	allowed := exposureMargin * (terms.Share*float64(target.Count+other.Count) + terms.Slack)
	switch {
	case isBad(target, other):
		state.Phase, state.Share = routing.PhaseWithdrawn, 0
	case elapsed >= time.Duration(completeAfter*float64(duration)):
		state.Phase, state.Share = routing.PhaseCompleted, 1
	case exposed >= allowed:
		state.Share = 0
	case target.good() >= enough:
		state.Share = fullShare
	default:
		state.Share = firstShare
	}
	return state
}
