package ingress

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"
	"github.com/jonboulle/clockwork"
	"github.com/thejerf/suture/v4"

	"github.com/lentilpoint/lentilpoint/entryhost/intake"
	"github.com/lentilpoint/lentilpoint/entryhost/memory"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/catalog"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/forward"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// headerTimeout bounds the time that a caller may take to send a header.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds the size of a caller's header.
	maxHeaderBytes = 32 << 10
	// idleTimeout is longer than any idle time that the configuration grants, so
	// that no connection is closed that a caller may still reuse.
	idleTimeout = 90 * time.Second
	// responseMargin is the time between the latest response and the caller's
	// deadline. It covers the network time to the caller.
	responseMargin = 15 * time.Millisecond
	// drainStreamWindow is how long new streams are accepted after a drain began.
	// A stream takes 5 s or more of the 8 s that a stop may take, and a stream that
	// is cut off has to process its prompt again elsewhere.
	drainStreamWindow = 200 * time.Millisecond
	// minPlainTime is how long before the platform's kill all new requests are
	// refused. Plain requests end within 1.5 s.
	minPlainTime = 2 * time.Second
	// drainAnswerMargin is how long before the platform's kill the deadlines of requests
	// end that are taken during a drain. The drain itself ends 300 ms before the kill.
	drainAnswerMargin = 400 * time.Millisecond
	// drainPollInterval is how often a drain checks for open requests.
	drainPollInterval = 50 * time.Millisecond
	// retryAfter is the Retry-After of a host that is starting or draining.
	retryAfter = 300 * time.Millisecond
)

func init() { gin.SetMode(gin.ReleaseMode) }

// Parameters holds the dependencies of Front and Status.
type Parameters struct {
	Protocol Protocol
	// StopGracePeriod is the time from the start of a drain to the platform's kill.
	StopGracePeriod time.Duration
	// DeregistrationDelay is how long the balancer may still send new connections
	// after a drain began.
	DeregistrationDelay time.Duration
	Catalog             task.Mailbox[catalog.ViewRequest]
	Forwarder           *forward.Forwarder
	// Memory is the budget of this host, and Holdings counts what is held for slow callers.
	Memory   *memory.Budget
	Holdings task.Mailbox[HoldingMessage]
	Clock    clockwork.Clock
	Metrics  *metrics.Set
	Logger   *slog.Logger
}

// Front is the task that owns the listening socket for callers.
type Front struct {
	Parameters

	socket   task.Socket
	commands task.Mailbox[command]
	// draining is closed by the task when a graceful shutdown begins.
	draining chan struct{}
	// refusingStreams is closed by the task when new streams have no time left to
	// finish, and refusingAll when no new request has.
	refusingStreams chan struct{}
	refusingAll     chan struct{}
	// refusingLong is closed by the task when new requests are refused that may not end
	// before the drain does.
	refusingLong chan struct{}
	// stopsAt is when requests have to be answered in a drain. It is set before draining
	// is closed.
	stopsAt      time.Time
	openRequests *metrics.Counter
	// busy is the number of connections with a request that is being read or answered.
	busy *atomic.Int64
}

// NewFront returns a server for callers on a bound socket.
func NewFront(listener net.Listener, parameters Parameters) *Front {
	return &Front{
		Parameters: parameters, socket: task.NewSocket(listener),
		commands: task.NewMailbox[command](commandsCapacity), draining: make(chan struct{}), refusingStreams: make(chan struct{}), refusingAll: make(chan struct{}),
		refusingLong: make(chan struct{}),
		openRequests: parameters.Metrics.GetOrCreateCounter("lentilpoint_relay_open_requests"), busy: &atomic.Int64{},
	}
}

// String names the task in the logs.
func (f *Front) String() string { return "ingress" }

// Address returns the address that callers reach.
func (f *Front) Address() string { return f.socket.Address() }

// Draining is closed when a graceful shutdown begins.
func (f *Front) Draining() <-chan struct{} { return f.draining }

// Drain shuts down gracefully: responses ask callers to close their connections,
// open requests finish, and the socket is closed. It returns when that is done or
// the context ends. It waits at least DeregistrationDelay.
func (f *Front) Drain(ctx context.Context) error {
	if err := f.sendCommand(ctx, commandDrain); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return Error.Wrap(context.Cause(ctx))
	case <-f.Clock.After(f.DeregistrationDelay):
	}
	// Under a steady load there is always an open request, so the socket is closed at the
	// latest when new requests are refused anyway.
	if err := f.awaitRequests(ctx, f.refusingAll); err != nil {
		return err
	}
	// Requests that were read before the socket was closed finish too.
	if err := f.sendCommand(ctx, commandStopAccepting); err != nil {
		return err
	}
	if err := f.awaitRequests(ctx, nil); err != nil {
		return err
	}
	return f.sendCommand(ctx, commandShutdown)
}

// awaitRequests waits until no request is being read or answered, or until the channel
// is closed.
func (f *Front) awaitRequests(ctx context.Context, until <-chan struct{}) error {
	for f.busy.Load() > 0 {
		select {
		case <-ctx.Done():
			return Error.Wrap(context.Cause(ctx))
		case <-until:
			return nil
		case <-f.Clock.After(drainPollInterval):
		}
	}
	return nil
}

func (f *Front) sendCommand(ctx context.Context, kind commandKind) error {
	result, err := task.Call(ctx, f.commands, func(reply task.Reply[error]) command {
		return command{kind: kind, reply: reply}
	})
	if err != nil {
		return err
	}
	return result
}

// Serve accepts callers until the context ends or a shutdown is complete.
func (f *Front) Serve(ctx context.Context) error {
	listener, err := f.socket.Take()
	if err != nil {
		return Error.Wrap(err)
	}
	server := &http.Server{
		Handler: f.handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: trackConnState,
		ConnContext: withConn, MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(f.Logger.Handler(), slog.LevelDebug),
	}
	served := make(chan error, 1)
	keepIdle, stopKeepIdle := context.WithCancel(context.WithoutCancel(ctx))
	defer stopKeepIdle()
	keepNew, stopKeepNew := context.WithCancel(context.WithoutCancel(ctx))
	defer stopKeepNew()
	guard := intake.NewGuard(f.Memory, f.Clock, f.Metrics, f.Logger)
	table := memory.NewTable("callers", f.Memory.Limits().Connections, f.Clock, f.Metrics, f.Logger)
	go func() {
		served <- server.Serve(callerListener{Listener: listener, keepIdle: keepIdle, keepNew: keepNew, busy: f.busy, guard: guard, table: table})
	}()
	var failed <-chan error = served
	var refuseStreams, closeIdle, refuseAll <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return Error.Wrap(server.Close())
		case err := <-failed:
			return Error.Wrap(err)
		case <-refuseStreams:
			close(f.refusingStreams)
		case <-closeIdle:
			// Close idle connections. A request that arrives meanwhile is not read.
			stopKeepIdle()
			close(f.refusingLong)
		case <-refuseAll:
			close(f.refusingAll)
		case command := <-f.commands.C():
			switch command.kind {
			case commandDrain:
				f.stopsAt = f.Clock.Now().Add(f.StopGracePeriod - drainAnswerMargin)
				close(f.draining)
				refuseStreams, closeIdle = f.Clock.After(drainStreamWindow), f.Clock.After(f.DeregistrationDelay)
				refuseAll = f.Clock.After(f.StopGracePeriod - minPlainTime)
				command.reply.Send(nil)
			case commandStopAccepting:
				// The error that the server then returns is expected.
				failed = nil
				stopKeepIdle()
				stopKeepNew()
				command.reply.Send(Error.Wrap(listener.Close()))
			case commandShutdown:
				err := server.Close()
				if errors.Is(err, net.ErrClosed) {
					// The socket was closed before the connections.
					err = nil
				}
				command.reply.Send(Error.Wrap(err))
				return suture.ErrDoNotRestart
			}
		}
	}
}

func (f *Front) handler() http.Handler {
	router := gin.New()
	router.UseRawPath = true
	router.HandleMethodNotAllowed = false
	router.RedirectTrailingSlash = false
	router.NoRoute(f.serveRequest)
	return router
}

// isClosed reports whether the channel is closed.
func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// serveRequest handles one request in the goroutine of the caller's connection,
// which owns the caller's socket.
func (f *Front) serveRequest(c *gin.Context) {
	if !beginRequest(c.Request) {
		// The request crossed the close of its connection, or was refused on it, and was not
		// passed on.
		panic(http.ErrAbortHandler)
	}
	f.openRequests.Inc()
	defer f.openRequests.Dec()
	defer gateOf(c.Request.Context()).ReleaseAll()
	ctx, cut := context.WithCancelCause(c.Request.Context())
	defer cut(nil)
	caller := &responseWriter{writer: c.Writer, draining: f.draining, output: outputOf(ctx)}
	caller.output.begin(ctx, cut, writeLimits{pause: minWritePause}, f.Holdings)
	defer f.endRequest(c.Request, caller)
	arrived := f.Clock.Now()
	head := f.Protocol.Decode(c.Request)
	request, fault := f.admitRequest(c.Writer, c.Request, head, arrived)
	if fault != nil {
		f.Metrics.GetOrCreateCounter(`lentilpoint_relay_refusals_total{reason="` + string(fault.Reason) + `"}`).Inc()
		_ = caller.Refuse(fault)
		f.Logger.Info("request refused", eventcode.RelayRequestRefused.Attr(), "request", head.ID, "reason", fault.Reason,
			"status", statusOf(fault), "target", c.Request.RequestURI, "message", fault.Message)
		f.reportSlowCaller(caller, head.ID, "", "")
		return
	}
	caller.output.begin(ctx, cut, writeLimitsOf(request), f.Holdings)
	summary := f.Forwarder.Run(ctx, request, caller)
	if !summary.Broken && caller.output.finish() != nil {
		summary.Broken, summary.CallerLeft = true, true
	}
	f.logRequest(request, summary)
	f.reportSlowCaller(caller, request.ID, request.Route.Name, request.Organisation)
	if summary.Broken {
		f.countUnanswered("stream_cut")
		// Aborting closes the connection, so that the response does not look complete.
		panic(http.ErrAbortHandler)
	}
}

// endRequest runs when the task of a request has ended, also by a panic. It answers a
// request that got no answer: net/http would close the connection after a panic, and
// the router would send its own 404 page to a caller that was sent nothing.
func (f *Front) endRequest(incoming *http.Request, caller *responseWriter) {
	failure := recover()
	switch {
	case failure == http.ErrAbortHandler:
		panic(failure)
	case failure == nil && caller.headSent:
		return
	case failure == nil && incoming.Context().Err() != nil:
		f.countUnanswered("caller_left")
		panic(http.ErrAbortHandler)
	}
	f.Logger.Error("task of a request failed", eventcode.RelayRequestUnanswered.Attr(), "target", incoming.RequestURI,
		"head_sent", caller.headSent, "answered", caller.complete, "panic", failure, "stack", string(debug.Stack()))
	if caller.complete {
		return
	}
	f.countUnanswered("task_failed")
	if caller.headSent {
		panic(http.ErrAbortHandler)
	}
	_ = caller.Refuse(&model.Fault{
		Kind: model.KindInternal, Reason: model.ReasonTaskFailed, Executed: model.ExecutedUnknown,
		Message: "the task of the request failed on this host", Remedy: "send the request again if it may be repeated, and read the logs of this entry host",
	})
}

// reportSlowCaller counts and logs that the caller of a request was disconnected because it
// reads too slowly. There is at most one line for each request.
func (f *Front) reportSlowCaller(caller *responseWriter, request, route, organisation string) {
	slow := caller.output.slowCaller()
	if slow == nil {
		return
	}
	f.Metrics.GetOrCreateCounter(`lentilpoint_relay_slow_callers_total{reason="` + string(slow.reason) + `"}`).Inc()
	f.Logger.Warn("slow caller disconnected", eventcode.SlowCallerCut.Attr(), "request", request, "route", route, "organisation", organisation,
		"reason", slow.reason, "held_bytes", slow.held, "pause_ms", caller.output.limits.pause.Milliseconds())
}

// countUnanswered counts a request that ended without a complete answer.
func (f *Front) countUnanswered(reason string) {
	f.Metrics.GetOrCreateCounter(`lentilpoint_relay_unanswered_total{reason="` + reason + `"}`).Inc()
}

// logRequest updates the metrics and writes the log line of a finished request.
func (f *Front) logRequest(request *forward.Request, summary forward.Summary) {
	duration := f.Clock.Since(request.Arrived)
	f.Metrics.GetOrCreateHistogram(`lentilpoint_relay_duration_seconds{kind="` + request.Route.Kind.String() + `"}`).Update(duration.Seconds())
	f.Metrics.GetOrCreateHistogram(`lentilpoint_relay_first_answer_seconds{kind="` + request.Route.Kind.String() + `"}`).Update(summary.FirstEvent.Seconds())
	attributes := []any{
		eventcode.RelayRequestDone.Attr(), "request", request.ID, "route", request.Route.Name, "service", request.Service.Name,
		"status", summary.Status, "took_ms", duration.Milliseconds(), "first_ms", summary.FirstEvent.Milliseconds(),
		"resumed_after", request.LastEventID, "events", summary.Events, "gap_ms", summary.LongestGap.Milliseconds(), "caller_left", summary.CallerLeft,
		"broken", summary.Broken, "draining", isClosed(f.draining), "attempts", summary.Attempts,
	}
	if summary.Fault != nil {
		attributes = append(attributes, "reason", summary.Fault.Reason, "message", summary.Fault.Message)
	}
	if summary.Fault != nil && !summary.Broken {
		attributes = append(attributes, "answered", statusOf(summary.Fault))
	}
	f.Logger.Info("request done", attributes...)
}
