package requests

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/events"
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

// reportTokens is the number of tokens after which a generation reports the
// speed of its service.
const reportTokens = 32

// finishLength is the reason for the end of a generation that has as many
// tokens as were asked for.
const finishLength = "length"

// lateEventsWait is the pause before silence is judged again when events wait
// in the mailbox: this task was late then, not the engine.
const lateEventsWait = 10 * time.Millisecond

// generationTask owns the ledger and the attempts of one generation.
type generationTask struct {
	start      StartGeneration
	manager    task.Mailbox[Command]
	dispatches task.Mailbox[admission.Dispatch]
	servers    task.Mailbox[backends.ServerLookup]
	recovery   Recovery
	clock      clockwork.Clock
	recorder   events.Recorder
	metrics    *metrics.Set
	logger     *slog.Logger
	// service is what was observed of the service before this request, and
	// observed what this request adds.
	service  Observed
	observed Observed
	reported bool

	ledger   Ledger
	sent     int
	hash     uint64
	source   *Source
	exclude  []model.ServerID
	failures failureCounts
	// retryAt is when the next dispatch is sent; zero if none is planned.
	retryAt time.Time
	// resumes counts how often the current engine stream was resumed.
	resumes int
	// current delivers to the ledger; second is open beside it when the service
	// is eager and current is silent.
	current *attempt
	second  *attempt
	pending *pendingDispatch
	// secondRefused stops further second attempts until the next token.
	secondRefused bool
	timer         clockwork.Timer
	stream        task.Mailbox[backends.StreamEvent]
}

// run serves the generation and sends its last update.
func (g *generationTask) run() {
	ctx, cancel := context.WithDeadline(g.start.Context, g.start.Generation.Deadline)
	defer cancel()
	defer g.report(true)
	g.stream = task.NewMailbox[backends.StreamEvent](streamEventsSize)
	if fault := g.serve(ctx); fault != nil {
		g.sendLast(Update{Fault: fault})
		return
	}
	g.flush()
	g.sendLast(Update{
		Position: g.sent, Hash: g.hash, Finish: g.ledger.Finished(), Version: g.ledger.Version(), Source: g.source,
		PromptTokens: len(g.ledger.promptIDs), Attempts: int(g.ledger.Issued()),
	})
}

// serve runs attempts until the generation is finished or cannot go on.
func (g *generationTask) serve(ctx context.Context) *model.Fault {
	g.timer = g.clock.NewTimer(versionWait)
	defer g.timer.Stop()
	defer g.closeAll()
	fault := g.begin(ctx)
	for fault == nil && g.ledger.Finished() == "" {
		updates, update := g.nextUpdate()
		select {
		case <-ctx.Done():
			return g.endedFault()
		case updates <- update:
			g.markSent(update)
		case result := <-g.pending.results():
			fault = g.assigned(ctx, result)
		case event := <-g.stream.C():
			fault = g.handle(ctx, event)
		case <-g.timer.Chan():
			fault = g.expired(ctx)
		}
	}
	return fault
}

// begin starts the first attempt; a cursor's engine stream comes first.
func (g *generationTask) begin(ctx context.Context) *model.Fault {
	resume := g.start.Generation.Resume
	if resume == nil {
		return g.dispatch(ctx)
	}
	g.ledger = NewLedger(resume.Version, resume.Mark)
	g.sent = resume.Mark.Position
	g.hash = resume.Mark.Hash
	if g.sent >= g.start.Generation.Body.MaxTokens {
		g.ledger.Finish(finishLength)
		return nil
	}
	if g.joinStream(ctx, resume) {
		return nil
	}
	g.note(eventcode.ResumedByCursor, nil, "the caller reconnected; the engine's stream is out of reach and the answer is generated again")
	return g.dispatch(ctx)
}

// handle applies an event of an open attempt and drops all others.
func (g *generationTask) handle(ctx context.Context, event backends.StreamEvent) *model.Fault {
	from := g.attemptOf(event.Attempt)
	if from == nil {
		return nil
	}
	if event.Err != nil {
		return g.lost(ctx, from, event.Err)
	}
	now := g.clock.Now()
	rearm := from.note(event, now, &g.observed)
	delivers := len(event.Tokens) > 0 || event.Finish != ""
	if from == g.second && !delivers {
		return nil
	}
	if from == g.second {
		g.promote()
		event.PromptIDs = from.promptIDs
	} else if delivers {
		g.dropSecond()
		g.secondRefused = false
	}
	if delivers {
		g.failures.delivered = true
		g.failures.refusals = 0
	}
	g.ledger.Accept(from.assignment.Version, event)
	if g.source != from.source {
		g.source = from.source
		g.resumes = 0
	}
	if g.ledger.Diverged() {
		g.note(eventcode.ResumeDiverged, from, "the repeated tokens differ from those delivered")
		return divergedFault()
	}
	if rearm {
		g.arm(now)
		g.report(from.tokens >= reportTokens)
	}
	return nil
}

// report tells the manager once what was observed. It does not wait: a report
// that finds the mailbox full is dropped, as others follow.
func (g *generationTask) report(due bool) {
	if g.reported || !due {
		return
	}
	g.reported = true
	_ = g.manager.TrySend(speedObserved{service: g.start.Generation.Service, observed: g.observed})
}

func (g *generationTask) attemptOf(number backends.Attempt) *attempt {
	switch {
	case g.current != nil && g.current.number == number:
		return g.current
	case g.second != nil && g.second.number == number:
		return g.second
	default:
		return nil
	}
}

// expired looks at the silence of the open attempts.
func (g *generationTask) expired(ctx context.Context) *model.Fault {
	now := g.clock.Now()
	if g.stream.Len() > 0 {
		g.timer.Reset(lateEventsWait)
		return nil
	}
	if !g.retryAt.IsZero() && !now.Before(g.retryAt) {
		g.retryAt = time.Time{}
		return g.dispatch(ctx)
	}
	if g.current == nil && g.pending != nil && !g.pending.expires.IsZero() && !now.Before(g.pending.expires) {
		g.note(eventcode.VersionGone, nil, "no server with the version was free in time")
		return versionGone(g.ledger.Version())
	}
	if second := g.second; second != nil && now.Sub(second.progress) >= g.limits(second).GiveUp {
		if fault := g.lost(ctx, second, g.silent(second, now)); fault != nil {
			return fault
		}
	}
	fault := g.judgeCurrent(ctx, now)
	g.arm(now)
	return fault
}

func (g *generationTask) judgeCurrent(ctx context.Context, now time.Time) *model.Fault {
	current := g.current
	if current == nil {
		return nil
	}
	switch decideSilence(now.Sub(current.progress), g.limits(current), g.eager(), g.secondOpen()) {
	case SilenceGiveUp:
		return g.lost(ctx, current, g.silent(current, now))
	case SilenceStartSecond:
		g.note(eventcode.SecondAttempt, current, "the attempt is silent")
		g.countRetry("eager")
		return g.dispatch(ctx)
	}
	return nil
}

// eager reports whether a second attempt may be started. A joined stream lacks
// the tokens that an exact continuation needs.
func (g *generationTask) eager() bool {
	return g.start.Generation.Eager && g.recovery == RecoveryContinue && !g.ledger.Joined()
}

func (g *generationTask) secondOpen() bool {
	return g.second != nil || g.pending != nil || g.secondRefused || g.failures.ran >= maxAttempts
}

// silent tells the server task about the silent connection, so that its
// transport is not used again.
func (g *generationTask) silent(a *attempt, now time.Time) *backends.StreamError {
	generation := a.transport
	if generation == 0 {
		generation = a.assignment.Generation
	}
	if a.tokens == 0 && !a.resumed {
		g.observed.addFirstToken(now.Sub(a.started), a.prompt)
	}
	_ = a.assignment.Commands.TrySend(backends.ReportSilence{Generation: generation})
	return &backends.StreamError{
		Kind: backends.FailureSilent, Message: "no token for " + now.Sub(a.progress).Round(time.Millisecond).String(),
	}
}

func (g *generationTask) limits(a *attempt) Limits { return a.limits(g.service, g.observed) }

// arm sets the timer to the next time at which something may have expired.
func (g *generationTask) arm(now time.Time) {
	next := now.Add(versionWait)
	if g.current != nil {
		next = nextCheck(g.current.progress, g.limits(g.current), g.eager(), g.secondOpen())
	} else if g.pending != nil && !g.pending.expires.IsZero() {
		next = g.pending.expires
	} else if !g.retryAt.IsZero() {
		next = g.retryAt
	}
	if g.second != nil {
		second := g.second.progress.Add(g.limits(g.second).GiveUp)
		next = minTime(next, second)
	}
	g.timer.Reset(max(next.Sub(now), time.Millisecond))
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// nextUpdate returns the channel and the update for tokens not yet sent; the
// channel is nil when there are none, so that a select skips it.
func (g *generationTask) nextUpdate() (chan<- Update, Update) {
	tokens := g.ledger.Since(g.sent)
	if len(tokens) == 0 {
		return nil, Update{}
	}
	if len(tokens) > maxUpdateTokens {
		tokens = tokens[:maxUpdateTokens]
	}
	hash := g.hash
	for _, token := range tokens {
		hash = enginewire.RollHash(hash, token.ID)
	}
	return g.start.Updates, Update{
		Position: g.sent, Tokens: tokens, Hash: hash, Version: g.ledger.Version(), Source: g.source,
	}
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

// endedFault explains why the request's context ended.
func (g *generationTask) endedFault() *model.Fault {
	executed := model.ExecutedNo
	if g.ledger.Issued() > 0 || g.start.Generation.Resume != nil {
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
