package requests

import (
	"log/slog"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/entryhost/requests/claims"
	"github.com/lentilpoint/lentilpoint/entryhost/requests/tickets"
	"github.com/lentilpoint/lentilpoint/task"
)

// Module provides the manager of request tasks, the claim writer and the
// registry of tickets.
var Module = fx.Module("requests",
	claims.Module,
	tickets.Module,
	fx.Provide(
		NewManager, (*Manager).Commands,
		func() Recovery { return RecoveryContinue },
		func() CallPolicy { return CallAtMostOnce },
		NewRedeemer,
		fx.Annotate(provideReceiver, fx.ResultTags(`group:"rpc_receivers"`)),
	),
	task.AsChild[*Manager](),
)

func provideReceiver(redeemer *Redeemer) peers.Receiver {
	return peers.Receiver{Name: tickets.ReceiverName, Object: redeemer}
}

// Parameters are the dependencies of the manager.
type Parameters struct {
	fx.In

	Dispatches task.Mailbox[admission.Dispatch]
	Servers    task.Mailbox[backends.ServerLookup]
	Recovery   Recovery
	Calls      CallDependencies
	Recorder   events.Recorder
	Metrics    *metrics.Set
	Clock      clockwork.Clock
	Logger     *slog.Logger
}
