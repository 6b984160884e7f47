package entryhost

import (
	"log/slog"

	"github.com/thejerf/suture/v4"
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/callers"
	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/entryhost/control"
	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/entryhost/operators"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/entryhost/requests"
	"github.com/lentilpoint/lentilpoint/task"
)

// Module provides the supervisor tree of an entry host. It requires settings, the
// clients of the platform's services, a clock, a metrics set and a logger.
var Module = fx.Module("entryhost",
	platform.Module,
	events.Module,
	peers.Module,
	config.Module,
	backends.Module,
	admission.Module,
	requests.Module,
	callers.Module,
	control.Module,
	operators.Module,
	fx.Provide(provideRoot),
)

func provideRoot(children task.Children, logger *slog.Logger) *suture.Supervisor {
	root := task.NewSupervisor("entryhost", task.DefaultRestartPolicy, logger)
	for _, child := range children.Services {
		root.Add(child)
	}
	return root
}
