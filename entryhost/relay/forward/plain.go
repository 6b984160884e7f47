package forward

import (
	"context"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/model"
)

// maxAnswerBytes bounds an answer that is held until it is complete.
const maxAnswerBytes = 8 << 20

// answer is a whole answer of a server.
type answer struct {
	head *exchange.ResponseHead
	body []byte
}

// plain serves a request whose answer is delivered as a whole, so that an
// answer that breaks off never reaches the caller.
func (r *run) plain(ctx context.Context) {
	var fallback *answer
	for {
		assignment, err := r.acquire(ctx, dispatch.Acquire{Once: r.request.Route.Kind == routing.NonIdempotent})
		if err != nil {
			r.endedEarly(ctx, r.counts.runs > 0)
			return
		}
		if assignment.Server == nil {
			if fallback != nil {
				r.deliver(fallback)
				return
			}
			r.refused(assignment.Refusal)
			return
		}
		l := r.start(ctx, assignment, &exchange.Attempt{Rank: exchange.Unranked})
		got, outcome, cause := r.collect(ctx, l)
		if ctx.Err() != nil && got == nil {
			r.finish(l, nil, dispatch.OutcomeNone, context.Cause(ctx), 0)
			r.endedEarly(ctx, true)
			return
		}
		r.finish(l, got, outcome, cause, r.Clock.Since(l.started))
		r.exclude[assignment.Server.ID] = true
		if outcome == dispatch.OutcomeFailed {
			fallback = got
		}
		switch afterPlain(r.request.Route, outcome, r.counts) {
		case deliver:
			r.deliver(got)
			return
		case again:
			r.logAgain(l, outcome, cause, "")
		case refuse:
			r.refuseWith(model.ReasonBackendFailed, "all servers that were tried stated that they did not run the request", "wait and send the request again")
			return
		case fail:
			r.failWith(model.KindUnavailable, model.ReasonOutcomeUnknown, "the server broke off; the request may have run", "ask the service whether the request took effect")
			return
		}
	}
}

// collect gathers the answer. An attempt that may be followed by another one is
// given up when it takes too long.
func (r *run) collect(ctx context.Context, l *live) (*answer, dispatch.Outcome, error) {
	var limit <-chan time.Time
	if r.request.Route.Kind == routing.Idempotent && r.counts.runs+1 < r.request.Route.MaxAttempts {
		limit = r.Clock.After(time.Duration(hedgeShare * float64(r.request.Route.LatencyObjective)))
	}
	got := &answer{}
	for {
		select {
		case <-ctx.Done():
			return nil, dispatch.OutcomeNone, context.Cause(ctx)
		case <-limit:
			return nil, dispatch.OutcomeSilent, Error.New("no answer within the share of the latency objective")
		case event := <-l.events:
			switch {
			case event.Failed != nil:
				return nil, outcomeOfFailure(event.Failed), event.Failed.Err
			case event.Head != nil:
				got.head = event.Head
			case event.End:
				outcome := outcomeOfHead(got.head)
				return got, outcome, nil
			default:
				got.body = append(got.body, event.Data...)
				if len(got.body) > maxAnswerBytes {
					return nil, dispatch.OutcomeBroken, Error.New("the answer is longer than %d bytes", maxAnswerBytes)
				}
			}
		}
	}
}

func (r *run) deliver(got *answer) {
	r.summary.FirstEvent = r.Clock.Since(r.request.Arrived)
	r.summary.Status = got.head.Status
	if r.caller.Answer(got.head.Status, got.head.Header, got.body) != nil {
		r.summary.CallerLeft = true
	}
}
