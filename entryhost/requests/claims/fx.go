package claims

import (
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/settings"
	"github.com/lentilpoint/lentilpoint/task"
)

// Module provides the claim writer, the sweeper and the identity of this entry
// host.
var Module = fx.Module("claims",
	fx.Provide(
		NewWriter, (*Writer).Messages, NewSweeper, provideIdentity,
		func() ReadBack { return ReadBackByID },
		func() BatchLimit { return DefaultBatchLimit },
	),
	task.AsChild[*Writer](),
	task.AsChild[*Sweeper](),
)

// provideIdentity uses the start time as the incarnation: an entry host stores
// no state across restarts, and a later start has a later time.
func provideIdentity(values settings.Settings, clock clockwork.Clock) Identity {
	return Identity{Host: model.HostID(values.HostID), Incarnation: model.Incarnation(clock.Now().UnixNano())}
}
