package suspects

import (
	"context"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/eventcode"
)

// KeptStop is a stop as it is kept in the store, from which hosts learn it that start when
// no other host is left that knows it.
type KeptStop struct {
	Signature Signature
	// DecidedAt is the wall-clock time of the decision.
	DecidedAt time.Time
}

// StopStore keeps stops. Calls for a signature replace each other.
type StopStore interface {
	WriteStop(ctx context.Context, kept KeptStop) error
	RemoveStop(ctx context.Context, signature Signature) error
	ReadStops(ctx context.Context) ([]KeptStop, error)
}

const (
	// keepTimeout bounds one call to the store, which answers in 4 to 10 ms.
	keepTimeout = time.Second
	// readerRound is the round of learning after which the first of the hosts that have
	// learned nothing reads the store; the others learn from it. In otherReadersRound
	// those that still know nothing read it too.
	readerRound       = 2
	otherReadersRound = 4
	// readerKey is the key by which hosts choose the first one.
	readerKey = "kept-stops"
)

// keepChanges brings the store up to date with changes of the stops that this host has
// decided. It goes on for stopSendTimeout, as the store may be away.
func (t *Task) keepChanges(ctx context.Context, before, after stopList) {
	for _, decided := range after {
		known := slices.ContainsFunc(before, func(other stop) bool {
			return slices.Equal(other.signature, decided.signature) && other.stoppedUntil == decided.stoppedUntil
		})
		if known {
			continue
		}
		kept := KeptStop{Signature: decided.signature, DecidedAt: t.Clock.Now().Add(decided.stoppedUntil - stopDuration - t.now())}
		go t.keep(ctx, decided.signature, func(ctx context.Context) error { return t.Store.WriteStop(ctx, kept) })
	}
	for _, removed := range before {
		if slices.ContainsFunc(after, func(other stop) bool { return slices.Equal(other.signature, removed.signature) }) {
			continue
		}
		go t.keep(ctx, removed.signature, func(ctx context.Context) error { return t.Store.RemoveStop(ctx, removed.signature) })
	}
}

// keep repeats a call to the store until it succeeds or stopSendTimeout has passed.
func (t *Task) keep(ctx context.Context, signature Signature, call func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, stopSendTimeout)
	defer cancel()
	for {
		callContext, cancelCall := context.WithTimeout(ctx, keepTimeout)
		err := call(callContext)
		cancelCall()
		if err == nil {
			return
		}
		t.Logger.Warn("stop of requests that crash servers not kept in the store", eventcode.SuspectNotReported.Attr(), "signature", signature, "error", err)
		select {
		case <-ctx.Done():
			return
		case <-t.Clock.After(stopSendInterval):
		}
	}
}

// mayReadKept reports whether this host is to read the stops in the store, after a round in
// which so many hosts have answered and none had learned anything. All hosts may have been
// started at once.
func (t *Task) mayReadKept(answers int) bool {
	if t.learned || t.learnRounds < readerRound {
		return false
	}
	return answers == 0 || t.learnRounds >= otherReadersRound || trackers(readerKey, t.Self, t.hosts)[0] == t.Self
}

// readKept reads the stops in the store and sends them to the task. Those that no longer
// count are removed there.
func (t *Task) readKept(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	kept, err := t.Store.ReadStops(ctx)
	if err != nil {
		t.Logger.Warn("kept stops of requests that crash servers not read; trying again", eventcode.SuspectNotReported.Attr(), "error", err)
	}
	collected := stopsCollected{learned: err == nil}
	for _, entry := range kept {
		// The time of day steps. A decision in the future is taken for a new one.
		age := max(0, t.Clock.Now().Sub(entry.DecidedAt))
		if age < 2*stopDuration {
			decided := PromptStop{Signature: entry.Signature, StoppedFor: stopDuration, ForgottenIn: 2 * stopDuration}
			collected.stops = append(collected.stops, decided.after(age))
			continue
		}
		if err := t.Store.RemoveStop(ctx, entry.Signature); err != nil {
			t.Logger.Warn("kept stop that no longer counts not removed", eventcode.SuspectNotReported.Attr(), "signature", entry.Signature, "error", err)
		}
	}
	_ = t.mailbox.Send(ctx, collected)
}
