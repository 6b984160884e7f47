package forward

import (
	"context"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/moves"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// streamState is the state of a stream across its attempts.
type streamState struct {
	events *eventAssembler
	// headSent is set once the head was sent to the caller.
	headSent bool
	// status and contentType are those of the head.
	status      int
	contentType string
	copies      copies
	// promptHolder is the id of an engine whose cache holds the request's
	// prompt, or "".
	promptHolder string
	lastEvent    time.Time
	longestGap   time.Duration
}

// serveStream serves a request that is answered by a stream of events. After the
// loss of an attempt it continues on another server from the last event that the
// caller has.
func (r *requestTask) serveStream(ctx context.Context) {
	events, err := newEventAssembler(r.Codec, r.request.LastEventID, r.claims)
	if err != nil {
		r.sendFault(model.BadField("Last-Event-Id", err.Error()))
		return
	}
	s := &streamState{events: events, promptHolder: r.locate(ctx), copies: newCopies()}
	for {
		next, err := r.nextAttempt(func() (plannedAttempt, error) { return r.acquireAttempt(ctx, s, time.Time{}) })
		if err != nil {
			r.handleStreamContextEnd(ctx, s)
			return
		}
		assignment := next.assignment
		if assignment.Server == nil {
			if s.headSent && r.allowSilentServers() {
				continue
			}
			if s.headSent {
				r.cutStream(model.KindUnavailable, model.ReasonBackendFailed, "the engine was lost and no other was assigned: "+string(assignment.Refusal))
				return
			}
			r.answerNoServer(assignment)
			return
		}
		running := r.start(ctx, assignment, next.attempt)
		got, outcome, cause := r.forwardEvents(ctx, running, s)
		if outcome == dispatch.OutcomeSuccess {
			r.finish(running, got, outcome, nil, running.firstEvent)
			r.dropCopy(s)
			r.endStream(s, got.head)
			return
		}
		if ctx.Err() != nil {
			r.finish(running, nil, dispatch.OutcomeNone, context.Cause(ctx), 0)
			r.dropCopy(s)
			r.handleStreamContextEnd(ctx, s)
			return
		}
		r.finish(running, got, outcome, cause, 0)
		again := r.decideNext(ctx, running, s, got, outcome, cause)
		got.free()
		if !again {
			return
		}
	}
}

// acquireAttempt gets a server for the next attempt: the holder of a copy of the
// run's cache if one is usable, else the best server. A reservation states until when
// it waits and takes no server that failed recently; otherwise waitUntil is zero, and
// the request waits as long as the route allows.
func (r *requestTask) acquireAttempt(ctx context.Context, s *streamState, waitUntil time.Time) (plannedAttempt, error) {
	acquire := dispatch.Acquire{
		Backup:   r.request.Service.Engine != nil && r.request.Service.Engine.CacheBackup && r.request.Route.Resumable,
		CopyLost: s.copies.lost, WaitUntil: waitUntil, NotPaused: !waitUntil.IsZero(),
		Rank: r.request.Rank, Objective: r.request.Route.LatencyObjective, Deadline: r.request.Deadline,
		Begun: s.headSent || r.request.LastEventID != "",
	}
	attempt := &exchange.Attempt{LastEventID: s.events.lastEventID()}
	for held := s.copies.takeResumable(); held.Holder != nil; held = s.copies.takeResumable() {
		acquire.Prefer, acquire.OnlyPreferred = held.Holder.ID, true
		assignment, err := r.acquire(ctx, acquire)
		if err != nil || assignment.Server != nil {
			attempt.CacheCopy = held.Copy
			return plannedAttempt{assignment: r.prepare(assignment, attempt, s), attempt: attempt}, err
		}
		acquire.OnlyPreferred = false
	}
	acquire.Prefer, s.promptHolder = s.promptHolder, ""
	assignment, err := r.acquire(ctx, acquire)
	return plannedAttempt{assignment: r.prepare(assignment, attempt, s), attempt: attempt}, err
}

// reserveStream reserves the attempt that replaces a silent one, as reserve does. The
// copies of the silent attempt's cache serve the new one.
func (r *requestTask) reserveStream(ctx context.Context, running *runningAttempt, s *streamState) bool {
	if afterStream(r.request.Route, dispatch.OutcomeSilent, r.counts.add(dispatch.OutcomeSilent), s.headSent) != retry {
		return false
	}
	before := s.copies
	s.copies.attemptEnded(running.note.Events > 0)
	if r.reserve(ctx, running, func() (plannedAttempt, error) { return r.acquireAttempt(ctx, s, r.Clock.Now()) }) {
		return true
	}
	s.copies = before
	return false
}

// locate returns the id of an engine whose cache holds the prompt of a stream
// that the caller resumes after the loss of an entry host, or "". Such a prompt
// was read recently, and reading it again takes about a second of engine time.
func (r *requestTask) locate(ctx context.Context) string {
	if r.request.LastEventID == "" || r.request.Prompt == "" || r.request.Service.Engine == nil {
		return ""
	}
	before := r.Clock.Now()
	holder, err := task.Call(ctx, r.Dispatcher, func(reply task.Reply[string]) dispatch.Message {
		return dispatch.Locate{Service: r.request.Service.Name, Prompt: r.request.Prompt, Reply: reply}
	})
	r.Logger.Info("searched engines for the prompt of a resumed stream", eventcode.PromptLocated.Attr(), "request", r.request.ID, "server", holder,
		"took_ms", r.Clock.Since(before).Milliseconds(), "error", err)
	return holder
}

// rank returns the rank of an attempt at its engine. Streams that have already reached a
// server precede new ones of their rank, since their callers are already waiting. A
// stream that exceeds the share of its organisation comes last until its caller has
// received events.
func (r *requestTask) rank(assignment dispatch.Assignment, s *streamState) int {
	return r.request.Service.Ranks.EngineRank(r.request.Rank, routing.PrecedenceOf(assignment.Deferred && !s.headSent, r.counts.sent()))
}

// prepare completes the attempt for the assignment.
func (r *requestTask) prepare(assignment dispatch.Assignment, attempt *exchange.Attempt, s *streamState) dispatch.Assignment {
	attempt.Rank = r.rank(assignment, s)
	if assignment.Backup != nil {
		attempt.CacheBackup = assignment.Backup.Address
	}
	r.recordBackup(s, assignment)
	return assignment
}

// decideNext decides what follows a lost attempt and reports whether to make
// another one. If not, the caller has received its final answer.
func (r *requestTask) decideNext(ctx context.Context, running *runningAttempt, s *streamState, got *response, outcome dispatch.Outcome, cause error) bool {
	s.events.discardPartial()
	if r.reserved != nil {
		r.logRetry(running, outcome, cause, s.events.lastEventID())
		return true
	}
	if running.attempt.CacheCopy.Name != "" && outcome == dispatch.OutcomeRejected {
		// The copy is gone, which is no evidence about the server.
		r.counts.rejections--
	} else {
		r.exclude[running.note.Server] = true
	}
	s.copies.attemptEnded(running.note.Events > 0)
	next := afterStream(r.request.Route, outcome, r.counts, s.headSent)
	if next == retry && outcome == dispatch.OutcomeBroken && r.stoppedAfterLoss(ctx) {
		next = failAsStopped
	}
	switch next {
	case retry:
		r.logRetry(running, outcome, cause, s.events.lastEventID())
		return true
	case deliverResponse:
		r.deliver(got)
	case refuseAsNotRun:
		r.refuseNotRun(model.ReasonBackendFailed, "all engines that were tried stated that they did not run the request", "wait and send the request again")
	case failAsStopped:
		r.failStopped(s)
	case failAsUnknown:
		r.failStream(s)
	}
	return false
}

// failStream ends a stream that cannot continue. If the head was sent, the
// stream is cut off so that it does not look complete.
func (r *requestTask) failStream(s *streamState) {
	if s.headSent {
		r.cutStream(model.KindUnavailable, model.ReasonBackendFailed, "the engines failed and no attempt is left")
		return
	}
	r.failMayHaveRun(model.KindUnavailable, model.ReasonBackendFailed, "the engines failed and no attempt is left", "send the request again")
}

// cutStream ends a stream whose head was sent. The fault only explains it in the log:
// the caller sees its connection close.
func (r *requestTask) cutStream(kind model.Kind, reason model.Reason, message string) {
	r.summary.Broken = true
	r.summary.Fault = &model.Fault{Kind: kind, Reason: reason, Executed: model.ExecutedUnknown, Message: message}
}

func (r *requestTask) handleStreamContextEnd(ctx context.Context, s *streamState) {
	switch {
	case s.headSent && context.Cause(ctx) == errStopped:
		r.failStopped(s)
		return
	case s.headSent && context.Cause(ctx) != errDeadline:
		r.summary.Broken, r.summary.CallerLeft = true, true
		return
	case s.headSent:
		r.cutStream(model.KindDeadline, model.ReasonDeadlinePassed, "the stream was not complete before the deadline")
		return
	}
	r.answerContextEnd(ctx, r.counts.runs > 0 || len(r.summary.Attempts) > 0)
}

// forwardEvents sends the events of one attempt to the caller until the stream
// is complete or the attempt is lost. A complete response that is not a stream is
// returned.
func (r *requestTask) forwardEvents(ctx context.Context, running *runningAttempt, s *streamState) (received *response, _ dispatch.Outcome, _ error) {
	monitor := newSilenceMonitor(r, running, s)
	defer monitor.stop()
	var got *response
	defer func() {
		if received == nil {
			got.free()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil, dispatch.OutcomeNone, context.Cause(ctx)
		case event := <-running.events:
			before := running.note.Events
			outcome, done, err := r.handleExchangeEvent(ctx, event, running, s, &got)
			if done {
				return got, outcome, err
			}
			if running.note.Events > before {
				monitor.recordEvent()
			}
		case holder := <-s.copies.lost:
			r.handleCopyLost(s, holder)
		case <-s.copies.due:
			r.requestCopy(ctx, running, s)
		case result := <-s.copies.results:
			r.handleCopyResult(running, s, result)
		case <-monitor.timer.Chan():
			// Events that arrived while the process was paused are handled
			// first.
			if len(running.events) > 0 {
				monitor.resetTimer(0)
				continue
			}
			if err := monitor.handleTimeout(ctx); err != nil && monitor.giveUp(ctx, err) {
				return nil, dispatch.OutcomeSilent, err
			}
		case result := <-monitor.checkResults:
			if len(running.events) > 0 {
				monitor.resetTimer(0)
				continue
			}
			if err := monitor.handleCheckResult(result); err != nil && monitor.giveUp(ctx, err) {
				return nil, dispatch.OutcomeSilent, err
			}
		}
	}
}

// handleExchangeEvent handles one event of the exchange and reports whether the
// attempt has ended.
func (r *requestTask) handleExchangeEvent(ctx context.Context, event exchange.Event, running *runningAttempt, s *streamState, got **response) (dispatch.Outcome, bool, error) {
	switch {
	case event.Failed != nil:
		return outcomeOfFailure(event.Failed), true, event.Failed.Err
	case event.Head != nil:
		*got = r.newResponse(event.Head, needsStreamBody(r.request.Route, outcomeOfHead(event.Head), r.counts, s.headSent))
		r.noteHead(ctx, running, event.Head)
		if (*got).outcome == dispatch.OutcomeBroken {
			return dispatch.OutcomeBroken, true, errUnusable
		}
		return s.checkContinuation(event.Head)
	case event.End:
		return r.streamOutcome(s, *got)
	}
	if (*got).outcome != dispatch.OutcomeSuccess || (*got).head.Status >= 300 {
		over, err := (*got).add(event.Data)
		switch {
		case err != nil:
			return dispatch.OutcomeBroken, true, err
		case over:
			return r.streamOutcome(s, *got)
		}
		return 0, false, nil
	}
	events, progress, broken := s.events.add(event.Data)
	for _, data := range events {
		if err := r.sendEvent(s, (*got).head, data); err != nil {
			r.summary.CallerLeft = true
			return dispatch.OutcomeNone, true, err
		}
	}
	if progress > 0 {
		r.recordProgress(running, s, progress)
	}
	if broken != nil {
		return dispatch.OutcomeBroken, true, broken
	}
	return 0, false, nil
}

// checkContinuation ends an attempt whose response is a success but no continuation of the
// stream that the caller has begun to receive, such as a page or an empty answer. Its bytes
// would be taken for events, and its end for the end of the stream.
func (s *streamState) checkContinuation(head *exchange.ResponseHead) (dispatch.Outcome, bool, error) {
	if !s.headSent || outcomeOfHead(head) != dispatch.OutcomeSuccess || head.Status >= 300 {
		return 0, false, nil
	}
	if contentType := head.Header.Get("Content-Type"); head.Status != s.status || contentType != s.contentType {
		return dispatch.OutcomeFailed, true, Error.New("the response (status %d, %q) does not continue the stream (status %d, %q)", head.Status, contentType, s.status, s.contentType)
	}
	return 0, false, nil
}

// streamOutcome returns the outcome of an exchange that ended.
func (r *requestTask) streamOutcome(s *streamState, got *response) (dispatch.Outcome, bool, error) {
	outcome := got.outcome
	if outcome == dispatch.OutcomeSuccess && got.head.Status < 300 && !s.events.atBoundary() {
		return dispatch.OutcomeBroken, true, Error.New("the stream ended within an event")
	}
	if outcome == dispatch.OutcomeSuccess && got.head.Status >= 300 {
		return dispatch.OutcomeFailed, true, nil
	}
	return outcome, true, nil
}

// sendEvent sends one event to the caller, preceded by the head if it was not
// sent yet.
func (r *requestTask) sendEvent(s *streamState, head *exchange.ResponseHead, data []byte) error {
	if err := r.sendHead(s, head); err != nil {
		return err
	}
	return r.caller.Event(data)
}

// sendHead sends the head of the stream to the caller if it was not sent yet.
func (r *requestTask) sendHead(s *streamState, head *exchange.ResponseHead) error {
	if s.headSent {
		return nil
	}
	s.headSent, s.status, s.contentType = true, head.Status, head.Header.Get("Content-Type")
	r.summary.Status = head.Status
	r.summary.FirstEvent = r.Clock.Since(r.request.Arrived)
	return r.caller.Begin(head.Status, head.Header)
}

// endStream completes a stream. One without events, such as a stream that is resumed
// after its last event, is answered by its head alone.
func (r *requestTask) endStream(s *streamState, head *exchange.ResponseHead) {
	if err := r.sendHead(s, head); err != nil {
		r.summary.CallerLeft = true
	}
}

// recordProgress records that a number of new events of an attempt were sent to the
// caller.
func (r *requestTask) recordProgress(running *runningAttempt, s *streamState, events int) {
	now := r.Clock.Now()
	if r.summary.Events > 0 {
		r.summary.LongestGap = max(r.summary.LongestGap, now.Sub(s.lastEvent))
	}
	if running.note.Events > 0 {
		s.longestGap = max(s.longestGap, now.Sub(s.lastEvent))
	} else {
		running.firstEvent = now.Sub(running.started)
		r.reportAnswerBegun()
		// If the mailbox is full, the dispatcher's load figures are only less
		// exact.
		if r.Dispatcher.TrySend(dispatch.FirstEventSent{Lease: running.assignment.Lease}) != nil {
			r.Metrics.GetOrCreateCounter("lentilpoint_relay_starts_dropped_total").Inc()
		}
	}
	s.lastEvent = now
	before := running.note.Events
	running.note.Events += events
	r.summary.Events += events
	if before > 0 && (before-1)/moves.EventsPerPace < (running.note.Events-1)/moves.EventsPerPace {
		if r.Dispatcher.TrySend(dispatch.EventsSent{Lease: running.assignment.Lease}) != nil {
			r.Metrics.GetOrCreateCounter("lentilpoint_relay_paces_dropped_total").Inc()
		}
	}
}

// check asks the dispatcher whether the attempt's server is alive.
func (r *requestTask) check(ctx context.Context, server string, results chan dispatch.CheckResult) error {
	return r.Dispatcher.Send(ctx, dispatch.Check{Server: server, Reply: task.Reply[dispatch.CheckResult](results)})
}
