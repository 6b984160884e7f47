package forward

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/memory"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/series"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/suspects"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/httpresponse"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// maxExchangeEvents is the capacity for events of one exchange; the connection
// blocks when it is full.
const maxExchangeEvents = 32

// Forwarder runs requests and holds what their tasks share. It has no state of
// its own and is safe for concurrent use.
type Forwarder struct {
	Dispatcher task.Mailbox[dispatch.Message]
	Suspects   task.Mailbox[suspects.Message]
	Codec      Codec
	// Memory bounds what is kept of responses; nil is no bound.
	Memory  memory.Granter
	Clock   clockwork.Clock
	Metrics *metrics.Set
	Logger  *slog.Logger
}

// Run executes the request in the calling goroutine, which is the request's
// task. The context ends when the caller leaves.
func (f *Forwarder) Run(ctx context.Context, request *Request, caller Caller) Summary {
	ctx, cancel := context.WithTimeoutCause(ctx, request.Deadline.Sub(f.Clock.Now()), errDeadline)
	defer cancel()
	run := &requestTask{Forwarder: f, claims: memory.NewClaims(f.Memory), request: request, caller: caller, exclude: map[string]bool{}, refusals: map[string]int{}, avoid: map[string]bool{}, trafficPoint: rand.Float64()}
	defer run.claims.ReleaseAll()
	run.fingerprint = suspects.NewFingerprint(request.Organisation, request.Method, request.Host, request.Target, string(request.Body))
	var parts []string
	if request.Route.Kind == routing.Streaming {
		parts = f.Codec.PromptParts(request.Header)
	}
	run.prompt = suspects.NewPrompt(request.Service.Name, run.fingerprint, parts)
	if request.Route.Kind == routing.Streaming {
		watched, end := run.watchStops(ctx)
		defer end()
		ctx = watched
	}
	switch {
	case run.isStopped(ctx):
		run.refuseStopped(false)
	case request.Route.Kind == routing.Streaming:
		run.serveStream(ctx)
	default:
		run.servePlain(ctx)
	}
	if run.reserved != nil {
		run.returnServer(run.reserved.assignment)
	}
	return run.summary
}

// errDeadline is the cause of a context that ended at the request's deadline.
var errDeadline = Error.New("the deadline of the request has passed")

// requestTask is the state of one request.
type requestTask struct {
	*Forwarder

	request *Request
	caller  Caller
	// claims are for the memory of responses.
	claims  *memory.Claims
	summary Summary
	counts  attemptCounts
	exclude map[string]bool
	// silent are the excluded servers that were given up for their silence only.
	silent []string
	// refusals counts by server how often it stated that it did not run the request. It is
	// used for plain services, whose servers are not excluded then.
	refusals map[string]int
	// avoid are the data centres in which a server was silent.
	avoid map[string]bool
	// fingerprint is equal for all requests with the same organisation and
	// content.
	fingerprint suspects.Fingerprint
	// prompt holds the parts of a stream's prompt, or the content of a plain request.
	prompt suspects.Prompt
	// watch is informed if the request is stopped; it is nil once a server has begun
	// to answer, and for requests that are no streams.
	watch *suspects.Watch
	// trafficPoint is uniform in [0, 1) and selects the version during a version
	// move.
	trafficPoint float64
	// reserved is the next attempt, which replaces one that is being given up, or
	// nil.
	reserved *plannedAttempt
}

// runningAttempt is an attempt in progress.
type runningAttempt struct {
	assignment dispatch.Assignment
	attempt    *exchange.Attempt
	events     <-chan exchange.Event
	// cancel closes the connection if the response is not complete.
	cancel  context.CancelFunc
	started time.Time
	// firstEvent is the time from the start to the first event of a stream.
	firstEvent time.Duration
	note       AttemptNote
}

// start sends the attempt to the assigned server.
func (r *requestTask) start(ctx context.Context, assignment dispatch.Assignment, attempt *exchange.Attempt) *runningAttempt {
	now := r.Clock.Now()
	attempt.RequestID = r.request.ID
	attempt.Instance = assignment.Server.ID
	attempt.Organisation = r.request.Organisation
	attempt.SentBefore = r.sentBefore(assignment.Server.ID)
	attempt.Remaining = r.request.Deadline.Sub(now)
	attempt.Method, attempt.Target, attempt.Host = r.request.Method, r.request.Target, r.request.Host
	attempt.Header, attempt.Body = r.request.Header, r.request.Body
	// The exchange must end with the request, even if the caller has left.
	ctx, cancelExchange := context.WithCancel(ctx)
	events := make(chan exchange.Event, maxExchangeEvents)
	running := &runningAttempt{
		assignment: assignment, attempt: attempt, events: events, cancel: cancelExchange, started: now,
		note: AttemptNote{
			Server: assignment.Server.ID, DataCentre: assignment.Server.DataCentre, Reused: assignment.Reused,
			FromCopy: attempt.CacheCopy.Name != "",
		},
	}
	if err := assignment.Connection.Run(exchange.Exchange{Context: ctx, Attempt: attempt, Events: events}); err != nil {
		events <- exchange.Event{Failed: &exchange.Failure{Phase: exchange.Unsent, Err: err}}
	}
	return running
}

// noteHead tells the dispatcher what the head of a response states about its server,
// before the caller receives the response or another server is asked.
func (r *requestTask) noteHead(ctx context.Context, running *runningAttempt, head *exchange.ResponseHead) {
	if head.Leaving {
		r.tellDispatcher(ctx, running, dispatch.ServerLeaving{Lease: running.assignment.Lease})
	}
	if head.RetryAfterErr != nil {
		r.Logger.Warn("server states a time without requests that cannot be used", eventcode.ServerRefuses.Attr(), "request", r.request.ID, "server", running.note.Server,
			"used_ms", head.RetryAfter.Milliseconds(), "error", head.RetryAfterErr)
	}
	if head.RetryAfter > 0 {
		r.tellDispatcher(ctx, running, dispatch.ServerRefuses{Lease: running.assignment.Lease, For: head.RetryAfter})
	}
}

// tellDispatcher sends what a response states about its server.
func (r *requestTask) tellDispatcher(ctx context.Context, running *runningAttempt, message dispatch.Message) {
	if err := r.Dispatcher.Send(ctx, message); err != nil {
		r.Logger.Warn("the dispatcher was not told what a server states about itself", eventcode.OutcomeNotDelivered.Attr(), "request", r.request.ID, "server", running.note.Server, "error", err)
	}
}

// sentBefore reports whether an earlier attempt may have been sent to the server.
func (r *requestTask) sentBefore(server string) bool {
	return slices.ContainsFunc(r.summary.Attempts, func(note AttemptNote) bool { return note.Server == server })
}

// finish ends the attempt and releases its server with the outcome.
func (r *requestTask) finish(running *runningAttempt, got *response, outcome dispatch.Outcome, cause error, latency time.Duration) {
	running.cancel()
	running.note.Outcome = outcome.String()
	running.note.TookMS = r.Clock.Since(running.started).Milliseconds()
	if cause != nil {
		running.note.Cause = cause.Error()
	}
	if reason := httpresponse.Reason(cause); reason != "" {
		r.Metrics.GetOrCreateCounter(series.Name("lentilpoint_relay_broken_responses_total", "service", r.request.Service.Name, "reason", reason)).Inc()
		r.Logger.Warn("response of a server is broken; its connection is closed", eventcode.ResponseBroken.Attr(),
			"request", r.request.ID, "server", running.note.Server, "reused", running.note.Reused, "outcome", running.note.Outcome, "reason", reason, "error", cause)
	}
	if errors.Is(cause, exchange.ErrUnrelated) {
		r.Metrics.GetOrCreateCounter(series.Name("lentilpoint_relay_unrelated_responses_total", "service", r.request.Service.Name)).Inc()
		r.Logger.Warn("response cannot be related to its attempt; its connection is closed and the request may have run", eventcode.ResponseUnrelated.Attr(),
			"request", r.request.ID, "server", running.note.Server, "reused", running.note.Reused, "error", cause)
	}
	r.summary.Attempts = append(r.summary.Attempts, running.note)
	if outcome != dispatch.OutcomeNone && r.reserved == nil {
		r.count(running, outcome)
	}
	r.reportSuspect(running, outcome)
	// The dispatcher always drains its mailbox; blocking here keeps its counts
	// correct.
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	release := dispatch.Release{Lease: running.assignment.Lease, Outcome: outcome, Latency: latency}
	if got != nil {
		release.Instance = got.head.Instance
	}
	if err := r.Dispatcher.Send(ctx, release); err != nil {
		r.Logger.Error("outcome of an attempt not delivered to the dispatcher", eventcode.OutcomeNotDelivered.Attr(), "request", r.request.ID, "server", running.note.Server, "error", err)
	}
}

// count adds an attempt to the counts that decide what may follow it. Servers that were
// unreachable or rejected the request before the stream went on do not count any more:
// a long stream may survive several losses.
func (r *requestTask) count(running *runningAttempt, outcome dispatch.Outcome) {
	if running.note.Events > 0 {
		r.counts.unsent, r.counts.rejections = 0, 0
	}
	r.counts = r.counts.add(outcome)
	if outcome == dispatch.OutcomeSilent {
		r.avoid[running.note.DataCentre] = true
	}
}

// releaseTimeout bounds the wait for room in the dispatcher's mailbox.
const releaseTimeout = 2 * time.Second

// lostReplyTimeout is how long after the longest wait for a server a reply of the
// dispatcher is given up. Replies come within some 100 ms after that wait, unless the
// dispatcher was restarted while it handled the request.
const lostReplyTimeout = 2 * time.Second

// acquire asks the dispatcher for a server.
func (r *requestTask) acquire(ctx context.Context, acquire dispatch.Acquire) (dispatch.Assignment, error) {
	acquire.Service = r.request.Service.Name
	acquire.Route = r.request.Route.Name
	acquire.Organisation = r.request.Organisation
	acquire.Exclude, acquire.Avoid = maps.Clone(r.exclude), maps.Clone(r.avoid)
	acquire.Retry = r.counts.sent()
	acquire.Point = r.trafficPoint
	if acquire.WaitUntil.IsZero() {
		acquire.WaitUntil = r.Clock.Now().Add(r.maxServerWait())
	}
	reply := make(chan dispatch.Assignment, 1)
	acquire.Reply = reply
	if err := r.Dispatcher.Send(ctx, acquire); err != nil {
		return dispatch.Assignment{}, err
	}
	select {
	case assignment := <-reply:
		return assignment, nil
	case <-ctx.Done():
		go r.releaseUnused(reply)
		return dispatch.Assignment{}, context.Cause(ctx)
	case <-r.Clock.After(acquire.WaitUntil.Sub(r.Clock.Now()) + lostReplyTimeout):
		go r.releaseUnused(reply)
		r.Logger.Error("the dispatcher did not reply; the request is refused", eventcode.OutcomeNotDelivered.Attr(), "request", r.request.ID)
		return dispatch.Assignment{Refusal: dispatch.RefusedNoServer}, nil
	}
}

// unusedTimeout bounds the wait for an assignment that the request no longer needs;
// the dispatcher answers within the longest wait for a server.
const unusedTimeout = 5 * time.Second

// releaseUnused returns a server that is assigned after the request has ended. It
// would otherwise count as busy on all hosts.
func (r *requestTask) releaseUnused(reply <-chan dispatch.Assignment) {
	select {
	case assignment := <-reply:
		if assignment.Server == nil {
			return
		}
		r.returnServer(assignment)
	case <-r.Clock.After(unusedTimeout):
	}
}

// returnServer returns an assigned server that the request does not use.
func (r *requestTask) returnServer(assignment dispatch.Assignment) {
	r.releaseUnstarted(assignment, dispatch.OutcomeNone)
}

// releaseUnreachable returns an assigned server to which no connection could be opened.
func (r *requestTask) releaseUnreachable(assignment dispatch.Assignment) {
	r.releaseUnstarted(assignment, dispatch.OutcomeUnreachable)
}

func (r *requestTask) releaseUnstarted(assignment dispatch.Assignment, outcome dispatch.Outcome) {
	assignment.Connection.Close()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := r.Dispatcher.Send(ctx, dispatch.Release{Lease: assignment.Lease, Outcome: outcome, Unused: true}); err != nil {
		r.Logger.Error("unused server not returned to the dispatcher", eventcode.OutcomeNotDelivered.Attr(), "request", r.request.ID, "server", assignment.Server.ID, "error", err)
	}
}

// maxServerWait returns how long the request may wait for a server.
func (r *requestTask) maxServerWait() time.Duration {
	return r.request.Route.ServerWait()
}

// logRetry logs and counts that the request goes to another server.
func (r *requestTask) logRetry(running *runningAttempt, outcome dispatch.Outcome, cause error, lastEvent string) {
	r.Metrics.GetOrCreateCounter(series.Name("lentilpoint_relay_retries_total", "service", r.request.Service.Name, "reason", outcome.String())).Inc()
	r.Logger.Info("request is retried on another server", eventcode.RequestRerouted.Attr(), "request", r.request.ID, "route", r.request.Route.Name,
		"server", running.note.Server, "data_centre", running.note.DataCentre, "outcome", outcome.String(), "cause", cause, "runs", r.counts.runs,
		"rejections", r.counts.rejections, "unsent", r.counts.unsent, "last_event", lastEvent,
		"left_ms", r.request.Deadline.Sub(r.Clock.Now()).Milliseconds())
}

// refuseNotRun answers that the request has not run.
func (r *requestTask) refuseNotRun(reason model.Reason, message, remedy string) {
	if r.request.Route.Kind != routing.Streaming && r.isPlainService() {
		r.refusePlain(plainRetryAfter(r.request.Deadline.Sub(r.Clock.Now())), reason, message, remedy)
		return
	}
	r.refuseNotRunFor(0, reason, message, remedy)
}

// refuseNotRunFor answers that the request has not run and when the caller may send it
// again, minRetryAfter at the earliest.
func (r *requestTask) refuseNotRunFor(retryAfter time.Duration, reason model.Reason, message, remedy string) {
	r.sendFault(model.NotRun(model.KindUnavailable, reason, message, remedy).WithRetryAfter(max(retryAfter, minRetryAfter)))
}

// refusePlain answers that the request has not run and when its caller may send it again,
// which may be before minRetryAfter.
func (r *requestTask) refusePlain(retryAfter time.Duration, reason model.Reason, message, remedy string) {
	r.sendFault(model.NotRun(model.KindUnavailable, reason, message, remedy).WithRetryAfter(retryAfter))
}

// failMayHaveRun answers that the request may have run.
func (r *requestTask) failMayHaveRun(kind model.Kind, reason model.Reason, message, remedy string) {
	r.sendFault(&model.Fault{Kind: kind, Reason: reason, Executed: model.ExecutedUnknown, Message: message, Remedy: remedy})
}

func (r *requestTask) sendFault(fault *model.Fault) {
	r.summary.Fault = fault
	r.Metrics.GetOrCreateCounter(series.Name("lentilpoint_relay_refusals_total", "reason", string(fault.Reason))).Inc()
	if err := r.caller.Refuse(fault); err != nil {
		r.summary.CallerLeft = true
	}
}

// answerContextEnd answers a request whose context ended. The answer states that
// the request has not run only if no attempt may have run it.
func (r *requestTask) answerContextEnd(ctx context.Context, mayHaveRun bool) {
	switch {
	case errors.Is(context.Cause(ctx), errStopped):
		r.refuseStopped(mayHaveRun)
		return
	case !errors.Is(context.Cause(ctx), errDeadline):
		r.summary.CallerLeft = true
		return
	}
	if !mayHaveRun {
		r.refuseNotRun(model.ReasonDeadlinePassed, "no server took the request before its deadline", "send it again with a longer deadline")
		return
	}
	r.failMayHaveRun(model.KindDeadline, model.ReasonDeadlinePassed, "no answer before the deadline", "ask the service whether the request took effect")
}

// answerNoServer answers a request that was assigned no server.
func (r *requestTask) answerNoServer(assignment dispatch.Assignment) {
	refusal := assignment.Refusal
	switch {
	case r.counts.runs > 0:
		r.failMayHaveRun(model.KindUnavailable, model.ReasonBackendFailed, "the servers failed and no other is left: "+string(refusal), "send the request again if it may be repeated")
	case refusal == dispatch.RefusedOverload:
		r.refuseNotRunFor(assignment.RetryAfter, model.ReasonDeadlineUnreachable, "the organisation has more streams waiting than its share, and the engines would not end this one in time", "send fewer requests at once, or wait and send the request again")
	case refusal == dispatch.RefusedForUrgent || refusal == dispatch.RefusedForWait:
		// The time is that until there is room, which may be shorter than minRetryAfter.
		r.sendFault(model.NotRun(model.KindUnavailable, model.ReasonDeadlineUnreachable, "more urgent streams wait, and this one would delay them or begin too late itself", "wait and send the request again").WithRetryAfter(assignment.RetryAfter))
	case refusal == dispatch.RefusedByServers:
		r.refuseNotRunFor(assignment.RetryAfter, model.ReasonBackendFailed, "all servers of the service have asked for no requests for a time", "wait and send the request again")
	case refusal == dispatch.RefusedServersFull:
		r.refusePlain(assignment.RetryAfter, model.ReasonBackendFailed, "the servers of the service are full, and none is expected to have room in time", "wait and send the request again")
	case refusal == dispatch.RefusedShed:
		r.refusePlain(assignment.RetryAfter, model.ReasonBackendFailed, "the servers of the service have long queues, and part of the calls is refused so that the others are answered in time", "wait and send the request again")
	case refusal == dispatch.RefusedTooLate:
		r.refusePlain(assignment.RetryAfter, model.ReasonDeadlineUnreachable, "no server would answer in the time that is left", "send the request again with a longer deadline")
	case refusal == dispatch.RefusedStopping:
		r.refuseNotRun(model.ReasonDraining, "this host stops", "send the request again on a new connection")
	case refusal == dispatch.RefusedBudget:
		r.refuseNotRun(model.ReasonRetryBudget, "the retry budget of the service is spent", "wait and send the request again")
	default:
		r.refuseNotRun(model.ReasonBackendFailed, "no server of the service is usable", "wait and send the request again")
	}
}
