package platform

import (
	"log/slog"

	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/settings"
	"github.com/lentilpoint/lentilpoint/task"
)

// Module provides the interfaces to the platform and the host list task. It needs
// a Services value.
var Module = fx.Module("platform",
	fx.Provide(provideInterfaces, provideRefreshes, provideHostList),
	task.AsChild[*HostListTask](),
)

func provideInterfaces(services Services, lifecycle fx.Lifecycle) (Table, Objects, Hosts) {
	lifecycle.Append(fx.StopHook(services.Close))
	return services.Table, services.Objects, services.Hosts
}

func provideRefreshes() task.Mailbox[RefreshHosts] {
	return task.NewMailbox[RefreshHosts](refreshMailboxSize)
}

type hostListIn struct {
	fx.In

	Hosts       Hosts
	Refreshes   task.Mailbox[RefreshHosts]
	Clock       clockwork.Clock
	Settings    settings.Settings
	Logger      *slog.Logger
	Subscribers []task.Mailbox[HostsRead] `group:"host_list_subscribers"`
}

func provideHostList(in hostListIn) *HostListTask {
	return NewHostListTask(in.Hosts, model.DataCentre(in.Settings.DataCentre), in.Clock, in.Settings.HostsInterval, in.Refreshes, in.Logger, in.Subscribers...)
}
