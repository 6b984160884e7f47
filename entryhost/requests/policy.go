package requests

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/model"
)

// maxAttempts bounds the failed attempts of one request that may have run, so
// that a request that breaks servers ends. Resuming an engine's own stream is
// not counted.
const maxAttempts = 6

// Recovery says how a generation goes on after the loss of an attempt. All but
// RecoveryContinue are baselines of the experiments.
type Recovery string

// The ways of recovery.
const (
	// RecoveryContinue continues from the prompt and the accepted tokens.
	RecoveryContinue Recovery = "continue"
	// RecoveryRestart generates again from the prompt and repeats what was delivered.
	RecoveryRestart Recovery = "restart"
	// RecoveryNone ends the request with its first attempt.
	RecoveryNone Recovery = "none"
)

// RetryDecision says what follows a failed attempt.
type RetryDecision struct {
	Retry bool
	// Delay is the pause before the next attempt.
	Delay   time.Duration
	Outcome admission.Outcome
	Fault   *model.Fault
}

// failureCounts are the failures of one generation so far.
type failureCounts struct {
	// ran counts attempts that may have run.
	ran int
	// refusals counts attempts since the last token that certainly did not run.
	refusals int
	// delivered tells that an attempt delivered tokens.
	delivered bool
}

// notRun reports that no attempt has run.
func (c failureCounts) notRun() bool { return c.ran == 0 && !c.delivered }

// count adds one failure.
func (c *failureCounts) count(kind backends.FailureKind) {
	switch kind {
	case backends.FailureConnect, backends.FailureRefused, backends.FailureGone:
		c.refusals++
	default:
		c.ran++
	}
}

const (
	// maxRefusals bounds the attempts in a row that did not run. With their
	// pauses they take 4.5 s, within the few seconds that callers wait.
	maxRefusals = 10
	// promptRefusals is the number of refusals that are answered at once: the
	// first servers tried may have died a moment ago.
	promptRefusals = 3
	// firstRefusalDelay doubles with each further refusal up to maxRefusalDelay,
	// so that servers that come back are not met by all requests at once.
	firstRefusalDelay = 50 * time.Millisecond
	maxRefusalDelay   = time.Second
)

// refusalDelay is the pause after this number of refusals in a row.
func refusalDelay(refusals int) time.Duration {
	if refusals <= promptRefusals {
		return 0
	}
	return min(firstRefusalDelay<<(refusals-promptRefusals-1), maxRefusalDelay)
}

// decideRetry decides after a failed attempt of a generation, which the counts
// include. A generation may run again, because only one attempt's tokens reach
// the ledger.
func decideRetry(counts failureCounts, failure *backends.StreamError) RetryDecision {
	outcome := outcomeOf(failure.Kind)
	if failure.Kind == backends.FailureInvalid {
		return RetryDecision{Outcome: outcome, Fault: &model.Fault{
			Kind: model.KindInvalid, Reason: model.ReasonBadField, Executed: model.ExecutedNo,
			Message: "the engine refused the request: " + failure.Message, Remedy: "correct the request",
		}}
	}
	if failure.Kind == backends.FailureCancelled || counts.ran >= maxAttempts || counts.refusals >= maxRefusals {
		return RetryDecision{Outcome: outcome, Fault: attemptsSpent(counts, failure)}
	}
	return RetryDecision{Retry: true, Delay: refusalDelay(counts.refusals), Outcome: outcome}
}

func attemptsSpent(counts failureCounts, failure *backends.StreamError) *model.Fault {
	executed := model.ExecutedUnknown
	if counts.notRun() {
		executed = model.ExecutedNo
	}
	return &model.Fault{
		Kind: model.KindUnavailable, Reason: model.ReasonRetriesSpent, Executed: executed,
		Message: "no attempt finished; the last one failed with " + failure.Error(),
		Remedy:  "send the request again after a pause", RetryAfter: time.Second,
	}
}

func outcomeOf(kind backends.FailureKind) admission.Outcome {
	switch kind {
	case backends.FailureConnect:
		return admission.OutcomeConnect
	case backends.FailureRefused:
		return admission.OutcomeRefused
	case backends.FailureInvalid:
		return admission.OutcomeInvalid
	case backends.FailureCancelled:
		return admission.OutcomeCancelled
	case backends.FailureStatus:
		return admission.OutcomeError
	case backends.FailureSilent:
		return admission.OutcomeSilent
	default:
		return admission.OutcomeBroken
	}
}
