package requests

import (
	"log/slog"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/task"
)

// Module provides the manager of request tasks.
var Module = fx.Module("requests",
	fx.Provide(NewManager, (*Manager).Commands, func() Recovery { return RecoveryContinue }),
	task.AsChild[*Manager](),
)

// Parameters are what the manager is built from.
type Parameters struct {
	fx.In

	Dispatches task.Mailbox[admission.Dispatch]
	Servers    task.Mailbox[backends.FindServer]
	Recovery   Recovery
	Recorder   events.Recorder
	Metrics    *metrics.Set
	Clock      clockwork.Clock
	Logger     *slog.Logger
}
