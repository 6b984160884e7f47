package requests

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/model"
)

// versionTimeout bounds the wait for a server of the version to which a
// generation is bound. A rolling restart of the last server takes a few
// seconds; callers wait no longer.
const versionTimeout = 10 * time.Second

// RecoveryStep is the way to recover from the loss of the only attempt.
type RecoveryStep int

// The ways to recover.
const (
	// StepDispatch requests another server.
	StepDispatch RecoveryStep = iota
	// StepResume resumes the engine stream on a new connection.
	StepResume
)

// maxStreamResumes bounds how often one engine stream is resumed. Otherwise two
// entry hosts that serve the same caller, one of them over a dead connection,
// would take the stream from each other endlessly.
const maxStreamResumes = 3

// decideResume prefers resuming the engine stream where that is cheap: the
// engine keeps decoding behind a lost connection, so nothing is prefilled
// again, and a dead engine refuses the connection at once. A stream is resumed
// once for each loss; a paused engine would not respond the second time either.
func decideResume(recovery Recovery, failure backends.FailureKind, resumeFailed, streamKnown bool, streamResumes int) RecoveryStep {
	if recovery != RecoveryContinue || resumeFailed || !streamKnown || streamResumes >= maxStreamResumes {
		return StepDispatch
	}
	if failure == backends.FailureBroken || failure == backends.FailureSilent {
		return StepResume
	}
	return StepDispatch
}

// LossStep is the consequence of losing the current attempt.
type LossStep int

// The steps that follow a loss.
const (
	// LossDispatch starts another attempt.
	LossDispatch LossStep = iota
	// LossPromote makes the second attempt the current one.
	LossPromote
	// LossWait waits for the server of the second attempt.
	LossWait
	// LossEnd ends the generation with an error.
	LossEnd
)

// decideLoss prefers a second attempt that is open or pending, even when no
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

// SilenceStep is the consequence of the silence of an attempt.
type SilenceStep int

// The steps that follow silence.
const (
	// SilenceWait does nothing.
	SilenceWait SilenceStep = iota
	// SilenceStartSecond starts a second attempt while this one stays open.
	SilenceStartSecond
	// SilenceGiveUp ends the attempt.
	SilenceGiveUp
)

// decideSilence returns the step for the current attempt. Only eager services
// start a second attempt, at the first sign of silence, and at most one at a
// time.
func decideSilence(silent time.Duration, limits SilenceLimits, eager, secondBlocked bool) SilenceStep {
	switch {
	case silent >= limits.GiveUp:
		return SilenceGiveUp
	case eager && !secondBlocked && silent >= limits.Suspect:
		return SilenceStartSecond
	default:
		return SilenceWait
	}
}

// nextSilenceCheck returns when the silence of the current attempt must be
// checked again.
func nextSilenceCheck(lastProgress time.Time, limits SilenceLimits, eager, secondBlocked bool) time.Time {
	if eager && !secondBlocked {
		return lastProgress.Add(limits.Suspect)
	}
	return lastProgress.Add(limits.GiveUp)
}

func versionGoneFault(version model.Version) *model.Fault {
	return &model.Fault{
		Kind: model.KindUnavailable, Reason: model.ReasonVersionGone, Executed: model.ExecutedUnknown,
		Message: "no server with version " + string(version) + " was free within " + versionTimeout.String() +
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

// estimatePromptTokens returns the number of prompt tokens. Before the engine
// has reported them, it counts four bytes as one token.
func estimatePromptTokens(ledger *Ledger, generation Generation) int {
	if ids, exact := ledger.Continuation(); exact && ids != nil {
		return len(ids)
	}
	const bytesPerToken = 4
	return (len(generation.Body.Prompt) + len(generation.Body.Messages)) / bytesPerToken
}
