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

// findTimeout bounds the search for the server that a cursor names.
const findTimeout = 500 * time.Millisecond

// complete reports whether the ledger has as many tokens as were asked for,
// which leaves nothing to generate.
func (g *generationTask) complete() bool {
	return g.recovery != RecoveryRestart && g.ledger.Len() > 0 && g.ledger.Len() >= g.start.Generation.Body.MaxTokens
}

// dispatch asks for a server; the assignment arrives as a message.
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
		g.pending.expires = g.clock.Now().Add(versionWait)
	}
	message := admission.Dispatch{Request: g.dispatchRequest(), Reply: reply, Cancelled: waitContext.Done()}
	if err := g.dispatches.Send(ctx, message); err != nil {
		return g.endedFault()
	}
	g.arm(g.clock.Now())
	return nil
}

// dispatchAfter dispatches after a pause, in which tokens still reach the caller.
func (g *generationTask) dispatchAfter(ctx context.Context, delay time.Duration) *model.Fault {
	if delay == 0 {
		return g.dispatch(ctx)
	}
	now := g.clock.Now()
	g.retryAt = now.Add(delay)
	g.arm(now)
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
		Resume:       g.ledger.Issued() > 0 || generation.Resume != nil,
		Exclude:      g.avoided(),
		Cost:         max(1, generation.Body.MaxTokens-g.ledger.Len()),
	}
}

// avoided lists the servers that failed this request, and the one that is
// silent while a second attempt starts.
func (g *generationTask) avoided() []model.ServerID {
	avoided := append([]model.ServerID(nil), g.exclude...)
	if g.current != nil {
		avoided = append(avoided, g.current.assignment.Server)
	}
	return avoided
}

// prefixHashes covers the token ids of the prompt if they are known.
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

// assigned starts the attempt for which an assignment arrived, as the leading
// one or beside a silent one.
func (g *generationTask) assigned(ctx context.Context, result admission.DispatchResult) *model.Fault {
	g.pending.cancel()
	g.pending = nil
	if result.Fault != nil && g.current != nil {
		g.secondRefused = true
		g.arm(g.clock.Now())
		return nil
	}
	if result.Fault != nil {
		return g.restate(result.Fault)
	}
	body, path, err := g.nextBody()
	if err != nil {
		giveBack(result.Assignment)
		return model.AsFault(err)
	}
	body.Model = string(result.Assignment.Version)
	started := &attempt{
		number: g.ledger.Issue(), assignment: result.Assignment, base: g.ledger.Len(),
		prompt: promptEstimate(&g.ledger, g.start.Generation),
	}
	if g.recovery == RecoveryRestart {
		started.base = 0
	}
	if started.number > 1 {
		g.note(eventcode.ContinuationStarted, started, "the answer goes on here")
	}
	if g.current == nil {
		g.lead(started)
	} else {
		g.second = started
	}
	return g.open(ctx, started, backends.OpenStream{Path: path, Body: body})
}

// restate corrects a refusal: once an attempt may have run, the request as a
// whole no longer counts as not run.
func (g *generationTask) restate(fault *model.Fault) *model.Fault {
	if g.ledger.Issued() == 0 && g.start.Generation.Resume == nil {
		return fault
	}
	restated := *fault
	restated.Executed = model.ExecutedUnknown
	return &restated
}

// nextBody builds the body of the next attempt: the caller's own request, or
// prompt plus accepted tokens.
func (g *generationTask) nextBody() (enginewire.Generation, string, error) {
	body := g.start.Generation.Body
	body.Stream = true
	body.ReturnTokenIDs = true
	if g.ledger.Len() == 0 || g.recovery == RecoveryRestart {
		return body, g.start.Generation.Path, nil
	}
	ids, _ := g.ledger.Continuation()
	prompt, err := enginewire.PromptTokens(ids)
	body.Prompt = prompt
	body.Messages = nil
	body.MaxTokens -= g.ledger.Len()
	return body, enginewire.PathCompletions, err
}

// open sends the attempt to its server task.
func (g *generationTask) open(ctx context.Context, a *attempt, open backends.OpenStream) *model.Fault {
	open.Context, a.cancel = context.WithCancel(ctx)
	a.started = g.clock.Now()
	a.progress = a.started
	open.Attempt = a.number
	open.Events = g.stream
	if err := a.assignment.Commands.Send(ctx, open); err != nil {
		return g.endedFault()
	}
	g.arm(a.started)
	return nil
}

func (g *generationTask) lead(a *attempt) {
	g.current = a
	g.ledger.Lead(a.number)
}

// promote makes the second attempt the leading one, because it was the first
// to deliver or the other was lost.
func (g *generationTask) promote() {
	if g.current != nil {
		g.close(g.current, admission.OutcomeSilent)
	}
	second := g.second
	g.second = nil
	g.lead(second)
}

// dropSecond ends a second attempt that is no longer needed.
func (g *generationTask) dropSecond() {
	if g.second != nil {
		g.close(g.second, admission.OutcomeCancelled)
		g.second = nil
	}
	if g.pending != nil {
		g.pending.abandon()
		g.pending = nil
	}
}

// lost decides what follows the loss of an attempt.
func (g *generationTask) lost(ctx context.Context, a *attempt, failure *backends.StreamError) *model.Fault {
	if ctx.Err() != nil {
		return g.endedFault()
	}
	g.noteFailure(a, failure)
	if g.nextStep(a, failure) == StepResume {
		return g.resume(ctx, a, failure)
	}
	g.countRetry(string(failure.Kind))
	g.failures.count(failure.Kind)
	decision := decideRetry(g.failures, failure)
	g.close(a, reportedOutcome(a, failure))
	g.exclude = append(g.exclude, a.assignment.Server)
	if a == g.second {
		g.second = nil
		g.arm(g.clock.Now())
		return nil
	}
	g.current = nil
	switch decideLoss(decision.Retry && g.recovery != RecoveryNone, g.second != nil, g.pending != nil) {
	case LossPromote:
		g.promote()
		g.arm(g.clock.Now())
		return nil
	case LossWait:
		g.arm(g.clock.Now())
		return nil
	case LossEnd:
		if decision.Fault != nil {
			return decision.Fault
		}
		return attemptsSpent(g.failures, failure)
	}
	if g.complete() {
		g.ledger.Finish(finishLength)
		return nil
	}
	if g.ledger.Joined() {
		g.ledger.Forget(Mark{Position: g.sent, Hash: g.hash})
	}
	return g.dispatchAfter(ctx, decision.Delay)
}

func (g *generationTask) nextStep(a *attempt, failure *backends.StreamError) NextStep {
	if a != g.current || g.secondOpen() || g.complete() {
		return StepDispatch
	}
	return decideNext(g.recovery, failure.Kind, a.resumed && a.tokens == 0, a.source != nil, g.resumes)
}

// reportedOutcome is the outcome of an assignment: a stream that could not be
// resumed ended with the failure that came before.
func reportedOutcome(a *attempt, failure *backends.StreamError) admission.Outcome {
	if a.resumed && a.tokens == 0 && a.cause != nil {
		return outcomeOf(a.cause.Kind)
	}
	return outcomeOf(failure.Kind)
}

// resume continues the engine's own stream on a new connection, under the same
// assignment.
func (g *generationTask) resume(ctx context.Context, lost *attempt, failure *backends.StreamError) *model.Fault {
	lost.cancel()
	g.resumes++
	g.countRetry("resume_stream")
	resumed := &attempt{
		number: g.ledger.Begin(), assignment: lost.assignment, base: lost.source.Base,
		resumed: true, cause: failure, source: lost.source, earlier: lost.earlier + lost.tokens,
	}
	g.current = resumed
	g.note(eventcode.StreamResumed, resumed, "the connection was lost: "+failure.Error())
	return g.open(ctx, resumed, backends.OpenStream{
		ResumeStream: lost.source.Stream, ResumeFrom: g.ledger.Len() - lost.source.Base,
	})
}

// joinStream resumes the engine's stream that a cursor names. It occupies no
// slot, because the engine runs the stream already.
func (g *generationTask) joinStream(ctx context.Context, point *ResumePoint) bool {
	source := point.Source
	if source.Stream == "" || point.Mark.Position < source.Base {
		return false
	}
	findContext, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	found, err := task.Call(findContext, g.servers, func(reply task.Reply[backends.ServerLookupResult]) backends.ServerLookup {
		return backends.ServerLookup{ID: source.Server, Reply: reply}
	})
	if err != nil || !found.Found {
		return false
	}
	g.ledger.Join()
	joined := &attempt{
		number:     g.ledger.Begin(),
		assignment: admission.Assignment{Server: source.Server, Version: point.Version, Commands: found.Commands},
		base:       source.Base, resumed: true, source: &source,
	}
	g.current = joined
	g.note(eventcode.ResumedByCursor, joined, "the caller reconnected and the engine's stream is resumed")
	open := backends.OpenStream{ResumeStream: source.Stream, ResumeFrom: point.Mark.Position - source.Base}
	return g.open(ctx, joined, open) == nil
}

// close ends an attempt and reports it to the dispatcher.
func (g *generationTask) close(a *attempt, outcome admission.Outcome) {
	a.cancel()
	sendDone(a.assignment, a.done(g.start.Generation, outcome, g.clock.Now()))
}

func (g *generationTask) closeAll() {
	g.dropSecond()
	if g.current == nil {
		return
	}
	outcome := admission.OutcomeCancelled
	if g.ledger.Finished() != "" {
		outcome = admission.OutcomeDone
	}
	g.close(g.current, outcome)
}
