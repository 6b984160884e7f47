package requests

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// streamEventsSize bounds the stream events that wait for a generation task. A
// full mailbox makes the stream task wait, which passes backpressure on to the
// engine.
const streamEventsSize = 64

// maxUpdateTokens bounds the tokens in one update to the caller.
const maxUpdateTokens = 64

// generationTask owns the ledger and the attempts of one generation.
type generationTask struct {
	start      StartGeneration
	dispatches task.Mailbox[admission.Dispatch]
	recovery   Recovery
	clock      clockwork.Clock
	logger     *slog.Logger

	ledger  Ledger
	sent    int
	hash    uint64
	exclude []model.ServerID
	attempt currentAttempt
	events  task.Mailbox[backends.StreamEvent]
}

// currentAttempt is the state of the attempt in progress.
type currentAttempt struct {
	assignment admission.Assignment
	cancel     context.CancelFunc
	started    time.Time
	firstToken time.Time
	lastToken  time.Time
	tokens     int
}

// run serves the generation and sends its last update.
func (g *generationTask) run() {
	ctx, cancel := context.WithDeadline(g.start.Context, g.start.Generation.Deadline)
	defer cancel()
	g.events = task.NewMailbox[backends.StreamEvent](streamEventsSize)
	if fault := g.serve(ctx); fault != nil {
		g.sendLast(Update{Fault: fault})
		return
	}
	g.flush()
	g.sendLast(Update{
		Position: g.ledger.Len(), Finish: g.ledger.Finished(), Version: g.ledger.Version(),
		PromptTokens: len(g.ledger.promptIDs), Attempts: int(g.ledger.Attempt()),
	})
}

// serve runs attempts until one finishes the generation.
func (g *generationTask) serve(ctx context.Context) *model.Fault {
	for {
		if fault := g.open(ctx); fault != nil {
			return fault
		}
		failure := g.follow(ctx)
		if failure == nil {
			g.close(admission.OutcomeDone)
			return nil
		}
		if ctx.Err() != nil {
			g.close(admission.OutcomeCancelled)
			return g.endedFault(ctx)
		}
		decision := decideRetry(g.ledger.Attempt(), failure)
		g.logger.Info("attempt failed", eventcode.AttemptFailed.Attr(), "request", g.start.Generation.ID,
			"attempt", g.ledger.Attempt(), "server", g.attempt.assignment.Server, "cause", failure.Error(),
			"tokens", g.ledger.Len(), "retry", decision.Retry)
		g.close(decision.Outcome)
		if !decision.Retry {
			return decision.Fault
		}
		if g.recovery == RecoveryNone {
			return attemptsSpent(g.ledger.Attempt(), failure)
		}
		if decision.Exclude {
			g.exclude = append(g.exclude, g.attempt.assignment.Server)
		}
	}
}

// open obtains an assignment and starts the stream of the next attempt.
func (g *generationTask) open(ctx context.Context) *model.Fault {
	body, path, fault := g.nextBody()
	if fault != nil {
		return fault
	}
	assignment, fault := g.dispatch(ctx)
	if fault != nil {
		return fault
	}
	body.Model = string(assignment.Version)
	streamContext, cancel := context.WithCancel(ctx)
	g.attempt = currentAttempt{assignment: assignment, cancel: cancel, started: g.clock.Now()}
	open := backends.OpenStream{
		Context: streamContext,
		Attempt: g.ledger.Begin(),
		Path:    path,
		Body:    body,
		Events:  g.events,
	}
	if err := assignment.Commands.Send(ctx, open); err != nil {
		g.close(admission.OutcomeCancelled)
		return g.endedFault(ctx)
	}
	return nil
}

// nextBody builds the body of the next attempt: the caller's own request, or
// prompt plus accepted tokens.
func (g *generationTask) nextBody() (enginewire.Generation, string, *model.Fault) {
	body := g.start.Generation.Body
	body.Stream = true
	body.ReturnTokenIDs = true
	ids, exact := g.ledger.Continuation()
	if !exact {
		return body, "", &model.Fault{
			Kind: model.KindUnavailable, Reason: model.ReasonBackendFailed, Executed: model.ExecutedUnknown,
			Message: "the engine died and did not report the token ids of the prompt", Remedy: "send the request again",
		}
	}
	if g.ledger.Len() == 0 || g.recovery == RecoveryRestart {
		return body, g.start.Generation.Path, nil
	}
	prompt, err := enginewire.PromptTokens(ids)
	if err != nil {
		return body, "", model.AsFault(err)
	}
	body.Prompt = prompt
	body.Messages = nil
	body.MaxTokens -= g.ledger.Len()
	return body, enginewire.PathCompletions, nil
}

func (g *generationTask) dispatch(ctx context.Context) (admission.Assignment, *model.Fault) {
	generation := g.start.Generation
	result, err := task.Call(ctx, g.dispatches, func(reply task.Reply[admission.DispatchResult]) admission.Dispatch {
		return admission.Dispatch{
			Request: admission.Request{
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
				Resume:       g.ledger.Attempt() > 0,
				Exclude:      g.exclude,
				Cost:         generation.Body.MaxTokens,
			},
			Reply:     reply,
			Cancelled: ctx.Done(),
		}
	})
	if err != nil {
		return admission.Assignment{}, g.endedFault(ctx)
	}
	if result.Fault != nil {
		return admission.Assignment{}, g.restate(result.Fault)
	}
	return result.Assignment, nil
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

// restate corrects a refusal: once an attempt may have run, the request as a
// whole no longer counts as not run.
func (g *generationTask) restate(fault *model.Fault) *model.Fault {
	if g.ledger.Attempt() == 0 {
		return fault
	}
	restated := *fault
	restated.Executed = model.ExecutedUnknown
	return &restated
}

// follow reads the events of the current attempt until the generation is
// finished, the attempt fails or makes no progress, or the context ends.
func (g *generationTask) follow(ctx context.Context) *backends.StreamError {
	timer := g.clock.NewTimer(g.attempt.assignment.FirstTokenTimeout)
	defer timer.Stop()
	for {
		updates, update := g.nextUpdate()
		select {
		case <-ctx.Done():
			return &backends.StreamError{Kind: backends.FailureCancelled, Message: context.Cause(ctx).Error()}
		case updates <- update:
			g.markSent(update)
		case event := <-g.events.C():
			if event.Attempt != g.ledger.Attempt() {
				continue
			}
			if event.Err != nil {
				return event.Err
			}
			g.accept(event)
			if g.ledger.Finished() != "" {
				return nil
			}
			timer.Reset(g.attempt.assignment.TokenTimeout)
		case <-timer.Chan():
			return g.silent()
		}
	}
}

func (g *generationTask) accept(event backends.StreamEvent) {
	if !g.ledger.Accept(g.attempt.assignment.Version, event) || len(event.Tokens) == 0 {
		return
	}
	now := g.clock.Now()
	if g.attempt.tokens == 0 {
		g.attempt.firstToken = now
	}
	g.attempt.tokens += len(event.Tokens)
	g.attempt.lastToken = now
}

func (g *generationTask) silent() *backends.StreamError {
	_ = g.attempt.assignment.Commands.TrySend(backends.ReportSilence{Generation: g.attempt.assignment.Generation})
	return &backends.StreamError{Kind: backends.FailureSilent, Message: "no token within the progress timeout"}
}

// nextUpdate returns the channel and the update for tokens not yet sent; the
// channel is nil when there are none, so that a select skips it.
func (g *generationTask) nextUpdate() (chan<- Update, Update) {
	if g.sent == g.ledger.Len() {
		return nil, Update{}
	}
	tokens := g.ledger.Since(g.sent)
	if len(tokens) > maxUpdateTokens {
		tokens = tokens[:maxUpdateTokens]
	}
	hash := g.hash
	for _, token := range tokens {
		hash = enginewire.RollHash(hash, token.ID)
	}
	return g.start.Updates, Update{Position: g.sent, Tokens: tokens, Hash: hash, Version: g.ledger.Version()}
}

func (g *generationTask) markSent(update Update) {
	g.sent += len(update.Tokens)
	g.hash = update.Hash
}

// flush sends the tokens that the caller has not received yet.
func (g *generationTask) flush() {
	for {
		updates, update := g.nextUpdate()
		if updates == nil {
			return
		}
		select {
		case updates <- update:
			g.markSent(update)
		case <-g.start.Context.Done():
			return
		}
	}
}

func (g *generationTask) sendLast(update Update) {
	select {
	case g.start.Updates <- update:
	case <-g.start.Context.Done():
	}
}

// close ends the current attempt and reports it to the dispatcher.
func (g *generationTask) close(outcome admission.Outcome) {
	g.attempt.cancel()
	attempt := g.attempt
	done := admission.Done{
		ID:       attempt.assignment.ID,
		Server:   attempt.assignment.Server,
		Version:  attempt.assignment.Version,
		Outcome:  outcome,
		Duration: g.clock.Since(attempt.started),
		Tokens:   attempt.tokens,
	}
	done.Request.Organisation = g.start.Generation.Organisation.ID
	done.Request.Fingerprint = g.start.Generation.Fingerprint
	done.Request.Route = g.start.Generation.Route
	if attempt.tokens > 0 {
		done.FirstToken = attempt.firstToken.Sub(attempt.started)
	}
	if attempt.tokens > 1 {
		done.MeanGap = attempt.lastToken.Sub(attempt.firstToken) / time.Duration(attempt.tokens-1)
	}
	sendDone(attempt.assignment, done)
}

// doneTimeout bounds the wait for room in a dispatcher's mailbox.
const doneTimeout = 5 * time.Second

// sendDone reports the end of an assignment. It waits for room even after the
// request ended, because a lost report would occupy a slot for good.
func sendDone(assignment admission.Assignment, done admission.Done) {
	ctx, cancel := context.WithTimeout(context.Background(), doneTimeout)
	defer cancel()
	_ = assignment.Finished.Send(ctx, done)
}

// endedFault explains why the request's context ended.
func (g *generationTask) endedFault(ctx context.Context) *model.Fault {
	executed := model.ExecutedNo
	if g.ledger.Attempt() > 0 {
		executed = model.ExecutedUnknown
	}
	fault := &model.Fault{
		Kind: model.KindDeadline, Reason: model.ReasonDeadlinePassed, Executed: executed,
		Message: "the deadline passed before the generation finished",
		Remedy:  "send the request again with a later deadline or fewer tokens",
	}
	if g.start.Context.Err() != nil {
		fault.Message = "the caller closed the connection"
		fault.Remedy = "reconnect with Last-Event-ID to continue"
	}
	return fault
}
