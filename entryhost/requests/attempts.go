package requests

import (
	"context"
	"encoding/json"
	"time"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// findServerTimeout bounds the search for the server that a cursor names.
const findServerTimeout = 500 * time.Millisecond

// hasAllTokens reports whether the ledger holds the requested number of tokens,
// so that nothing is left to generate.
func (g *generationTask) hasAllTokens() bool {
	return g.recovery != RecoveryRestart && g.ledger.Len() > 0 && g.ledger.Len() >= g.start.Generation.Body.MaxTokens
}

// dispatch requests a server; the assignment arrives as a message.
func (g *generationTask) dispatch(ctx context.Context) *model.Fault {
	if _, exact := g.ledger.Continuation(); !exact {
		return &model.Fault{
			Kind: model.KindUnavailable, Reason: model.ReasonBackendFailed, Executed: model.ExecutedUnknown,
			Message: "the engine died and did not report the token ids of the prompt", Remedy: "send the request again",
		}
	}
	waitContext, cancel := context.WithCancel(ctx)
	reply := make(chan admission.DispatchResult, 1)
	g.pending = &pendingDispatch{reply: reply, cancel: cancel}
	if g.ledger.Version() != "" {
		g.pending.versionDeadline = g.clock.Now().Add(versionTimeout)
	}
	message := admission.Dispatch{Request: g.dispatchRequest(), Reply: reply, Cancelled: waitContext.Done()}
	if err := g.dispatches.Send(ctx, message); err != nil {
		return g.contextFault()
	}
	g.setTimer(g.clock.Now())
	return nil
}

// dispatchAfter dispatches after a delay, during which unsent tokens still
// reach the caller.
func (g *generationTask) dispatchAfter(ctx context.Context, delay time.Duration) *model.Fault {
	if delay == 0 {
		return g.dispatch(ctx)
	}
	now := g.clock.Now()
	g.retryAt = now.Add(delay)
	g.setTimer(now)
	return nil
}

func (g *generationTask) dispatchRequest() admission.Request {
	generation := g.start.Generation
	return admission.Request{
		ID:           generation.ID,
		Service:      generation.Service,
		Organisation: generation.Organisation.ID,
		Weight:       generation.Organisation.Weight,
		MaxOpen:      generation.Organisation.MaxOpen,
		Deadline:     generation.Deadline,
		Fingerprint:  generation.Fingerprint,
		PrefixHashes: g.prefixHashes(),
		Version:      g.ledger.Version(),
		Route:        generation.Route,
		Resume:       g.ledger.IssuedAttempts() > 0 || generation.Resume != nil,
		Exclude:      g.excludedServers(),
		Cost:         max(1, generation.Body.MaxTokens-g.ledger.Len()),
	}
}

// excludedServers returns the servers that failed this request and, when a
// second attempt starts, the one that is silent.
func (g *generationTask) excludedServers() []model.ServerID {
	excluded := append([]model.ServerID(nil), g.failedServers...)
	if g.current != nil {
		excluded = append(excluded, g.current.assignment.Server)
	}
	return excluded
}

// prefixHashes returns the prefix hashes of the prompt and the accepted tokens,
// or nil if the token ids are not known.
func (g *generationTask) prefixHashes() []uint64 {
	if ids, exact := g.ledger.Continuation(); exact && ids != nil {
		return enginewire.PrefixHashes(ids)
	}
	var ids []enginewire.TokenID
	if err := json.Unmarshal(g.start.Generation.Body.Prompt, &ids); err != nil {
		return nil
	}
	return enginewire.PrefixHashes(ids)
}

// handleAssignment starts an attempt on the assigned server, as the current
// attempt or as the second one beside a silent current attempt.
func (g *generationTask) handleAssignment(ctx context.Context, result admission.DispatchResult) *model.Fault {
	g.pending.cancel()
	g.pending = nil
	if result.Fault != nil && g.current != nil {
		g.secondRefused = true
		g.setTimer(g.clock.Now())
		return nil
	}
	if result.Fault != nil {
		return g.correctRefusal(result.Fault)
	}
	body, path, err := g.nextRequestBody()
	if err != nil {
		releaseAssignment(result.Assignment)
		return model.AsFault(err)
	}
	body.Model = string(result.Assignment.Version)
	started := &attempt{
		number: g.ledger.IssueAttempt(), assignment: result.Assignment, streamBase: g.ledger.Len(),
		promptTokens: estimatePromptTokens(&g.ledger, g.start.Generation),
	}
	if g.recovery == RecoveryRestart {
		started.streamBase = 0
	}
	if started.number > 1 {
		g.recordEvent(eventcode.ContinuationStarted, started, "the answer goes on here")
	}
	if g.current == nil {
		g.setCurrent(started)
	} else {
		g.second = started
	}
	return g.openStream(ctx, started, backends.OpenStream{Path: path, Body: body})
}

// correctRefusal returns the refusal with an unknown outcome if an earlier
// attempt of the request may have run.
func (g *generationTask) correctRefusal(fault *model.Fault) *model.Fault {
	if g.ledger.IssuedAttempts() == 0 && g.start.Generation.Resume == nil {
		return fault
	}
	corrected := *fault
	corrected.Executed = model.ExecutedUnknown
	return &corrected
}

// nextRequestBody builds the body of the next attempt: the caller's own
// request, or the prompt followed by the accepted tokens.
func (g *generationTask) nextRequestBody() (enginewire.Generation, string, error) {
	body := g.start.Generation.Body
	body.Stream = true
	body.ReturnTokenIDs = true
	if g.ledger.Len() == 0 || g.recovery == RecoveryRestart {
		return body, g.start.Generation.Path, nil
	}
	ids, _ := g.ledger.Continuation()
	prompt, err := enginewire.EncodePrompt(ids)
	body.Prompt = prompt
	body.Messages = nil
	body.MaxTokens -= g.ledger.Len()
	return body, enginewire.PathCompletions, err
}

// openStream asks the attempt's server task to open the stream.
func (g *generationTask) openStream(ctx context.Context, a *attempt, open backends.OpenStream) *model.Fault {
	open.Context, a.cancel = context.WithCancel(ctx)
	a.started = g.clock.Now()
	a.lastProgress = a.started
	open.Attempt = a.number
	open.Events = g.streamEvents
	if err := a.assignment.Commands.Send(ctx, open); err != nil {
		return g.contextFault()
	}
	g.setTimer(a.started)
	return nil
}

// setCurrent makes the ledger accept the tokens of this attempt only.
func (g *generationTask) setCurrent(a *attempt) {
	g.current = a
	g.ledger.AcceptOnly(a.number)
}

// promoteSecond makes the second attempt the current one, because it delivered
// first or the current one was lost.
func (g *generationTask) promoteSecond() {
	if g.current != nil {
		g.closeAttempt(g.current, admission.OutcomeSilent)
	}
	second := g.second
	g.second = nil
	g.setCurrent(second)
}

// cancelSecond ends a second attempt or a pending dispatch that is no longer
// needed.
func (g *generationTask) cancelSecond() {
	if g.second != nil {
		g.closeAttempt(g.second, admission.OutcomeCancelled)
		g.second = nil
	}
	if g.pending != nil {
		g.pending.cancelAndRelease()
		g.pending = nil
	}
}

// handleLoss continues the generation after an attempt failed, or returns the
// fault that ends it.
func (g *generationTask) handleLoss(ctx context.Context, a *attempt, failure *backends.StreamError) *model.Fault {
	if ctx.Err() != nil {
		return g.contextFault()
	}
	g.recordFailure(a, failure)
	if g.nextStep(a, failure) == StepResume {
		return g.resumeStream(ctx, a, failure)
	}
	g.countRetry(string(failure.Kind))
	g.failures.add(failure.Kind)
	decision := decideRetry(g.failures, failure)
	g.closeAttempt(a, reportedOutcome(a, failure))
	g.failedServers = append(g.failedServers, a.assignment.Server)
	if a == g.second {
		g.second = nil
		g.setTimer(g.clock.Now())
		return nil
	}
	g.current = nil
	switch decideLoss(decision.Retry && g.recovery != RecoveryNone, g.second != nil, g.pending != nil) {
	case LossPromote:
		g.promoteSecond()
		g.setTimer(g.clock.Now())
		return nil
	case LossWait:
		g.setTimer(g.clock.Now())
		return nil
	case LossEnd:
		if decision.Fault != nil {
			return decision.Fault
		}
		return retriesSpentFault(g.failures, failure)
	}
	if g.hasAllTokens() {
		g.ledger.Finish(finishLength)
		return nil
	}
	if g.ledger.Joined() {
		g.ledger.Reset(Mark{Position: g.sentPosition, Hash: g.sentHash})
	}
	return g.dispatchAfter(ctx, decision.Delay)
}

func (g *generationTask) nextStep(a *attempt, failure *backends.StreamError) RecoveryStep {
	if a != g.current || g.secondBlocked() || g.hasAllTokens() {
		return StepDispatch
	}
	return decideResume(g.recovery, failure.Kind, a.resumed && a.tokens == 0, a.source != nil, g.streamResumes)
}

// reportedOutcome returns the outcome of an assignment for its dispatcher. If a
// stream could not be resumed, it is the failure that led to the resumption.
func reportedOutcome(a *attempt, failure *backends.StreamError) admission.Outcome {
	if a.resumed && a.tokens == 0 && a.resumedAfter != nil {
		return outcomeOf(a.resumedAfter.Kind)
	}
	return outcomeOf(failure.Kind)
}

// resumeStream resumes the engine stream of a lost attempt on a new connection,
// under the same assignment.
func (g *generationTask) resumeStream(ctx context.Context, lost *attempt, failure *backends.StreamError) *model.Fault {
	lost.cancel()
	g.streamResumes++
	g.countRetry("resume_stream")
	resumed := &attempt{
		number: g.ledger.BeginAttempt(), assignment: lost.assignment, streamBase: lost.source.Base,
		resumed: true, resumedAfter: failure, source: lost.source, earlierTokens: lost.earlierTokens + lost.tokens,
	}
	g.current = resumed
	g.recordEvent(eventcode.StreamResumed, resumed, "the connection was lost: "+failure.Error())
	return g.openStream(ctx, resumed, backends.OpenStream{
		ResumeStream: lost.source.Stream, ResumeFrom: g.ledger.Len() - lost.source.Base,
	})
}

// joinStream resumes the engine stream that a cursor names and reports whether
// it could. The attempt occupies no slot, because the engine runs the stream
// already.
func (g *generationTask) joinStream(ctx context.Context, point *ResumePoint) bool {
	source := point.Source
	if source.Stream == "" || point.Mark.Position < source.Base {
		return false
	}
	findContext, cancel := context.WithTimeout(ctx, findServerTimeout)
	defer cancel()
	found, err := task.Call(findContext, g.servers, func(reply task.Reply[backends.ServerLookupResult]) backends.ServerLookup {
		return backends.ServerLookup{ID: source.Server, Reply: reply}
	})
	if err != nil || !found.Found {
		return false
	}
	g.ledger.Join()
	joined := &attempt{
		number:     g.ledger.BeginAttempt(),
		assignment: admission.Assignment{Server: source.Server, Version: point.Version, Commands: found.Commands},
		streamBase: source.Base, resumed: true, source: &source,
	}
	g.current = joined
	g.recordEvent(eventcode.ResumedByCursor, joined, "the caller reconnected and the engine's stream is resumed")
	open := backends.OpenStream{ResumeStream: source.Stream, ResumeFrom: point.Mark.Position - source.Base}
	return g.openStream(ctx, joined, open) == nil
}

// closeAttempt cancels an attempt and reports its outcome to the dispatcher.
func (g *generationTask) closeAttempt(a *attempt, outcome admission.Outcome) {
	a.cancel()
	sendDone(a.assignment, a.doneReport(g.start.Generation, outcome, g.clock.Now()))
}

func (g *generationTask) closeAttempts() {
	g.cancelSecond()
	if g.current == nil {
		return
	}
	outcome := admission.OutcomeCancelled
	if g.ledger.FinishReason() != "" {
		outcome = admission.OutcomeDone
	}
	g.closeAttempt(g.current, outcome)
}
