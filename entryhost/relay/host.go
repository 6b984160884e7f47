package relay

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/thejerf/suture/v4"
	"github.com/zeebo/errs"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/ingress"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/reload"
	"github.com/lentilpoint/lentilpoint/eventcode"
)

// Error is the class of errors of this package.
var Error = errs.Class("relay")

const (
	// stopMargin is the time between the end of a drain and the platform's kill.
	stopMargin = 300 * time.Millisecond
	// tasksStopTimeout bounds the wait for the tasks to stop after a drain.
	tasksStopTimeout = 200 * time.Millisecond
)

// Environment holds the dependencies of a relay.
type Environment struct {
	Adapter Adapter
	// Reload provides changed settings while the host runs.
	Reload  reload.Source[Settings]
	Clock   clockwork.Clock
	Metrics *metrics.Set
	Logger  *slog.Logger
}

// Run serves until the context ends, which starts a graceful shutdown, or until the
// root supervisor fails. It returns an error only if the relay could not start or
// the supervisor failed; errors of the shutdown are logged.
func Run(ctx context.Context, settings Settings, environment Environment) error {
	var root *suture.Supervisor
	var front *ingress.Front
	app := fx.New(
		Module,
		fx.Supply(settings, environment.Adapter, environment.Reload, environment.Metrics, environment.Logger),
		fx.Provide(func() clockwork.Clock { return environment.Clock }),
		fx.Populate(&root, &front),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
	if err := app.Err(); err != nil {
		return Error.Wrap(err)
	}
	tasksCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := root.ServeBackground(tasksCtx)
	environment.Logger.Info("relay started", eventcode.RelayStarted.Attr(), "host", settings.HostName, "data_centre", settings.DataCentre,
		"front", settings.FrontAddress, "store", settings.StoreAddress)
	select {
	case <-ctx.Done():
	case err := <-done:
		return Error.Wrap(err)
	}
	environment.Logger.Info("relay drains", eventcode.RelayDrains.Attr(), "host", settings.HostName)
	drainCtx, cancel := context.WithTimeout(tasksCtx, settings.StopGracePeriod-stopMargin)
	defer cancel()
	err := front.Drain(drainCtx)
	stop()
	select {
	case taskErr := <-done:
		if !errors.Is(taskErr, context.Canceled) {
			err = errors.Join(err, taskErr)
		}
	case <-environment.Clock.After(tasksStopTimeout):
	}
	environment.Logger.Info("relay stopped", eventcode.RelayStopped.Attr(), "host", settings.HostName, "error", err)
	return nil
}
