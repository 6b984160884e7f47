package requests

import (
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/entryhost/requests/claims"
	"github.com/lentilpoint/lentilpoint/entryhost/requests/tickets"
	"github.com/lentilpoint/lentilpoint/task"
)

// Module provides the manager of request tasks, the claim writer and the registry
// of tickets.
var Module = fx.Module("requests",
	claims.Module,
	tickets.Module,
	fx.Provide(
		NewManager, (*Manager).Commands,
		func() Recovery { return RecoveryContinue },
		func() CallPolicy { return CallAtMostOnce },
		NewRedeemer,
		fx.Annotate(receiverOf, fx.ResultTags(`group:"rpc_receivers"`)),
	),
	task.AsChild[*Manager](),
)

func receiverOf(redeemer *Redeemer) peers.Receiver {
	return peers.Receiver{Name: tickets.ReceiverName, Object: redeemer}
}
