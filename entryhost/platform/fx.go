package platform

import (
	"log/slog"

	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/settings"
	"github.com/lentilpoint/lentilpoint/task"
)

// Module provides the platform's clients and the host list task.
var Module = fx.Module("platform",
	fx.Provide(provideClient, provideInterfaces, provideHostList),
	task.AsChild[*HostListTask](),
)

func provideClient(values settings.Settings, lifecycle fx.Lifecycle) *Client {
	client := NewClient(values.PlatformURL, string(values.PlatformToken))
	lifecycle.Append(fx.StopHook(client.Close))
	return client
}

func provideInterfaces(client *Client) (Table, Objects, Hosts) {
	return client, ObjectStore{Client: client}, HostList{Client: client}
}

type hostListIn struct {
	fx.In

	Hosts       Hosts
	Clock       clockwork.Clock
	Settings    settings.Settings
	Logger      *slog.Logger
	Subscribers []task.Mailbox[HostsRead] `group:"host_list_subscribers"`
}

func provideHostList(in hostListIn) *HostListTask {
	return NewHostListTask(in.Hosts, model.DataCentre(in.Settings.DataCentre), in.Clock, in.Settings.HostsInterval, in.Logger, in.Subscribers...)
}
