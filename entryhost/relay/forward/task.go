package forward

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/suspects"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// eventsSize is the capacity for events of one exchange; the connection waits
// when it is full.
const eventsSize = 32

// Forwarder starts request tasks. It holds no state of its own.
type Forwarder struct {
	Dispatcher task.Mailbox[dispatch.Message]
	Suspects   task.Mailbox[suspects.Message]
	Codec      Codec
	Clock      clockwork.Clock
	Metrics    *metrics.Set
	Logger     *slog.Logger
}

// Run carries the request out in the calling goroutine, which is the request's
// task. The context ends when the caller leaves.
func (f *Forwarder) Run(ctx context.Context, request *Request, caller Caller) Summary {
	ctx, cancel := context.WithTimeoutCause(ctx, request.Deadline.Sub(f.Clock.Now()), errDeadline)
	defer cancel()
	run := &run{Forwarder: f, request: request, caller: caller, exclude: map[string]bool{}, point: rand.Float64()}
	run.fingerprint = suspects.NewFingerprint(request.Organisation, request.Method, request.Host, request.Target, string(request.Body))
	if run.stopped(ctx) {
		run.refuseWith(model.ReasonSuspectRequest, "servers died each time this request ran", "do not send it again; keep its content for the developers of the service")
		return run.summary
	}
	if request.Route.Kind == routing.Streaming {
		run.stream(ctx)
	} else {
		run.plain(ctx)
	}
	return run.summary
}

// errDeadline is the cause of a context that ended at the request's deadline.
var errDeadline = Error.New("the deadline of the request has passed")

// run is the state of one request's task.
type run struct {
	*Forwarder

	request *Request
	caller  Caller
	summary Summary
	counts  tally
	exclude map[string]bool
	// fingerprint is shared by all requests with the same caller and content.
	fingerprint suspects.Fingerprint
	// point is the place of the request in the split of a version move.
	point float64
}

// live is a running attempt.
type live struct {
	assignment dispatch.Assignment
	attempt    *exchange.Attempt
	events     <-chan exchange.Event
	// end closes the connection if the answer is not complete.
	end     context.CancelFunc
	started time.Time
	// firstEvent is the time from the start to the first event of a stream.
	firstEvent time.Duration
	note       AttemptNote
}

// start sends the attempt to the assigned server.
func (r *run) start(ctx context.Context, assignment dispatch.Assignment, attempt *exchange.Attempt) *live {
	now := r.Clock.Now()
	attempt.RequestID = r.request.ID
	attempt.Instance = assignment.Server.ID
	attempt.Organisation = r.request.Organisation
	attempt.Remaining = r.request.Deadline.Sub(now)
	attempt.Method, attempt.Target, attempt.Host = r.request.Method, r.request.Target, r.request.Host
	attempt.Header, attempt.Body = r.request.Header, r.request.Body
	// The exchange must end with the request also when the caller has left.
	ctx, end := context.WithCancel(ctx)
	events := make(chan exchange.Event, eventsSize)
	started := &live{
		assignment: assignment, attempt: attempt, events: events, end: end, started: now,
		note: AttemptNote{
			Server: assignment.Server.ID, DataCentre: assignment.Server.DataCentre, Reused: assignment.Reused,
			FromCopy: attempt.CacheCopy.Name != "",
		},
	}
	if err := assignment.Connection.Run(exchange.Exchange{Context: ctx, Attempt: attempt, Events: events}); err != nil {
		events <- exchange.Event{Failed: &exchange.Failure{Phase: exchange.Unsent, Err: err}}
	}
	return started
}

// finish ends the attempt and tells the dispatcher its outcome.
func (r *run) finish(l *live, got *answer, outcome dispatch.Outcome, cause error, took time.Duration) {
	l.end()
	l.note.Outcome = outcome.String()
	l.note.TookMS = r.Clock.Since(l.started).Milliseconds()
	if cause != nil {
		l.note.Cause = cause.Error()
	}
	r.summary.Attempts = append(r.summary.Attempts, l.note)
	if outcome != dispatch.OutcomeNone {
		r.counts = r.counts.add(outcome)
	}
	r.reportSuspect(l, outcome)
	// The dispatcher always drains its mailbox; waiting keeps its counts right.
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	release := dispatch.Release{Lease: l.assignment.Lease, Outcome: outcome, Took: took}
	if got != nil {
		release.Instance = got.head.Instance
	}
	if err := r.Dispatcher.Send(ctx, release); err != nil {
		r.Logger.Error("outcome of an attempt is lost", eventcode.OutcomeNotDelivered.Attr(), "request", r.request.ID, "server", l.note.Server, "error", err)
	}
}

// releaseTimeout bounds the wait for room in the dispatcher's mailbox.
const releaseTimeout = 2 * time.Second

// acquire asks the dispatcher for a server.
func (r *run) acquire(ctx context.Context, order dispatch.Acquire) (dispatch.Assignment, error) {
	order.Service = r.request.Service.Name
	order.Route = r.request.Route.Name
	order.Exclude = cloneSet(r.exclude)
	order.Repeat = r.counts.sent()
	order.Point = r.point
	order.Until = r.Clock.Now().Add(r.holdTime())
	return task.Call(ctx, r.Dispatcher, func(reply task.Reply[dispatch.Assignment]) dispatch.Message {
		order.Reply = reply
		return order
	})
}

// holdTime is how long the request may wait for a server.
func (r *run) holdTime() time.Duration {
	return time.Duration(holdShare * float64(r.request.Route.LatencyObjective))
}

func cloneSet(set map[string]bool) map[string]bool {
	clone := make(map[string]bool, len(set))
	for key := range set {
		clone[key] = true
	}
	return clone
}

// logAgain writes the decision to send the request to another server.
func (r *run) logAgain(l *live, outcome dispatch.Outcome, cause error, lastEvent string) {
	r.Metrics.GetOrCreateCounter(`lentilpoint_relay_retries_total{service="` + r.request.Service.Name + `",reason="` + outcome.String() + `"}`).Inc()
	r.Logger.Info("request goes to another server", eventcode.RequestRerouted.Attr(), "request", r.request.ID, "route", r.request.Route.Name,
		"server", l.note.Server, "data_centre", l.note.DataCentre, "outcome", outcome.String(), "cause", cause, "runs", r.counts.runs,
		"rejections", r.counts.rejections, "unsent", r.counts.unsent, "last_event", lastEvent,
		"left_ms", r.request.Deadline.Sub(r.Clock.Now()).Milliseconds())
}

// refuseWith answers that the request has not run.
func (r *run) refuseWith(reason model.Reason, message, remedy string) {
	r.give(model.NotRun(model.KindUnavailable, reason, message, remedy).WithRetryAfter(retryAfterMin))
}

// failWith answers that the request may have run.
func (r *run) failWith(kind model.Kind, reason model.Reason, message, remedy string) {
	r.give(&model.Fault{Kind: kind, Reason: reason, Executed: model.ExecutedUnknown, Message: message, Remedy: remedy})
}

func (r *run) give(fault *model.Fault) {
	r.summary.Fault = fault
	r.Metrics.GetOrCreateCounter(`lentilpoint_relay_refusals_total{reason="` + string(fault.Reason) + `"}`).Inc()
	if err := r.caller.Refuse(fault); err != nil {
		r.summary.CallerLeft = true
	}
}

// endedEarly answers a request whose context ended. If nothing was sent, the
// answer may promise that it has not run.
func (r *run) endedEarly(ctx context.Context, mayHaveRun bool) {
	if !errors.Is(context.Cause(ctx), errDeadline) {
		r.summary.CallerLeft = true
		return
	}
	if !mayHaveRun {
		r.refuseWith(model.ReasonDeadlinePassed, "no server took the request before its deadline", "send it again with a longer deadline")
		return
	}
	r.failWith(model.KindDeadline, model.ReasonDeadlinePassed, "no answer before the deadline", "ask the service whether the request took effect")
}

// refused answers a request that got no server.
func (r *run) refused(refusal dispatch.Refusal) {
	switch {
	case r.counts.runs > 0:
		r.failWith(model.KindUnavailable, model.ReasonBackendFailed, "the servers failed and no other is left: "+string(refusal), "send the request again if it may be repeated")
	case refusal == dispatch.RefusedBudget:
		r.refuseWith(model.ReasonRetryBudget, "the retry budget of the service is spent", "wait and send the request again")
	default:
		r.refuseWith(model.ReasonBackendFailed, "no server of the service is usable", "wait and send the request again")
	}
}
