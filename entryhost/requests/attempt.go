package requests

import (
	"context"
	"math/bits"
	"time"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
)

// attempt is the state of one open stream to an engine.
type attempt struct {
	number     backends.Attempt
	assignment admission.Assignment
	cancel     context.CancelFunc
	started    time.Time
	// progress is the time of the last token, or of the start.
	progress   time.Time
	firstToken time.Time
	tokens     int
	// earlier counts the tokens of earlier attempts under the same assignment.
	earlier int
	// base is the position at which the engine's stream begins.
	base int
	// prompt is the number of prompt tokens, estimated if it is not known.
	prompt    int
	promptIDs []enginewire.TokenID
	// transport is the generation of the connection in use; 0 if unknown.
	transport backends.TransportGeneration
	// resumed tells that the attempt continues an engine's own stream.
	resumed bool
	// cause is the failure that a resumed attempt follows; nil after a cursor.
	cause  *backends.StreamError
	source *Source
}

// limits returns the silences that the attempt is allowed now, from what was
// observed of its service and of this generation.
func (a *attempt) limits(service, own Observed) Limits {
	limits := gapLimits(service.Gaps, own.Gaps)
	if a.tokens == 0 && a.resumed {
		// The engine holds the stream and answers at once if it is alive.
		limits.GiveUp = limits.Suspect
	}
	if a.tokens == 0 && !a.resumed {
		limits = firstTokenLimits(service.Merge(own), a.prompt)
	}
	return limits
}

// note records an event and reports whether the timer must be set again: the
// limits shrink with the number of observed gaps.
func (a *attempt) note(event backends.StreamEvent, now time.Time, own *Observed) bool {
	if event.Transport != 0 {
		a.transport = event.Transport
	}
	if event.PromptIDs != nil {
		a.promptIDs = event.PromptIDs
	}
	if event.EngineStream != "" && (a.source == nil || a.source.Stream != event.EngineStream) {
		a.source = &Source{Server: a.assignment.Server, Stream: event.EngineStream, Base: a.base}
	}
	if len(event.Tokens) == 0 {
		return false
	}
	a.noteTokens(len(event.Tokens), now, own)
	return bits.OnesCount(uint(a.tokens)) == 1
}

func (a *attempt) noteTokens(count int, now time.Time, own *Observed) {
	switch {
	case a.tokens > 0:
		own.Gaps.Add(now.Sub(a.progress).Seconds())
	case !a.resumed:
		own.addFirstToken(now.Sub(a.started), a.prompt)
	}
	if a.tokens == 0 {
		a.firstToken = now
	}
	before := a.tokens
	a.tokens += count
	a.progress = now
	if after := a.assignment.ReportAfter; after > 0 && before < after && a.tokens >= after {
		// A full mailbox drops the report; the request then runs alone to its end.
		_ = a.assignment.Reports.TrySend(admission.Progressed{ID: a.assignment.ID})
	}
}

// done returns the report of the attempt to its dispatcher.
func (a *attempt) done(generation Generation, outcome admission.Outcome, now time.Time) admission.Done {
	done := admission.Done{
		ID:       a.assignment.ID,
		Server:   a.assignment.Server,
		Version:  a.assignment.Version,
		Outcome:  outcome,
		Duration: now.Sub(a.started),
		Tokens:   a.earlier + a.tokens,
	}
	done.Request.ID = generation.ID
	done.Request.Organisation = generation.Organisation.ID
	done.Request.Fingerprint = generation.Fingerprint
	done.Request.Route = generation.Route
	if a.tokens > 0 && !a.resumed {
		done.FirstToken = a.firstToken.Sub(a.started)
	}
	if a.tokens > 1 {
		done.MeanGap = a.progress.Sub(a.firstToken) / time.Duration(a.tokens-1)
	}
	return done
}

// pendingDispatch is a dispatch that waits for its assignment.
type pendingDispatch struct {
	reply  <-chan admission.DispatchResult
	cancel context.CancelFunc
	// expires is when waiting for a server of the bound version ends; zero
	// without such a limit.
	expires time.Time
}

// results returns the channel of the reply; nil without a dispatch, so that a
// select skips it.
func (p *pendingDispatch) results() <-chan admission.DispatchResult {
	if p == nil {
		return nil
	}
	return p.reply
}

// abandon cancels the dispatch. An assignment that was made at the same moment
// is given back, because it would occupy a slot for good.
func (p *pendingDispatch) abandon() {
	p.cancel()
	go func() {
		timer := time.NewTimer(doneTimeout)
		defer timer.Stop()
		select {
		case result := <-p.reply:
			if result.Fault == nil {
				giveBack(result.Assignment)
			}
		case <-timer.C:
		}
	}()
}

func giveBack(assignment admission.Assignment) {
	sendDone(assignment, admission.Done{
		ID: assignment.ID, Server: assignment.Server, Version: assignment.Version, Outcome: admission.OutcomeCancelled,
	})
}

// doneTimeout bounds the wait for room in a dispatcher's mailbox.
const doneTimeout = 5 * time.Second

// sendDone reports the end of an assignment. It waits for room even after the
// request ended, because a lost report would occupy a slot for good. An
// assignment without an id came from a cursor and occupies none.
func sendDone(assignment admission.Assignment, done admission.Done) {
	if assignment.ID == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), doneTimeout)
	defer cancel()
	_ = assignment.Reports.Send(ctx, done)
}
