package requests

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/requests/claims"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
)

// CallPolicy says when a call to a plain service may be dispatched again.
type CallPolicy string

// The call policies. CallBlindRetry is a baseline of the experiments.
const (
	// CallAtMostOnce dispatches a call that is not idempotent again only when no
	// byte of it was sent.
	CallAtMostOnce CallPolicy = "at-most-once"
	// CallBlindRetry dispatches every failed call again, claimed or not.
	CallBlindRetry CallPolicy = "blind-retry"
)

// leastHeadTimeout is the least part of the deadline that is worth keeping
// back for another server.
const leastHeadTimeout = 100 * time.Millisecond

// leastSilence is the least wait without an answer that replaces a transport,
// so that callers with very short deadlines do not discard good connections.
const leastSilence = 100 * time.Millisecond

// leastBodySilence is the least time without a byte of an answer's body that
// counts as silence. It allows for services that stream with pauses.
const leastBodySilence = 15 * time.Second

// bodySilence bounds one wait for bytes of an answer's body, so that a silent
// connection does not hold its caller for good.
func bodySilence(remaining time.Duration) time.Duration {
	return max(remaining, leastBodySilence)
}

// failedAttempt describes an attempt of a call that ended without an answer.
type failedAttempt struct {
	failure *backends.StreamError
	// resendable tells that the body can be sent again from its start.
	resendable bool
	// attempts counts the attempts so far.
	attempts int
}

// mayCallAgain decides whether a failed call may be sent to another server. A
// call that may have reached a server is only repeated when its method is
// idempotent and its body can be sent again.
func mayCallAgain(policy CallPolicy, call Call, failed failedAttempt) bool {
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

// headTimeout bounds the wait for the head of an answer. An idempotent call
// keeps half of the remaining time back for another server, so that one silent
// connection does not take the whole deadline.
func headTimeout(repeatable bool, remaining time.Duration) time.Duration {
	if !repeatable || remaining < 2*leastHeadTimeout {
		return remaining
	}
	return remaining / 2
}

// callFault is the typed error of a call that ended without an answer.
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

// restateCall corrects a refusal: once an attempt may have reached a server,
// the call no longer counts as not run.
func restateCall(fault *model.Fault, mayHaveRun bool) *model.Fault {
	if !mayHaveRun || fault.Executed != model.ExecutedNo {
		return fault
	}
	restated := *fault
	restated.Executed = model.ExecutedUnknown
	return &restated
}

// stateAfter is the state of a key whose call ended with the fault.
func stateAfter(fault *model.Fault) claims.State {
	if fault.Executed == model.ExecutedNo {
		return claims.StateReleased
	}
	return claims.StateUnknown
}

// endCode is the event of a call that ended with the fault.
func endCode(fault *model.Fault) eventcode.Code {
	if fault.Executed == model.ExecutedNo {
		return eventcode.CallFailed
	}
	return eventcode.CallOutcomeUnknown
}
