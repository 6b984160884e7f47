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
	// lastProgress is the time of the last token or, before the first, of the
	// start.
	lastProgress time.Time
	firstToken   time.Time
	tokens       int
	// earlierTokens counts the tokens of earlier attempts under the same
	// assignment.
	earlierTokens int
	// streamBase is the position in the answer at which the engine stream begins.
	streamBase int
	// promptTokens is the length of the prompt, estimated if it is not known.
	promptTokens int
	promptIDs    []enginewire.TokenID
	// transportGeneration identifies the connection in use; 0 if unknown.
	transportGeneration backends.TransportGeneration
	// resumed means that the attempt resumes an engine stream.
	resumed bool
	// resumedAfter is the failure that led to the resumption; nil after a cursor.
	resumedAfter *backends.StreamError
	source       *StreamSource
}

// silenceLimits returns the silence allowed now, from the measured latencies of
// the service and of this generation.
func (a *attempt) silenceLimits(service, own LatencyStats) SilenceLimits {
	limits := gapLimits(service.TokenGaps, own.TokenGaps)
	if a.tokens == 0 && a.resumed {
		// The engine holds the stream and responds at once if it is alive.
		limits.GiveUp = limits.Suspect
	}
	if a.tokens == 0 && !a.resumed {
		limits = firstTokenLimits(service.Merge(own), a.promptTokens)
	}
	return limits
}

// recordEvent updates the attempt and reports whether the timer must be set
// again, which is after 1, 2, 4, 8 and so on tokens: the limits shrink with the
// number of measured gaps.
func (a *attempt) recordEvent(event backends.StreamEvent, now time.Time, own *LatencyStats) bool {
	if event.Transport != 0 {
		a.transportGeneration = event.Transport
	}
	if event.PromptIDs != nil {
		a.promptIDs = event.PromptIDs
	}
	if event.EngineStream != "" && (a.source == nil || a.source.Stream != event.EngineStream) {
		a.source = &StreamSource{Server: a.assignment.Server, Stream: event.EngineStream, Base: a.streamBase}
	}
	if len(event.Tokens) == 0 {
		return false
	}
	a.recordTokens(len(event.Tokens), now, own)
	return bits.OnesCount(uint(a.tokens)) == 1
}

func (a *attempt) recordTokens(count int, now time.Time, own *LatencyStats) {
	switch {
	case a.tokens > 0:
		own.TokenGaps.Add(now.Sub(a.lastProgress).Seconds())
	case !a.resumed:
		own.addFirstToken(now.Sub(a.started), a.promptTokens)
	}
	if a.tokens == 0 {
		a.firstToken = now
	}
	before := a.tokens
	a.tokens += count
	a.lastProgress = now
	if after := a.assignment.ReportAfter; after > 0 && before < after && a.tokens >= after {
		// If the mailbox is full the report is dropped, and a suspect request stays
		// isolated until it ends.
		_ = a.assignment.Reports.TrySend(admission.Progressed{ID: a.assignment.ID})
	}
}

// doneReport returns the final report of the attempt to its dispatcher.
func (a *attempt) doneReport(generation Generation, outcome admission.Outcome, now time.Time) admission.Done {
	done := admission.Done{
		ID:       a.assignment.ID,
		Server:   a.assignment.Server,
		Version:  a.assignment.Version,
		Outcome:  outcome,
		Duration: now.Sub(a.started),
		Tokens:   a.earlierTokens + a.tokens,
	}
	done.Request.ID = generation.ID
	done.Request.Organisation = generation.Organisation.ID
	done.Request.Fingerprint = generation.Fingerprint
	done.Request.Route = generation.Route
	if a.tokens > 0 && !a.resumed {
		done.FirstToken = a.firstToken.Sub(a.started)
	}
	if a.tokens > 1 {
		done.MeanGap = a.lastProgress.Sub(a.firstToken) / time.Duration(a.tokens-1)
	}
	return done
}

// pendingDispatch is a dispatch without an assignment yet.
type pendingDispatch struct {
	reply  <-chan admission.DispatchResult
	cancel context.CancelFunc
	// versionDeadline ends the wait for a server of the version to which the
	// request is bound; zero if it is not bound.
	versionDeadline time.Time
}

// results returns the channel of the reply. It is nil without a dispatch, so
// that a select skips it.
func (p *pendingDispatch) results() <-chan admission.DispatchResult {
	if p == nil {
		return nil
	}
	return p.reply
}

// cancelAndRelease cancels the dispatch and releases an assignment that was
// made at the same moment, which would otherwise occupy its slot forever.
func (p *pendingDispatch) cancelAndRelease() {
	p.cancel()
	go func() {
		timer := time.NewTimer(sendDoneTimeout)
		defer timer.Stop()
		select {
		case result := <-p.reply:
			if result.Fault == nil {
				releaseAssignment(result.Assignment)
			}
		case <-timer.C:
		}
	}()
}

func releaseAssignment(assignment admission.Assignment) {
	sendDone(assignment, admission.Done{
		ID: assignment.ID, Server: assignment.Server, Version: assignment.Version, Outcome: admission.OutcomeCancelled,
	})
}

// sendDoneTimeout bounds the wait for room in a dispatcher's mailbox.
const sendDoneTimeout = 5 * time.Second

// sendDone reports the end of an assignment. It waits for room in the mailbox
// even after the request ended, because a lost report would occupy a slot
// forever. An assignment without an id came from a cursor and occupies no slot.
func sendDone(assignment admission.Assignment, done admission.Done) {
	if assignment.ID == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendDoneTimeout)
	defer cancel()
	_ = assignment.Reports.Send(ctx, done)
}
