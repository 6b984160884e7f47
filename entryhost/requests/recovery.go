package requests

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/model"
)

// versionWait is how long a generation waits for a server of its version. A
// rolling restart of the last server takes a few seconds; callers wait no longer.
const versionWait = 10 * time.Second

// NextStep says how a generation goes on after the loss of its only attempt.
type NextStep int

// The ways to go on.
const (
	// StepDispatch asks the dispatcher for another server.
	StepDispatch NextStep = iota
	// StepResume resumes the engine's own stream on a new connection.
	StepResume
)

// maxResumes bounds how often one engine stream is resumed. Two entry hosts
// that serve the same caller, one of them over a dead connection, would take the
// stream from each other without end.
const maxResumes = 3

// decideNext prefers the engine's own stream where that is cheap: the engine
// keeps decoding behind a lost connection, so nothing is prefilled again, and
// a dead engine refuses the connection at once. A stream is resumed once for
// each loss; a paused engine would not answer the second time either.
func decideNext(recovery Recovery, failure backends.FailureKind, resumed, streamKnown bool, resumes int) NextStep {
	if recovery != RecoveryContinue || resumed || !streamKnown || resumes >= maxResumes {
		return StepDispatch
	}
	if failure == backends.FailureBroken || failure == backends.FailureSilent {
		return StepResume
	}
	return StepDispatch
}

// LossStep says what follows the loss of the leading attempt.
type LossStep int

// The steps that follow a loss.
const (
	// LossDispatch starts another attempt.
	LossDispatch LossStep = iota
	// LossPromote goes on with the second attempt.
	LossPromote
	// LossWait goes on with the second attempt once it has a server.
	LossWait
	// LossEnd ends the generation with an error.
	LossEnd
)

// decideLoss goes on with a second attempt that is under way, even when no
// further one may be started.
func decideLoss(retry, secondOpen, secondPending bool) LossStep {
	switch {
	case secondOpen:
		return LossPromote
	case secondPending:
		return LossWait
	case !retry:
		return LossEnd
	default:
		return LossDispatch
	}
}

// SilenceStep says what follows from the silence of an attempt.
type SilenceStep int

// The steps that follow from silence.
const (
	// SilenceWait does nothing.
	SilenceWait SilenceStep = iota
	// SilenceStartSecond starts the next attempt while this one stays open.
	SilenceStartSecond
	// SilenceGiveUp ends the attempt.
	SilenceGiveUp
)

// decideSilence decides about the leading attempt. Only eager services start a
// second attempt, at the first sign of silence, and at most one at a time.
func decideSilence(silent time.Duration, limits Limits, eager, secondOpen bool) SilenceStep {
	switch {
	case silent >= limits.GiveUp:
		return SilenceGiveUp
	case eager && !secondOpen && silent >= limits.Suspect:
		return SilenceStartSecond
	default:
		return SilenceWait
	}
}

// nextCheck returns when the silence of the leading attempt has to be looked at
// again.
func nextCheck(progress time.Time, limits Limits, eager, secondOpen bool) time.Time {
	if eager && !secondOpen {
		return progress.Add(limits.Suspect)
	}
	return progress.Add(limits.GiveUp)
}

func versionGone(version model.Version) *model.Fault {
	return &model.Fault{
		Kind: model.KindUnavailable, Reason: model.ReasonVersionGone, Executed: model.ExecutedUnknown,
		Message: "no server with version " + string(version) + " was free within " + versionWait.String() +
			", and another version would not continue the same answer",
		Remedy: "send the request again without Last-Event-ID to generate with a version in use", RetryAfter: time.Second,
	}
}

func divergedFault() *model.Fault {
	return &model.Fault{
		Kind: model.KindConflict, Reason: model.ReasonResumeDiverged, Executed: model.ExecutedYes,
		Message: "the generation was repeated and differs from the tokens already delivered",
		Remedy:  "send the request again without Last-Event-ID and discard what was received",
		Field:   "Last-Event-ID",
	}
}

// promptEstimate returns the number of prompt tokens; before the engine has
// reported them, four bytes are taken for one.
func promptEstimate(ledger *Ledger, generation Generation) int {
	if ids, exact := ledger.Continuation(); exact && ids != nil {
		return len(ids)
	}
	const bytesPerToken = 4
	return (len(generation.Body.Prompt) + len(generation.Body.Messages)) / bytesPerToken
}
