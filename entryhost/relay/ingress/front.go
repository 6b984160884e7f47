package ingress

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"
	"github.com/jonboulle/clockwork"
	"github.com/thejerf/suture/v4"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/catalog"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/forward"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// headerTimeout bounds the time a caller may take to send a header.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds a caller's header.
	maxHeaderBytes = 32 << 10
	// idleTimeout is longer than any idle time that the configuration grants, so
	// that a connection that a caller may still use is never closed.
	idleTimeout = 90 * time.Second
	// answerMargin is kept between the final answer and the caller's deadline,
	// for the way back.
	answerMargin = 15 * time.Millisecond
	// drainStreams is how long streams are accepted in a drain. They take five
	// seconds and more of the eight that a stop may take, and one that is cut
	// costs another reading of its prompt.
	drainStreams = 200 * time.Millisecond
	// lastPlain is the time before the kill from which no request is taken; plain
	// requests end within 1.5 s.
	lastPlain = 2 * time.Second
	// drainLook is how often a drain looks whether requests are open.
	drainLook = 50 * time.Millisecond
	// lookupTimeout bounds the wait for the catalog.
	lookupTimeout = time.Second
	// retryAfter is the pause that refusals of a starting or stopping host ask for.
	retryAfter = 300 * time.Millisecond
)

func init() { gin.SetMode(gin.ReleaseMode) }

// Parameters are what the caller API is built from.
type Parameters struct {
	Protocol Protocol
	// StopTime is how long the host may run after a drain began.
	StopTime time.Duration
	// ArrivalTime is how long new connections may arrive after a drain began.
	ArrivalTime time.Duration
	Catalog     task.Mailbox[catalog.Current]
	Forwarder   *forward.Forwarder
	Clock       clockwork.Clock
	Metrics     *metrics.Set
	Logger      *slog.Logger
}

// Front is the task that owns the listening socket for callers.
type Front struct {
	Parameters

	socket   task.Socket
	commands task.Mailbox[command]
	// draining is closed by the task when a graceful shutdown begins.
	draining chan struct{}
	// refusing is closed by the task once streams have no time left to finish,
	// and ending once no request has.
	refusing chan struct{}
	ending   chan struct{}
	open     *metrics.Counter
}

// NewFront returns the caller API on a bound socket.
func NewFront(listener net.Listener, parameters Parameters) *Front {
	return &Front{
		Parameters: parameters, socket: task.NewSocket(listener),
		commands: task.NewMailbox[command](commandsSize), draining: make(chan struct{}), refusing: make(chan struct{}), ending: make(chan struct{}),
		open: parameters.Metrics.GetOrCreateCounter("lentilpoint_relay_open_requests"),
	}
}

// String names the task in the logs.
func (f *Front) String() string { return "ingress" }

// Address returns the address that callers reach.
func (f *Front) Address() string { return f.socket.Address() }

// Draining is closed when a graceful shutdown begins.
func (f *Front) Draining() <-chan struct{} { return f.draining }

// Drain stops work gracefully: callers are told to leave, open requests finish,
// and the socket is closed. It returns when that is done or the context ends.
func (f *Front) Drain(ctx context.Context) error {
	if err := f.tell(ctx, commandDrain); err != nil {
		return err
	}
	quiet := f.Clock.After(f.ArrivalTime)
	for waiting := true; waiting || f.open.Get() > 0; {
		select {
		case <-ctx.Done():
			return Error.Wrap(context.Cause(ctx))
		case <-quiet:
			waiting = false
		case <-f.Clock.After(drainLook):
		}
	}
	return f.tell(ctx, commandShutdown)
}

func (f *Front) tell(ctx context.Context, kind commandKind) error {
	result, err := task.Call(ctx, f.commands, func(reply task.Reply[error]) command {
		return command{kind: kind, reply: reply}
	})
	if err != nil {
		return err
	}
	return result
}

// Serve accepts callers until the context ends or a shutdown is done.
func (f *Front) Serve(ctx context.Context) error {
	listener, err := f.socket.Take()
	if err != nil {
		return Error.Wrap(err)
	}
	server := &http.Server{
		Handler: f.handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: followState,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(f.Logger.Handler(), slog.LevelDebug),
	}
	failed := make(chan error, 1)
	quietContext, goQuiet := context.WithCancel(context.WithoutCancel(ctx))
	defer goQuiet()
	go func() { failed <- server.Serve(callerListener{Listener: listener, quiet: quietContext}) }()
	var refuse, quiet, end <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return Error.Wrap(server.Close())
		case err := <-failed:
			return Error.Wrap(err)
		case <-refuse:
			close(f.refusing)
		case <-quiet:
			// Idle connections are closed; a request that crosses that is not read.
			goQuiet()
		case <-end:
			close(f.ending)
		case command := <-f.commands.C():
			if command.kind == commandDrain {
				close(f.draining)
				refuse, quiet = f.Clock.After(drainStreams), f.Clock.After(f.ArrivalTime)
				end = f.Clock.After(f.StopTime - lastPlain)
				command.reply.Send(nil)
				continue
			}
			command.reply.Send(Error.Wrap(server.Close()))
			return suture.ErrDoNotRestart
		}
	}
}

func (f *Front) handler() http.Handler {
	router := gin.New()
	router.UseRawPath = true
	router.HandleMethodNotAllowed = false
	router.RedirectTrailingSlash = false
	router.NoRoute(f.serve)
	return router
}

// closed reports whether the channel is closed.
func closed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// serve handles one request in the goroutine of the caller's connection, which
// owns the caller's socket.
func (f *Front) serve(c *gin.Context) {
	f.open.Inc()
	defer f.open.Dec()
	arrived := f.Clock.Now()
	head := f.Protocol.Decode(c.Request)
	caller := &answerWriter{writer: c.Writer, draining: f.draining}
	request, fault := f.admit(c.Request, head, arrived)
	if fault != nil {
		f.Metrics.GetOrCreateCounter(`lentilpoint_relay_refusals_total{reason="` + string(fault.Reason) + `"}`).Inc()
		_ = caller.Refuse(fault)
		f.Logger.Info("request refused", eventcode.RelayRequestRefused.Attr(), "request", head.ID, "reason", fault.Reason,
			"status", statusOf(fault), "target", c.Request.RequestURI, "message", fault.Message)
		return
	}
	summary := f.Forwarder.Run(c.Request.Context(), request, caller)
	f.log(request, summary)
	if summary.Broken {
		// The connection is closed, so that the answer does not look complete.
		panic(http.ErrAbortHandler)
	}
}

// admit matches the request to the configuration in force and reads its body.
func (f *Front) admit(incoming *http.Request, head Head, arrived time.Time) (*forward.Request, *model.Fault) {
	ctx, cancel := context.WithTimeout(incoming.Context(), lookupTimeout)
	defer cancel()
	view, err := task.Call(ctx, f.Catalog, func(reply task.Reply[*catalog.View]) catalog.Current {
		return catalog.Current{Reply: reply}
	})
	if err != nil || view.Config == nil {
		return nil, model.NotRun(model.KindUnavailable, model.ReasonNotReady, "this host has no configuration yet", "send the request again").After(retryAfter)
	}
	route, organisation, fault := match(view.Config, incoming, head)
	if fault != nil {
		return nil, fault
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, incoming.Body, view.Config.Limits.MaxBodyBytes))
	if err != nil {
		return nil, model.NotRun(model.KindInvalid, model.ReasonBodyTooLarge, err.Error(), "send a body within the limit of the configuration")
	}
	if closed(f.ending) || route.Kind == routing.Streaming && closed(f.refusing) {
		return nil, model.NotRun(model.KindUnavailable, model.ReasonDraining, "this host stops", "send the request again on a new connection").After(retryAfter)
	}
	service := view.Config.Services[route.Service(rand.Float64())]
	wait := route.Timeout
	if head.Wait > 0 && (wait == 0 || head.Wait < wait) {
		wait = head.Wait
	}
	return &forward.Request{
		ID: head.ID, Method: incoming.Method, Target: incoming.RequestURI, Host: incoming.Host, Header: head.Header,
		Body: body, LastEventID: head.LastEvent, Prompt: head.Prompt, Route: route, Service: service, Organisation: organisation.Name, Rank: rankOf(route, organisation),
		Arrived: arrived, Deadline: arrived.Add(wait - answerMargin),
	}, nil
}

// rankOf returns the urgency of a request. That of the organisation goes first.
func rankOf(route *routing.Route, organisation routing.Organisation) int {
	if organisation.Priority != nil {
		return *organisation.Priority
	}
	return route.Priority
}

func match(config *routing.Config, incoming *http.Request, head Head) (*routing.Route, routing.Organisation, *model.Fault) {
	route, found := config.Match(incoming.Host, incoming.URL.EscapedPath())
	if !found {
		return nil, routing.Organisation{}, model.NotRun(model.KindNotFound, model.ReasonUnknownService, "no route matches the host and path", "check the URL")
	}
	organisation, found := config.Organisation(head.Key)
	if !found && !route.Public {
		return nil, routing.Organisation{}, model.NotRun(model.KindUnauthorised, model.ReasonUnknownKey, "the API key is not known", "use a key of the configuration")
	}
	return route, organisation, nil
}

// log writes the line of a request that ended.
func (f *Front) log(request *forward.Request, summary forward.Summary) {
	took := f.Clock.Since(request.Arrived)
	f.Metrics.GetOrCreateHistogram(`lentilpoint_relay_duration_seconds{kind="` + request.Route.Kind.String() + `"}`).Update(took.Seconds())
	f.Metrics.GetOrCreateHistogram(`lentilpoint_relay_first_answer_seconds{kind="` + request.Route.Kind.String() + `"}`).Update(summary.FirstEvent.Seconds())
	attributes := []any{
		eventcode.RelayRequestDone.Attr(), "request", request.ID, "route", request.Route.Name, "service", request.Service.Name,
		"status", summary.Status, "took_ms", took.Milliseconds(), "first_ms", summary.FirstEvent.Milliseconds(),
		"resumed_after", request.LastEventID, "events", summary.Events, "gap_ms", summary.LongestGap.Milliseconds(), "caller_left", summary.CallerLeft,
		"broken", summary.Broken, "attempts", summary.Attempts,
	}
	if summary.Fault != nil {
		attributes = append(attributes, "reason", summary.Fault.Reason, "message", summary.Fault.Message, "answered", statusOf(summary.Fault))
	}
	f.Logger.Info("request done", attributes...)
}
