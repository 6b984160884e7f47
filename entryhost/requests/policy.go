package requests

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/model"
)

// maxAttempts bounds the failed attempts of one request, so that a request that
// breaks servers ends. Resuming an engine's own stream is not counted.
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
	Retry   bool
	Outcome admission.Outcome
	Fault   *model.Fault
}

// decideRetry decides after a failed attempt of a generation. A generation may
// run again, because only one attempt's tokens reach the ledger.
func decideRetry(failures int, failure *backends.StreamError) RetryDecision {
	outcome := outcomeOf(failure.Kind)
	if failure.Kind == backends.FailureInvalid {
		return RetryDecision{Outcome: outcome, Fault: &model.Fault{
			Kind: model.KindInvalid, Reason: model.ReasonBadField, Executed: model.ExecutedNo,
			Message: "the engine refused the request: " + failure.Message, Remedy: "correct the request",
		}}
	}
	if failure.Kind == backends.FailureCancelled {
		return RetryDecision{Outcome: outcome, Fault: attemptsSpent(failure)}
	}
	if failures >= maxAttempts {
		return RetryDecision{Outcome: outcome, Fault: attemptsSpent(failure)}
	}
	return RetryDecision{Retry: true, Outcome: outcome}
}

func attemptsSpent(failure *backends.StreamError) *model.Fault {
	return &model.Fault{
		Kind: model.KindUnavailable, Reason: model.ReasonRetriesSpent, Executed: model.ExecutedUnknown,
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
