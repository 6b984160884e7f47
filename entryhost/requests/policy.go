package requests

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/model"
)

// maxAttempts bounds the failed attempts of one request that may have run, so
// that a request that crashes servers does not continue to do so. Resuming an
// engine stream does not count.
const maxAttempts = 6

// Recovery selects how a generation continues after an attempt is lost. All
// values but RecoveryContinue are baselines of the experiments.
type Recovery string

// The recovery modes.
const (
	// RecoveryContinue sends the prompt and the accepted tokens to another server.
	RecoveryContinue Recovery = "continue"
	// RecoveryRestart generates again from the prompt and delivers repeated
	// tokens.
	RecoveryRestart Recovery = "restart"
	// RecoveryNone ends the request when its first attempt is lost.
	RecoveryNone Recovery = "none"
)

// RetryDecision is the consequence of a failed attempt.
type RetryDecision struct {
	Retry bool
	// Delay is the time to wait before the next attempt.
	Delay   time.Duration
	Outcome admission.Outcome
	Fault   *model.Fault
}

// failureCounts counts the failed attempts of one generation.
type failureCounts struct {
	// mayHaveRun counts failed attempts that the server may have executed.
	mayHaveRun int
	// refusals counts failed attempts since the last token that were certainly not
	// executed.
	refusals int
	// tokensDelivered is set once an attempt has delivered tokens.
	tokensDelivered bool
}

// notRun reports whether no attempt can have been executed.
func (c failureCounts) notRun() bool { return c.mayHaveRun == 0 && !c.tokensDelivered }

// add counts a failure of this kind.
func (c *failureCounts) add(kind backends.FailureKind) {
	switch kind {
	case backends.FailureConnect, backends.FailureRefused, backends.FailureGone:
		c.refusals++
	default:
		c.mayHaveRun++
	}
}

const (
	// maxRefusals bounds the consecutive attempts that were not executed. With
	// their delays they take 4.5 s, within the few seconds that callers wait.
	maxRefusals = 10
	// maxImmediateRetries is the number of consecutive refusals after which the
	// next attempt starts without delay: the first servers tried may have just
	// died.
	maxImmediateRetries = 3
	// firstRefusalDelay doubles with each further refusal up to maxRefusalDelay,
	// so that servers that come back do not receive all requests at once.
	firstRefusalDelay = 50 * time.Millisecond
	maxRefusalDelay   = time.Second
)

// refusalDelay returns the delay after this number of consecutive refusals.
func refusalDelay(refusals int) time.Duration {
	if refusals <= maxImmediateRetries {
		return 0
	}
	return min(firstRefusalDelay<<(refusals-maxImmediateRetries-1), maxRefusalDelay)
}

// decideRetry returns what follows a failed attempt of a generation; counts
// already includes the failure. A generation may run more than once, because
// the ledger accepts the tokens of one attempt only.
func decideRetry(counts failureCounts, failure *backends.StreamError) RetryDecision {
	outcome := outcomeOf(failure.Kind)
	if failure.Kind == backends.FailureInvalid {
		return RetryDecision{Outcome: outcome, Fault: &model.Fault{
			Kind: model.KindInvalid, Reason: model.ReasonBadField, Executed: model.ExecutedNo,
			Message: "the engine refused the request: " + failure.Message, Remedy: "correct the request",
		}}
	}
	if failure.Kind == backends.FailureCancelled || counts.mayHaveRun >= maxAttempts || counts.refusals >= maxRefusals {
		return RetryDecision{Outcome: outcome, Fault: retriesSpentFault(counts, failure)}
	}
	return RetryDecision{Retry: true, Delay: refusalDelay(counts.refusals), Outcome: outcome}
}

func retriesSpentFault(counts failureCounts, failure *backends.StreamError) *model.Fault {
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
