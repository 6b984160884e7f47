package tickets

import (
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/entryhost/requests/claims"
	"github.com/lentilpoint/lentilpoint/settings"
	"github.com/lentilpoint/lentilpoint/task"
)

// Module provides the issuer and the registry of redeemed tickets.
var Module = fx.Module("tickets",
	fx.Provide(NewRegistry, (*Registry).Messages, provideIssuer),
	task.AsChild[*Registry](),
)

func provideIssuer(identity claims.Identity, values settings.Settings) Issuer {
	return NewIssuer(identity, string(values.PeerSecret))
}
