package callers

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"
	"github.com/jonboulle/clockwork"
	"github.com/thejerf/suture/v4"
	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/entryhost/intake"
	"github.com/lentilpoint/lentilpoint/entryhost/memory"
	"github.com/lentilpoint/lentilpoint/entryhost/requests"
	"github.com/lentilpoint/lentilpoint/entryhost/requests/tickets"
	"github.com/lentilpoint/lentilpoint/faultwire"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("callers")

const (
	// defaultDeadline applies when neither the caller nor the service sets one.
	defaultDeadline = 10 * time.Minute
	// maxDeadline bounds a caller's deadline.
	maxDeadline = time.Hour
	// configurationTimeout bounds the wait for the configuration store.
	configurationTimeout = 2 * time.Second
	// readHeaderTimeout bounds the time a caller may take to send its headers.
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes bounds the length of a caller's headers.
	maxHeaderBytes = 64 << 10
	// memoryRetryAfter is the pause after a request that gave way or had no room. Holders
	// that stall give way after 1 s.
	memoryRetryAfter = time.Second
	// heartbeatInterval is the longest time without bytes on a stream to a caller.
	heartbeatInterval = 5 * time.Second
)

// gin prints its routes on standard output unless it is in release mode. The
// mode is global, so it is set before any server is built.
func init() { gin.SetMode(gin.ReleaseMode) }

// Server is the task that owns the listening socket for callers.
type Server struct {
	Parameters

	socket   task.Socket
	commands task.Mailbox[command]
	// draining is closed by the task when a drain begins. Caller tasks only read
	// it.
	draining chan struct{}
}

// Parameters are the dependencies of the server.
type Parameters struct {
	Requests task.Mailbox[requests.Command]
	Config   task.Mailbox[config.Message]
	Tickets  tickets.Issuer
	Cursors  Cursors
	// Memory is the budget of this host.
	Memory  *memory.Budget
	Metrics *metrics.Set
	Clock   clockwork.Clock
	Logger  *slog.Logger
}

// NewServer returns the server task of the caller API on a bound socket.
func NewServer(listener net.Listener, parameters Parameters) *Server {
	return &Server{
		Parameters: parameters,
		socket:     task.NewSocket(listener),
		commands:   task.NewMailbox[command](commandMailboxSize),
		draining:   make(chan struct{}),
	}
}

// Address returns the address of the socket.
func (s *Server) Address() string { return s.socket.Address() }

// String names the task in the logs.
func (s *Server) String() string { return "callers" }

// Drain makes /readyz fail, so that the balancer sends no new callers. Other
// requests are still served.
func (s *Server) Drain(ctx context.Context) error {
	_, err := task.Call(ctx, s.commands, func(reply task.Reply[error]) command {
		return command{kind: commandDrain, reply: reply}
	})
	return err
}

// Shutdown closes the listening socket and waits until all open answers are
// written or the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	result, err := task.Call(ctx, s.commands, func(reply task.Reply[error]) command {
		return command{kind: commandShutdown, context: ctx, reply: reply}
	})
	return errors.Join(result, err)
}

// Serve accepts callers until the context ends or a shutdown is done. After a
// failure the supervisor calls it again, and it binds the same address.
func (s *Server) Serve(ctx context.Context) error {
	listener, err := s.socket.Take()
	if err != nil {
		return Error.Wrap(err)
	}
	server := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         intake.TrackState,
		ConnContext:       intake.WithConn,
		ErrorLog:          slog.NewLogLogger(s.Logger.Handler(), slog.LevelDebug),
	}
	failed := make(chan error, 1)
	bounded := intake.Listener{
		Listener: listener, Guard: intake.NewGuard(s.Memory, s.Clock, s.Metrics, s.Logger),
		Table: memory.NewTable("callers", s.Memory.Limits().Connections, s.Clock, s.Metrics, s.Logger),
	}
	go func() { failed <- server.Serve(bounded) }()
	for {
		select {
		case <-ctx.Done():
			return Error.Wrap(server.Close())
		case err := <-failed:
			return Error.Wrap(err)
		case command := <-s.commands.C():
			if command.kind == commandDrain {
				s.startDrain()
				command.reply.Send(nil)
				continue
			}
			command.reply.Send(server.Shutdown(command.context))
			return suture.ErrDoNotRestart
		}
	}
}

func (s *Server) startDrain() {
	select {
	case <-s.draining:
	default:
		close(s.draining)
	}
}

func (s *Server) handler() http.Handler {
	router := gin.New()
	router.UseRawPath = true
	router.Use(admitRequest)
	router.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	router.GET("/readyz", s.readyz)
	router.GET("/metrics", s.writeMetrics)
	router.GET("/v1/models", s.listModels)
	router.POST("/v1/completions", func(c *gin.Context) { s.generate(c, false) })
	router.POST("/v1/chat/completions", func(c *gin.Context) { s.generate(c, true) })
	router.POST("/v1/tickets", s.issueTicket)
	router.Any("/services/:service/*path", s.serveCall)
	router.NoRoute(func(c *gin.Context) {
		s.writeFault(c, "", model.NotRun(model.KindNotFound, model.ReasonBadField, "there is no such path", "see the API page for the paths"))
	})
	return router
}

func (s *Server) readyz(c *gin.Context) {
	select {
	case <-s.draining:
		c.String(http.StatusServiceUnavailable, "draining\n")
		return
	default:
	}
	configuration, err := s.currentConfiguration(c.Request.Context())
	if err != nil || configuration.Revision == 0 {
		c.String(http.StatusServiceUnavailable, "no configuration yet\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}

// currentConfiguration requests the configuration in force from the store.
func (s *Server) currentConfiguration(ctx context.Context) (*model.Configuration, error) {
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	return task.Call(ctx, s.Config, func(reply task.Reply[*model.Configuration]) config.Message {
		return config.Current{Reply: reply}
	})
}

func (s *Server) writeMetrics(c *gin.Context) {
	c.Header("Content-Type", "text/plain; version=0.0.4")
	s.Metrics.WritePrometheus(c.Writer)
	metrics.WriteProcessMetrics(c.Writer)
}

// callerIdentity holds the request id, the organisation and the configuration
// with which a request was authenticated. After a failed authentication only
// the id is always set.
type callerIdentity struct {
	requestID     model.RequestID
	organisation  model.Organisation
	configuration *model.Configuration
}

// authenticate assigns the request id and finds the organisation by its API
// key.
func (s *Server) authenticate(c *gin.Context) (callerIdentity, *model.Fault) {
	caller := callerIdentity{requestID: requestID(c.GetHeader("X-Request-Id"))}
	c.Header("X-Request-Id", string(caller.requestID))
	configuration, err := s.currentConfiguration(c.Request.Context())
	if err != nil {
		return caller, model.NotRun(model.KindUnavailable, model.ReasonNotReady, "the configuration is not available", "retry after a pause")
	}
	caller.configuration = configuration
	key, found := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	if !found {
		return caller, model.NotRun(model.KindUnauthorised, model.ReasonNoCredentials,
			"the Authorization header has no bearer token", "send the organisation's API key as a bearer token")
	}
	organisation, found := configuration.OrganisationByKey(keyDigest(key))
	if !found {
		return caller, model.NotRun(model.KindUnauthorised, model.ReasonUnknownKey,
			"the API key belongs to no organisation", "check the key or ask an operator to register it")
	}
	caller.organisation = organisation
	return caller, nil
}

func keyDigest(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// requestID returns the caller's id if it is short and printable, and otherwise
// a random one.
func requestID(given string) model.RequestID {
	if given != "" && len(given) <= maxRequestIDBytes && !strings.ContainsFunc(given, isNotPrintable) {
		return model.RequestID(given)
	}
	return model.RequestID(rand.Text())
}

func isNotPrintable(r rune) bool { return r <= ' ' || r > '~' }

// requestDeadline returns the time by which the request must be answered, from
// the caller's header, the service or the default.
func (s *Server) requestDeadline(c *gin.Context, service model.Service) (time.Time, *model.Fault) {
	timeout := service.DefaultDeadline
	if timeout <= 0 {
		timeout = defaultDeadline
	}
	if header := c.GetHeader("X-Deadline-Ms"); header != "" {
		milliseconds, err := strconv.ParseInt(header, 10, 64)
		if err != nil || milliseconds < 1 || milliseconds > maxDeadline.Milliseconds() {
			return time.Time{}, model.BadField("X-Deadline-Ms", "X-Deadline-Ms must be a whole number of milliseconds, at most one hour")
		}
		timeout = time.Duration(milliseconds) * time.Millisecond
	}
	return s.Clock.Now().Add(timeout), nil
}

// gateKey is the key of a request's gate in its context.
const gateKey = "gate"

// admitRequest ends a request whose connection was closed to make room before the request
// could run, or whose head is refused. It returns what the request has claimed when it is done.
func admitRequest(c *gin.Context) {
	gate, admitted := intake.Begin(c.Request)
	if !admitted {
		panic(http.ErrAbortHandler)
	}
	defer gate.ReleaseAll()
	c.Set(gateKey, gate)
	c.Next()
}

func gateOf(c *gin.Context) *intake.Gate { return c.MustGet(gateKey).(*intake.Gate) }

// readBody reads a body of at most maxBodyBytes. The request cannot give way to others after
// that.
func readBody(c *gin.Context) ([]byte, *model.Fault) {
	gate := gateOf(c)
	content, err := memory.ReadBody(c.Request.Body, c.Request.ContentLength, maxBodyBytes, gate)
	switch {
	case errors.Is(err, memory.ErrNoRoom):
		gate.Interrupt()
		return nil, yieldedFault(c)
	case errors.Is(err, memory.ErrTooLarge):
		return nil, model.NotRun(model.KindInvalid, model.ReasonBodyTooLarge, "the body is too large", "send at most 4 MiB")
	}
	if fault := endBody(c); fault != nil {
		return nil, fault
	}
	if err != nil {
		return nil, model.BadField("body", "the body could not be read: "+err.Error())
	}
	return content, nil
}

// endBody ends the time in which a request may give way. It returns a fault if it has.
func endBody(c *gin.Context) *model.Fault {
	if gateOf(c).EndBody() {
		return nil
	}
	return yieldedFault(c)
}

// yieldedFault refuses a request whose body is not read to its end. Its connection cannot be
// used again.
func yieldedFault(c *gin.Context) *model.Fault {
	c.Header("Connection", "close")
	return model.NotRun(model.KindUnavailable, model.ReasonMemoryFull, "this host has no memory for the request, or others needed its place while the body arrived slowly", "send it again after the pause").WithRetryAfter(memoryRetryAfter)
}

// writeFault answers with a fault and counts it by its reason.
func (s *Server) writeFault(c *gin.Context, id model.RequestID, fault *model.Fault) {
	s.countRefusal(fault)
	if fault.RetryAfter > 0 {
		c.Header("Retry-After", faultwire.RetryAfter(fault))
	}
	c.JSON(faultwire.Status(fault.Kind), errorBody(fault, id))
}

func (s *Server) countRefusal(fault *model.Fault) {
	name := `lentilpoint_refusals_total{reason="` + string(fault.Reason) + `"}`
	s.Metrics.GetOrCreateCounter(name).Inc()
}

func (s *Server) listModels(c *gin.Context) {
	caller, fault := s.authenticate(c)
	if fault != nil {
		s.writeFault(c, caller.requestID, fault)
		return
	}
	c.JSON(http.StatusOK, modelList(caller.configuration))
}
