package forward

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/memory"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/model"
)

// maxResponseBytes is the largest response that is buffered until it is complete.
const maxResponseBytes = 8 << 20

// maxDiscardedBytes is the length of a body that is not needed from which on its connection is
// closed instead of read.
const maxDiscardedBytes = 64 << 10

// servePlain serves a request whose response is buffered until it is complete, so
// that the caller never receives a part of one that breaks off.
func (r *requestTask) servePlain(ctx context.Context) {
	var fallback *response
	defer func() { fallback.free() }()
	for {
		next, err := r.nextAttempt(func() (plannedAttempt, error) { return r.acquirePlain(ctx, time.Time{}) })
		if err != nil {
			r.answerContextEnd(ctx, r.counts.runs > 0)
			return
		}
		assignment := next.assignment
		if assignment.Server == nil {
			if fallback != nil {
				r.deliver(fallback)
				return
			}
			r.answerNoServer(assignment)
			return
		}
		running := r.start(ctx, assignment, next.attempt)
		got, outcome, cause := r.collectResponse(ctx, running)
		if ctx.Err() != nil && got == nil {
			r.finish(running, nil, dispatch.OutcomeNone, context.Cause(ctx), 0)
			r.answerContextEnd(ctx, true)
			return
		}
		r.finish(running, got, outcome, cause, r.Clock.Since(running.started))
		if errors.Is(cause, memory.ErrNoRoom) && outcome == dispatch.OutcomeNone {
			r.failMayHaveRun(model.KindUnavailable, model.ReasonMemoryFull, "this host has no memory for the answer; the request has run", "ask the service whether the request took effect, or send it again if it may be repeated")
			return
		}
		if r.reserved != nil {
			r.logRetry(running, outcome, cause, "")
			continue
		}
		if outcome == dispatch.OutcomeRejected && r.isPlainService() {
			r.refusals[assignment.Server.ID]++
		} else {
			r.exclude[assignment.Server.ID] = true
		}
		if outcome == dispatch.OutcomeFailed {
			fallback.free()
			fallback = got
		}
		switch afterPlain(r.request.Route, r.isPlainService(), outcome, r.counts) {
		case deliverResponse:
			r.deliver(got)
			return
		case retry:
			r.logRetry(running, outcome, cause, "")
		case refuseAsNotRun:
			r.refuseNotRun(model.ReasonBackendFailed, "all servers that were tried stated that they did not run the request", "wait and send the request again")
			return
		case failAsUnknown:
			r.failMayHaveRun(model.KindUnavailable, model.ReasonOutcomeUnknown, "the server broke off; the request may have run", "ask the service whether the request took effect")
			return
		}
	}
}

// acquirePlain gets a server for the next attempt. A reservation states until when it
// waits and takes no server that failed recently; otherwise waitUntil is zero, and the
// request waits as long as the route allows.
func (r *requestTask) acquirePlain(ctx context.Context, waitUntil time.Time) (plannedAttempt, error) {
	acquire := dispatch.Acquire{
		NotRepeatable: r.request.Route.Kind == routing.NonIdempotent, WaitUntil: waitUntil, NotPaused: !waitUntil.IsZero(),
	}
	if r.isPlainService() {
		acquire.Plain = &dispatch.PlainCall{
			Objective: r.request.Arrived.Add(r.request.Route.LatencyObjective), Deadline: r.request.Deadline,
			LatencyObjective: r.request.Route.LatencyObjective, Limit: r.request.CallerLimit,
			Refusals: maps.Clone(r.refusals), MayHaveRun: r.counts.runs > 0,
		}
		if waitUntil.IsZero() && r.counts.sent() {
			acquire.WaitUntil = r.Clock.Now().Add(maxOfferedWait)
		}
	}
	assignment, err := r.acquire(ctx, acquire)
	return plannedAttempt{assignment: assignment, attempt: &exchange.Attempt{Rank: exchange.Unranked}}, err
}

// isPlainService reports whether the servers of the request's service are no engines.
func (r *requestTask) isPlainService() bool { return r.request.Service.Engine == nil }

// collectResponse reads the complete response. An attempt that may be followed by
// another one is abandoned after attemptTimeoutShare of the latency objective if
// another server is available.
func (r *requestTask) collectResponse(ctx context.Context, running *runningAttempt) (collected *response, _ dispatch.Outcome, _ error) {
	var limit <-chan time.Time
	if r.request.Route.Kind == routing.Idempotent && r.counts.runs+1 < r.request.Route.MaxAttempts {
		limit = r.Clock.After(r.attemptTimeout())
	}
	waited := false
	var got *response
	defer func() {
		if collected == nil {
			got.free()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil, dispatch.OutcomeNone, context.Cause(ctx)
		case <-limit:
			cause := Error.New("no answer within the share of the latency objective")
			if r.reserve(ctx, running, func() (plannedAttempt, error) { return r.acquirePlain(ctx, r.Clock.Now()) }) {
				return nil, dispatch.OutcomeSilent, cause
			}
			if !waited {
				waited = true
				r.logSilenceWait(running, cause)
			}
			limit = r.Clock.After(r.attemptTimeout())
		case event := <-running.events:
			switch {
			case event.Failed != nil:
				return nil, outcomeOfFailure(event.Failed), event.Failed.Err
			case event.Head != nil:
				got = r.newResponse(event.Head, !neverDelivered(outcomeOfHead(event.Head)))
				r.noteHead(ctx, running, event.Head)
				if got.outcome == dispatch.OutcomeBroken {
					return got, got.outcome, errUnusable
				}
			case event.End:
				return got, got.outcome, nil
			default:
				over, err := got.add(event.Data)
				switch {
				case over && err == nil:
					return got, got.outcome, nil
				case errors.Is(err, memory.ErrNoRoom) && got.outcome == dispatch.OutcomeSuccess:
					// The memory of this host is no evidence about the server.
					return nil, dispatch.OutcomeNone, err
				case err != nil:
					return nil, dispatch.OutcomeBroken, err
				}
			}
		}
	}
}

// attemptTimeout returns the time without an answer after which another server is tried.
func (r *requestTask) attemptTimeout() time.Duration {
	return time.Duration(attemptTimeoutShare * float64(r.request.Route.LatencyObjective))
}

func (r *requestTask) deliver(got *response) {
	r.summary.FirstEvent = r.Clock.Since(r.request.Arrived)
	r.summary.Status = got.head.Status
	if r.caller.Answer(got.head.Status, got.head.Header, got.takeBody()) != nil {
		r.summary.CallerLeft = true
	}
}
