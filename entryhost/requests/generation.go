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

// streamMailboxSize bounds the stream events that wait for a generation task. A
// full mailbox makes the stream task wait, which passes backpressure on to the
// engine.
const streamMailboxSize = 64

// maxUpdateTokens bounds the tokens in one update to the caller.
const maxUpdateTokens = 64

// latencyReportTokens is the number of tokens after which a generation sends
// its measured latencies to the manager.
const latencyReportTokens = 32

// finishLength is the finish reason of a generation that has reached the
// requested number of tokens.
const finishLength = "length"

// lateEventsDelay is the wait before silence is checked again when events are
// queued in the mailbox: then this task is late, not the engine.
const lateEventsDelay = 10 * time.Millisecond

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
	// serviceLatency was measured by earlier generations of the service,
	// ownLatency by this one.
	serviceLatency  LatencyStats
	ownLatency      LatencyStats
	latencyReported bool

	ledger Ledger
	// sentPosition and sentHash are the position and rolling hash of the tokens
	// sent to the caller.
	sentPosition int
	sentHash     uint64
	source       *StreamSource
	// failedServers are not assigned to this request again.
	failedServers []model.ServerID
	failures      failureCounts
	// retryAt is the time of the delayed dispatch; zero without one.
	retryAt time.Time
	// streamResumes counts how often the current engine stream was resumed.
	streamResumes int
	// The ledger accepts the tokens of current. second runs beside it when the
	// service is eager and current is silent.
	current *attempt
	second  *attempt
	pending *pendingDispatch
	// secondRefused is set when the dispatcher refused a second attempt. It blocks
	// others until the next token.
	secondRefused bool
	timer         clockwork.Timer
	streamEvents  task.Mailbox[backends.StreamEvent]
}

// run executes the generation and sends its last update.
func (g *generationTask) run() {
	ctx, cancel := context.WithDeadline(g.start.Context, g.start.Generation.Deadline)
	defer cancel()
	defer g.reportLatency(true)
	g.streamEvents = task.NewMailbox[backends.StreamEvent](streamMailboxSize)
	if fault := g.runAttempts(ctx); fault != nil {
		g.sendLast(Update{Fault: fault})
		return
	}
	g.flush()
	g.sendLast(Update{
		Position: g.sentPosition, Hash: g.sentHash, FinishReason: g.ledger.FinishReason(), Version: g.ledger.Version(), Source: g.source,
		PromptTokens: len(g.ledger.promptIDs), Attempts: int(g.ledger.IssuedAttempts()),
	})
}

// runAttempts processes events until the generation is finished or has failed.
func (g *generationTask) runAttempts(ctx context.Context) *model.Fault {
	g.timer = g.clock.NewTimer(versionTimeout)
	defer g.timer.Stop()
	defer g.closeAttempts()
	fault := g.startFirstAttempt(ctx)
	for fault == nil && g.ledger.FinishReason() == "" {
		updates, update := g.nextUpdate()
		select {
		case <-ctx.Done():
			return g.contextFault()
		case updates <- update:
			g.markSent(update)
		case result := <-g.pending.results():
			fault = g.handleAssignment(ctx, result)
		case event := <-g.streamEvents.C():
			fault = g.handleStreamEvent(ctx, event)
		case <-g.timer.Chan():
			fault = g.handleTimer(ctx)
		}
	}
	return fault
}

// startFirstAttempt starts the first attempt. With a cursor it first tries to
// resume the engine stream that the cursor names.
func (g *generationTask) startFirstAttempt(ctx context.Context) *model.Fault {
	resume := g.start.Generation.Resume
	if resume == nil {
		return g.dispatch(ctx)
	}
	g.ledger = NewLedger(resume.Version, resume.Mark)
	g.sentPosition = resume.Mark.Position
	g.sentHash = resume.Mark.Hash
	if g.sentPosition >= g.start.Generation.Body.MaxTokens {
		g.ledger.Finish(finishLength)
		return nil
	}
	if g.joinStream(ctx, resume) {
		return nil
	}
	g.recordEvent(eventcode.ResumedByCursor, nil, "the caller reconnected; the engine's stream is out of reach and the answer is generated again")
	return g.dispatch(ctx)
}

// handleStreamEvent applies an event of an open attempt and drops all others.
func (g *generationTask) handleStreamEvent(ctx context.Context, event backends.StreamEvent) *model.Fault {
	from := g.openAttempt(event.Attempt)
	if from == nil {
		return nil
	}
	if event.Err != nil {
		return g.handleLoss(ctx, from, event.Err)
	}
	now := g.clock.Now()
	resetTimer := from.recordEvent(event, now, &g.ownLatency)
	delivers := len(event.Tokens) > 0 || event.Finish != ""
	if from == g.second && !delivers {
		return nil
	}
	if from == g.second {
		g.promoteSecond()
		event.PromptIDs = from.promptIDs
	} else if delivers {
		g.cancelSecond()
		g.secondRefused = false
	}
	if delivers {
		g.failures.tokensDelivered = true
		g.failures.refusals = 0
	}
	g.ledger.Accept(from.assignment.Version, event)
	if g.source != from.source {
		g.source = from.source
		g.streamResumes = 0
	}
	if g.ledger.Diverged() {
		g.recordEvent(eventcode.ResumeDiverged, from, "the repeated tokens differ from those delivered")
		return divergedFault()
	}
	if resetTimer {
		g.setTimer(now)
		g.reportLatency(from.tokens >= latencyReportTokens)
	}
	return nil
}

// reportLatency sends the measured latencies to the manager once. It does not
// block: if the mailbox is full the message is dropped, as other generations
// send theirs.
func (g *generationTask) reportLatency(due bool) {
	if g.latencyReported || !due {
		return
	}
	g.latencyReported = true
	_ = g.manager.TrySend(latencyObserved{service: g.start.Generation.Service, latency: g.ownLatency})
}

func (g *generationTask) openAttempt(number backends.Attempt) *attempt {
	switch {
	case g.current != nil && g.current.number == number:
		return g.current
	case g.second != nil && g.second.number == number:
		return g.second
	default:
		return nil
	}
}

// handleTimer starts a delayed dispatch, ends an expired wait for a server, and
// checks the silence of the open attempts.
func (g *generationTask) handleTimer(ctx context.Context) *model.Fault {
	now := g.clock.Now()
	if g.streamEvents.Len() > 0 {
		g.timer.Reset(lateEventsDelay)
		return nil
	}
	if !g.retryAt.IsZero() && !now.Before(g.retryAt) {
		g.retryAt = time.Time{}
		return g.dispatch(ctx)
	}
	if g.current == nil && g.pending != nil && !g.pending.versionDeadline.IsZero() && !now.Before(g.pending.versionDeadline) {
		g.recordEvent(eventcode.VersionGone, nil, "no server with the version was free in time")
		return versionGoneFault(g.ledger.Version())
	}
	if second := g.second; second != nil && now.Sub(second.lastProgress) >= g.silenceLimits(second).GiveUp {
		if fault := g.handleLoss(ctx, second, g.reportSilence(second, now)); fault != nil {
			return fault
		}
	}
	fault := g.checkCurrentSilence(ctx, now)
	g.setTimer(now)
	return fault
}

// checkCurrentSilence ends the current attempt or starts a second one if the
// current one has been silent for too long.
func (g *generationTask) checkCurrentSilence(ctx context.Context, now time.Time) *model.Fault {
	current := g.current
	if current == nil {
		return nil
	}
	switch decideSilence(now.Sub(current.lastProgress), g.silenceLimits(current), g.secondAllowed(), g.secondBlocked()) {
	case SilenceGiveUp:
		return g.handleLoss(ctx, current, g.reportSilence(current, now))
	case SilenceStartSecond:
		g.recordEvent(eventcode.SecondAttempt, current, "the attempt is silent")
		g.countRetry("eager")
		return g.dispatch(ctx)
	}
	return nil
}

// secondAllowed reports whether the request permits a second attempt. A joined
// stream lacks the tokens that an exact continuation needs.
func (g *generationTask) secondAllowed() bool {
	return g.start.Generation.Eager && g.recovery == RecoveryContinue && !g.ledger.Joined()
}

// secondBlocked reports whether no second attempt may be started now.
func (g *generationTask) secondBlocked() bool {
	return g.second != nil || g.pending != nil || g.secondRefused || g.failures.mayHaveRun >= maxAttempts
}

// reportSilence makes the server task replace the transport of a silent attempt
// and returns the failure of the attempt. A silent attempt without a token
// counts as a measured first-token time.
func (g *generationTask) reportSilence(a *attempt, now time.Time) *backends.StreamError {
	generation := a.transportGeneration
	if generation == 0 {
		generation = a.assignment.Generation
	}
	if a.tokens == 0 && !a.resumed {
		g.ownLatency.addFirstToken(now.Sub(a.started), a.promptTokens)
	}
	_ = a.assignment.Commands.TrySend(backends.ReportSilence{Generation: generation})
	return &backends.StreamError{
		Kind: backends.FailureSilent, Message: "no token for " + now.Sub(a.lastProgress).Round(time.Millisecond).String(),
	}
}

func (g *generationTask) silenceLimits(a *attempt) SilenceLimits {
	return a.silenceLimits(g.serviceLatency, g.ownLatency)
}

// setTimer sets the timer to the next deadline or silence check.
func (g *generationTask) setTimer(now time.Time) {
	next := now.Add(versionTimeout)
	if g.current != nil {
		next = nextSilenceCheck(g.current.lastProgress, g.silenceLimits(g.current), g.secondAllowed(), g.secondBlocked())
	} else if g.pending != nil && !g.pending.versionDeadline.IsZero() {
		next = g.pending.versionDeadline
	} else if !g.retryAt.IsZero() {
		next = g.retryAt
	}
	if g.second != nil {
		second := g.second.lastProgress.Add(g.silenceLimits(g.second).GiveUp)
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

// nextUpdate returns an update with unsent tokens and the channel to send it
// on. The channel is nil when there are none, so that a select skips it.
func (g *generationTask) nextUpdate() (chan<- Update, Update) {
	tokens := g.ledger.TokensFrom(g.sentPosition)
	if len(tokens) == 0 {
		return nil, Update{}
	}
	if len(tokens) > maxUpdateTokens {
		tokens = tokens[:maxUpdateTokens]
	}
	hash := g.sentHash
	for _, token := range tokens {
		hash = enginewire.ExtendHash(hash, token.ID)
	}
	return g.start.Updates, Update{
		Position: g.sentPosition, Tokens: tokens, Hash: hash, Version: g.ledger.Version(), Source: g.source,
	}
}

func (g *generationTask) markSent(update Update) {
	g.sentPosition += len(update.Tokens)
	g.sentHash = update.Hash
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

// contextFault returns the fault of a request whose context ended, because the
// deadline passed or the caller disconnected.
func (g *generationTask) contextFault() *model.Fault {
	executed := model.ExecutedNo
	if g.ledger.IssuedAttempts() > 0 || g.start.Generation.Resume != nil {
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
