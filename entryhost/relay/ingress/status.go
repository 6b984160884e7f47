package ingress

import (
	"context"
	"log/slog"
	"net"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/memory"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/catalog"
	"github.com/lentilpoint/lentilpoint/task"
)

// Status is the task that answers readiness checks and metrics scrapes.
type Status struct {
	name     string
	socket   task.Socket
	protocol Protocol
	catalog  task.Mailbox[catalog.ViewRequest]
	draining <-chan struct{}
	memory   memory.Limits
	clock    clockwork.Clock
	metrics  *metrics.Set
	logger   *slog.Logger
}

// maxStatusHeaderBytes bounds the heads of health checks and scrapers, which send a few
// hundred bytes.
const maxStatusHeaderBytes = 4 << 10

// NewStatus returns a status server with the name on the bound socket.
func NewStatus(name string, listener net.Listener, parameters Parameters, draining <-chan struct{}) *Status {
	return &Status{
		name: name, socket: task.NewSocket(listener), protocol: parameters.Protocol, catalog: parameters.Catalog,
		draining: draining, memory: parameters.Memory.Limits(), clock: parameters.Clock, metrics: parameters.Metrics, logger: parameters.Logger,
	}
}

// String names the task in the logs.
func (s *Status) String() string { return s.name }

// Serve serves requests until the context ends.
func (s *Status) Serve(ctx context.Context) error {
	listener, err := s.socket.Take()
	if err != nil {
		return Error.Wrap(err)
	}
	router := gin.New()
	router.GET(s.protocol.ReadyPath(), s.ready)
	router.GET("/metrics", s.writeMetrics)
	server := &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxStatusHeaderBytes, ErrorLog: slog.NewLogLogger(s.logger.Handler(), slog.LevelDebug)}
	release := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer release()
	table := memory.NewTable(s.name, s.memory.StatusConnections(), s.clock, s.metrics, s.logger)
	err = server.Serve(memory.Listener{Listener: listener, Table: table})
	if ctx.Err() != nil {
		return nil
	}
	return Error.Wrap(err)
}

// ready responds with 200 while a configuration is in force, a server is
// registered and no drain has begun, and with 503 otherwise.
func (s *Status) ready(c *gin.Context) {
	select {
	case <-s.draining:
		c.Status(http.StatusServiceUnavailable)
		return
	default:
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), lookupTimeout)
	defer cancel()
	view, err := task.Call(ctx, s.catalog, func(reply task.Reply[*catalog.View]) catalog.ViewRequest {
		return catalog.ViewRequest{Reply: reply}
	})
	if err != nil || view.Config == nil || len(view.Servers) == 0 {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	c.Status(http.StatusOK)
}

func (s *Status) writeMetrics(c *gin.Context) {
	c.Header("Content-Type", "text/plain; version=0.0.4")
	s.metrics.WritePrometheus(c.Writer)
	metrics.WriteProcessMetrics(c.Writer)
}
