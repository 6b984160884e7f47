package entryhost

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/thejerf/suture/v4"
	"github.com/zeebo/errs"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/lentilpoint/lentilpoint/entryhost/callers"
	"github.com/lentilpoint/lentilpoint/entryhost/operators"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/entryhost/requests"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/settings"
	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("entryhost")

// lifecycleTimeout bounds the start of the fx application, and its stop.
const lifecycleTimeout = 10 * time.Second

// Host is one entry host: its root supervisor and the tasks that it controls
// directly.
type Host struct {
	settings settings.Settings
	logger   *slog.Logger
	app      *fx.App
	parts    parts

	stop context.CancelFunc
	// done is closed when the root supervisor has ended. failure is set before that.
	done    chan struct{}
	failure error
}

// parts holds the root supervisor and the tasks that the host calls or sends
// messages to.
type parts struct {
	fx.In

	Root     *suture.Supervisor
	Requests task.Mailbox[requests.Command]
	Callers  *callers.Server
	Peers    *peers.Membership
	Listener *peers.Listener
	// Operators is the operator API. It is present even if the API is off.
	Operators *operators.Server
}

// Environment holds the dependencies of an entry host.
type Environment struct {
	Clock   clockwork.Clock
	Metrics *metrics.Set
	Logger  *slog.Logger
	// Platform holds the clients of the platform's services.
	Platform platform.Services
	// Options replace or decorate parts of the tree in tests.
	Options []fx.Option
}

// New builds the tasks of an entry host and binds its sockets. A RandomSeed of 0
// in the settings is replaced by a random one.
func New(values settings.Settings, environment Environment) (*Host, error) {
	if values.RandomSeed == 0 {
		values.RandomSeed = rand.Uint64()
	}
	host := &Host{settings: values, logger: environment.Logger}
	host.app = fx.New(
		Module,
		fx.Supply(values, environment.Metrics, environment.Logger, environment.Platform),
		fx.Provide(func() clockwork.Clock { return environment.Clock }),
		fx.Options(environment.Options...),
		fx.Invoke(func(in parts) { host.parts = in }),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
	return host, Error.Wrap(host.app.Err())
}

// CallerAddress returns the address on which the host accepts callers.
func (h *Host) CallerAddress() string { return h.parts.Callers.Address() }

// PeerAddress returns the address on which the host accepts other entry hosts, or
// an empty string if peer links are off.
func (h *Host) PeerAddress() string { return h.parts.Listener.Address() }

// OperatorAddress returns the address of the operator API, or an empty string if
// the API is off.
func (h *Host) OperatorAddress() string { return h.parts.Operators.Address() }

// Start runs the tree in the background. It must be called at most once, and before
// Done, Stop and Kill.
func (h *Host) Start() error {
	ctx, cancel := context.WithTimeout(context.Background(), lifecycleTimeout)
	defer cancel()
	if err := h.app.Start(ctx); err != nil {
		return Error.Wrap(err)
	}
	rootContext, stop := context.WithCancel(context.Background())
	h.stop = stop
	h.done = make(chan struct{})
	go func() {
		defer close(h.done)
		h.failure = h.parts.Root.Serve(rootContext)
	}()
	h.logger.Info("entry host started", eventcode.HostStarted.Attr(), "host", h.settings.HostID,
		"data_centre", h.settings.DataCentre, "callers", h.CallerAddress())
	return nil
}

// Done returns a channel that is closed when the root supervisor has ended, either
// because of Kill or because it gave up restarting a task.
func (h *Host) Done() <-chan struct{} { return h.done }

// Err returns the error with which the root supervisor ended. It may only be called
// once Done is closed.
func (h *Host) Err() error { return h.failure }

// Stop shuts the entry host down gracefully. It refuses new work as not run, waits
// for open requests until the context or the drain timeout ends, and then stops the
// tasks.
func (h *Host) Stop(ctx context.Context) error {
	h.logger.Info("entry host drains", eventcode.HostDrains.Attr(), "host", h.settings.HostID)
	ctx, cancel := context.WithTimeout(ctx, h.settings.DrainTimeout)
	defer cancel()
	err := errors.Join(h.drain(ctx), h.Kill())
	h.logger.Info("entry host stopped", eventcode.HostStopped.Attr(), "host", h.settings.HostID, "error", err)
	return err
}

// drain refuses new work and waits until the open requests have ended and their
// answers are written. A failure to announce the shutdown does not shorten the
// wait.
func (h *Host) drain(ctx context.Context) error {
	announced := errors.Join(h.parts.Callers.Drain(ctx), h.parts.Peers.Leave())
	idle := make(chan struct{})
	if err := h.parts.Requests.Send(ctx, requests.Drain{Idle: idle}); err != nil {
		return errors.Join(announced, Error.Wrap(err))
	}
	select {
	case <-idle:
		return errors.Join(announced, Error.Wrap(h.parts.Callers.Shutdown(ctx)))
	case <-ctx.Done():
		return Error.New("requests are still open after the drain timeout; raise --drain-timeout")
	}
}

// Kill stops the tasks at once, without draining, as a crash would. A second call
// has no effect.
func (h *Host) Kill() error {
	h.stop()
	<-h.done
	ctx, cancel := context.WithTimeout(context.Background(), lifecycleTimeout)
	defer cancel()
	return Error.Wrap(h.app.Stop(ctx))
}

// Run starts an entry host and serves until the root supervisor gives up or the
// context ends. The end of the context starts a graceful shutdown.
func Run(ctx context.Context, values settings.Settings, environment Environment) error {
	host, err := New(values, environment)
	if err != nil {
		return err
	}
	if err := host.Start(); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return host.Stop(context.WithoutCancel(ctx))
	case <-host.Done():
		return host.Err()
	}
}
