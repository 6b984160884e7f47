package requests

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/requests/claims"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
)

// CallPolicy selects when a call to a plain service may be dispatched again.
type CallPolicy string

// The call policies. CallBlindRetry is a baseline of the experiments.
const (
	// CallAtMostOnce dispatches a call that is not idempotent again only when no
	// byte of it was sent.
	CallAtMostOnce CallPolicy = "at-most-once"
	// CallBlindRetry dispatches every failed call again, claimed or not.
	CallBlindRetry CallPolicy = "blind-retry"
)

// minHeadTimeout is the shortest part of the deadline worth reserving for an
// attempt on another server.
const minHeadTimeout = 100 * time.Millisecond

// minTransportSilence is the shortest wait without a response after which the
// transport is replaced, so that callers with very short deadlines do not
// discard working connections.
const minTransportSilence = 100 * time.Millisecond

// minBodyReadTimeout is the shortest wait for bytes of a response body that
// counts as silence. It allows for services that pause while streaming.
const minBodyReadTimeout = 15 * time.Second

// bodyReadTimeout bounds one wait for bytes of a response body, so that a
// silent connection does not block its caller forever.
func bodyReadTimeout(remaining time.Duration) time.Duration {
	return max(remaining, minBodyReadTimeout)
}

// failedAttempt describes an attempt of a call that ended without a response.
type failedAttempt struct {
	failure *backends.StreamError
	// resendable means that the body can be sent again from its start.
	resendable bool
	// attempts is the number of attempts so far, including this one.
	attempts int
}

// mayRetryCall decides whether a failed call may be sent to another server. A
// call that may have reached a server is repeated only if its method is
// idempotent and its body can be sent again.
func mayRetryCall(policy CallPolicy, call Call, failed failedAttempt) bool {
	if !failed.resendable || failed.attempts >= maxAttempts {
		return false
	}
	kind := failed.failure.Kind
	if kind == backends.FailureConnect {
		return true
	}
	lost := kind == backends.FailureBroken || kind == backends.FailureSilent
	return lost && (call.Repeatable || policy == CallBlindRetry)
}

// headTimeout bounds the wait for the response head. An idempotent call
// reserves half of the remaining time for another server, so that one silent
// connection does not use up the deadline.
func headTimeout(repeatable bool, remaining time.Duration) time.Duration {
	if !repeatable || remaining < 2*minHeadTimeout {
		return remaining
	}
	return remaining / 2
}

// callFault returns the fault of a call that ended without a response.
func callFault(failure *backends.StreamError, mayHaveRun bool) *model.Fault {
	if !mayHaveRun {
		return model.NotRun(model.KindUnavailable, model.ReasonBackendFailed,
			"no backend server accepted a connection: "+failure.Message, "send the request again").WithRetryAfter(time.Second)
	}
	return &model.Fault{
		Kind: model.KindUnknown, Reason: model.ReasonOutcomeUnknown, Executed: model.ExecutedUnknown,
		Message: "the request may have reached a backend server that did not answer: " + failure.Message,
		Remedy:  "ask the service whether the request took effect before sending it again",
	}
}

// correctRefusal returns the refusal with an unknown outcome if an earlier
// attempt may have reached a server.
func correctRefusal(fault *model.Fault, mayHaveRun bool) *model.Fault {
	if !mayHaveRun || fault.Executed != model.ExecutedNo {
		return fault
	}
	corrected := *fault
	corrected.Executed = model.ExecutedUnknown
	return &corrected
}

// keyStateAfter returns the state of a key whose call ended with the fault.
func keyStateAfter(fault *model.Fault) claims.State {
	if fault.Executed == model.ExecutedNo {
		return claims.StateReleased
	}
	return claims.StateUnknown
}

// callEndEvent returns the event code of a call that ended with the fault.
func callEndEvent(fault *model.Fault) eventcode.Code {
	if fault.Executed == model.ExecutedNo {
		return eventcode.CallFailed
	}
	return eventcode.CallOutcomeUnknown
}
