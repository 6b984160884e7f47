package forward

import (
	"context"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// streamState is what the task of a stream keeps over its attempts.
type streamState struct {
	ledger *ledger
	// begun tells that the head was sent to the caller.
	begun  bool
	copies copies
	// prefer is the id of an engine that holds the request's prompt, or "".
	prefer     string
	lastEvent  time.Time
	longestGap time.Duration
}

// stream serves a request that is answered by a stream of events. After a loss
// it goes on at another server from the last event that the caller has.
func (r *run) stream(ctx context.Context) {
	entries, err := newLedger(r.Codec, r.request.LastEvent)
	if err != nil {
		r.give(model.BadField("Last-Event-Id", err.Error()))
		return
	}
	s := &streamState{ledger: entries, prefer: r.locate(ctx), copies: newCopies()}
	for {
		assignment, attempt, err := r.streamAttempt(ctx, s)
		if err != nil {
			r.streamEnded(ctx, s)
			return
		}
		if assignment.Server == nil {
			if s.begun {
				r.summary.Broken = true
				r.summary.Fault = model.NotRun(model.KindUnavailable, model.ReasonBackendFailed, string(assignment.Refusal), "")
				return
			}
			r.refused(assignment.Refusal)
			return
		}
		l := r.start(ctx, assignment, attempt)
		got, outcome, cause := r.pass(ctx, l, s)
		if outcome == dispatch.OutcomeSuccess {
			r.finish(l, got, outcome, nil, l.firstEvent)
			r.dropCopy(s)
			return
		}
		if ctx.Err() != nil {
			r.finish(l, nil, dispatch.OutcomeNone, context.Cause(ctx), 0)
			r.dropCopy(s)
			r.streamEnded(ctx, s)
			return
		}
		r.finish(l, got, outcome, cause, 0)
		if !r.prepareNext(ctx, l, s, got, outcome, cause) {
			return
		}
	}
}

// streamAttempt gets a server for the next attempt: the holder of the copy of
// the run's cache if there is one, else the best server.
func (r *run) streamAttempt(ctx context.Context, s *streamState) (dispatch.Assignment, *exchange.Attempt, error) {
	order := dispatch.Acquire{
		Backup:   r.request.Service.Engine != nil && r.request.Service.Engine.CacheBackup && r.request.Route.Resumable,
		CopyLost: s.copies.lost,
	}
	attempt := &exchange.Attempt{LastEvent: s.ledger.lastEvent(), Rank: r.rank()}
	for spare := s.copies.takeSpare(); spare.Holder != nil; spare = s.copies.takeSpare() {
		order.Prefer, order.OnlyPreferred = spare.Holder.ID, true
		assignment, err := r.acquire(ctx, order)
		if err != nil || assignment.Server != nil {
			attempt.CacheCopy = spare.Copy
			return r.withBackup(assignment, attempt, s), attempt, err
		}
		order.OnlyPreferred = false
	}
	order.Prefer, s.prefer = s.prefer, ""
	assignment, err := r.acquire(ctx, order)
	return r.withBackup(assignment, attempt, s), attempt, err
}

// locate returns the id of an engine that holds the prompt of a stream that the
// caller resumes after the loss of an entry host, or "". Such a prompt was read
// a moment ago, and reading it again takes about a second of an engine's time.
func (r *run) locate(ctx context.Context) string {
	if r.request.LastEvent == "" || r.request.Prompt == "" || r.request.Service.Engine == nil {
		return ""
	}
	before := r.Clock.Now()
	holder, err := task.Call(ctx, r.Dispatcher, func(reply task.Reply[string]) dispatch.Message {
		return dispatch.Locate{Service: r.request.Service.Name, Prompt: r.request.Prompt, Reply: reply}
	})
	r.Logger.Info("prompt of a resumed stream looked for", eventcode.PromptLocated.Attr(), "request", r.request.ID, "server", holder,
		"took_ms", r.Clock.Since(before).Milliseconds(), "error", err)
	return holder
}

// rank puts streams that lost an engine first, since their callers wait already;
// others have the rank of their organisation or route.
func (r *run) rank() int {
	if r.counts.sent() {
		return 0
	}
	return r.request.Rank
}

func (r *run) withBackup(assignment dispatch.Assignment, attempt *exchange.Attempt, s *streamState) dispatch.Assignment {
	if assignment.Backup != nil {
		attempt.CacheBackup = assignment.Backup.Address
	}
	r.assigned(s, assignment)
	return assignment
}

// prepareNext decides what follows a lost attempt and reports whether another
// attempt follows. Otherwise the caller has its final answer.
func (r *run) prepareNext(ctx context.Context, l *live, s *streamState, got *answer, outcome dispatch.Outcome, cause error) bool {
	s.ledger.restart()
	if l.attempt.CacheCopy.Name != "" && outcome == dispatch.OutcomeRejected {
		// The copy is gone, which says nothing about the server.
		r.counts.rejections--
	} else {
		r.exclude[l.note.Server] = true
	}
	s.copies.ended(l.note.Events > 0)
	next := afterStream(r.request.Route, outcome, r.counts, s.begun)
	if next == again && outcome == dispatch.OutcomeBroken && r.stopped(ctx) {
		next = fail
	}
	switch next {
	case again:
		r.logAgain(l, outcome, cause, s.ledger.lastEvent())
		return true
	case deliver:
		r.deliver(got)
	case refuse:
		r.refuseWith(model.ReasonBackendFailed, "all engines that were tried stated that they did not run the request", "wait and send the request again")
	case fail:
		r.streamFailed(s)
	}
	return false
}

// streamFailed ends a stream that cannot go on. One that has begun breaks off,
// so that it does not look complete.
func (r *run) streamFailed(s *streamState) {
	if s.begun {
		r.summary.Broken = true
		return
	}
	r.failWith(model.KindUnavailable, model.ReasonBackendFailed, "the engines failed and no attempt is left", "send the request again")
}

func (r *run) streamEnded(ctx context.Context, s *streamState) {
	if s.begun {
		r.summary.Broken = true
		r.summary.CallerLeft = context.Cause(ctx) != errDeadline
		return
	}
	r.endedEarly(ctx, r.counts.runs > 0 || len(r.summary.Attempts) > 0)
}

// pass passes the events of one attempt on until the stream is complete or the
// attempt is lost. A whole answer that is no stream is returned.
func (r *run) pass(ctx context.Context, l *live, s *streamState) (*answer, dispatch.Outcome, error) {
	monitor := newMonitor(r, l, s)
	defer monitor.stop()
	var got *answer
	for {
		select {
		case <-ctx.Done():
			return nil, dispatch.OutcomeNone, context.Cause(ctx)
		case event := <-l.events:
			outcome, done, err := r.passEvent(event, l, s, &got)
			if done {
				return got, outcome, err
			}
			if event.Data != nil {
				monitor.heard()
			}
		case holder := <-s.copies.lost:
			r.copyLost(s, holder)
		case <-s.copies.due:
			r.orderCopy(ctx, l, s)
		case made := <-s.copies.made:
			r.copyMade(l, s, made)
		case <-monitor.timer.Chan():
			// Events that arrived while the process was paused go first.
			if len(l.events) > 0 {
				monitor.again(0)
				continue
			}
			if err := monitor.expired(ctx); err != nil {
				return nil, dispatch.OutcomeSilent, err
			}
		case verdict := <-monitor.verdicts:
			if len(l.events) > 0 {
				monitor.again(0)
				continue
			}
			if err := monitor.judge(verdict); err != nil {
				return nil, dispatch.OutcomeSilent, err
			}
		}
	}
}

// passEvent handles one event of the exchange.
func (r *run) passEvent(event exchange.Event, l *live, s *streamState, got **answer) (dispatch.Outcome, bool, error) {
	switch {
	case event.Failed != nil:
		return outcomeOfFailure(event.Failed), true, event.Failed.Err
	case event.Head != nil:
		*got = &answer{head: event.Head}
		return 0, false, nil
	case event.End:
		return r.streamEnd(s, *got)
	}
	if outcome := outcomeOfHead((*got).head); outcome != dispatch.OutcomeSuccess || (*got).head.Status >= 300 {
		(*got).body = append((*got).body, event.Data...)
		return 0, false, nil
	}
	events, broken := s.ledger.take(event.Data)
	for _, data := range events {
		if err := r.passOn(l, s, (*got).head, data); err != nil {
			r.summary.CallerLeft = true
			return dispatch.OutcomeNone, true, err
		}
	}
	if broken != nil {
		return dispatch.OutcomeBroken, true, broken
	}
	return 0, false, nil
}

// streamEnd judges the end of an exchange.
func (r *run) streamEnd(s *streamState, got *answer) (dispatch.Outcome, bool, error) {
	outcome := outcomeOfHead(got.head)
	if outcome == dispatch.OutcomeSuccess && got.head.Status < 300 && !s.ledger.whole() {
		return dispatch.OutcomeBroken, true, Error.New("the stream ended within an event")
	}
	if outcome == dispatch.OutcomeSuccess && got.head.Status >= 300 {
		return dispatch.OutcomeFailed, true, nil
	}
	return outcome, true, nil
}

// passOn sends one event to the caller, after the head of the first attempt.
func (r *run) passOn(l *live, s *streamState, head *exchange.ResponseHead, data []byte) error {
	now := r.Clock.Now()
	if !s.begun {
		s.begun = true
		r.summary.Status = head.Status
		r.summary.FirstEvent = now.Sub(r.request.Arrived)
		if err := r.caller.Begin(head.Status, head.Header); err != nil {
			return err
		}
	} else if gap := now.Sub(s.lastEvent); gap > r.summary.LongestGap {
		r.summary.LongestGap = gap
	}
	if l.note.Events > 0 {
		s.longestGap = max(s.longestGap, now.Sub(s.lastEvent))
	}
	if l.note.Events == 0 {
		l.firstEvent = now.Sub(l.started)
		// A full mailbox costs only a less exact load.
		if r.Dispatcher.TrySend(dispatch.Started{Lease: l.assignment.Lease}) != nil {
			r.Metrics.GetOrCreateCounter("lentilpoint_relay_starts_dropped_total").Inc()
		}
	}
	s.lastEvent = now
	l.note.Events++
	r.summary.Events++
	return r.caller.Event(data)
}

// check asks the dispatcher whether the attempt's server is alive.
func (r *run) check(ctx context.Context, server string, verdicts chan dispatch.Verdict) error {
	return r.Dispatcher.Send(ctx, dispatch.Check{Server: server, Reply: task.Reply[dispatch.Verdict](verdicts)})
}
