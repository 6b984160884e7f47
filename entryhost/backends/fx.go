package backends

import (
	"log/slog"

	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/entryhost/memory"
	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/settings"
	"github.com/lentilpoint/lentilpoint/task"
)

// hostsMailboxSize is 4, as only the newest host list matters; a full mailbox
// drops the list.
const hostsMailboxSize = 4

// Module provides the pool of backend servers and its mailbox for lookups.
var Module = fx.Module("backends",
	fx.Provide(provideHosts, providePool, (*Pool).Lookups),
	task.AsChild[*Pool](),
)

type hostsOut struct {
	fx.Out

	Mailbox    task.Mailbox[platform.HostsRead] `name:"backend_hosts"`
	Subscriber task.Mailbox[platform.HostsRead] `group:"host_list_subscribers"`
}

func provideHosts() hostsOut {
	mailbox := task.NewMailbox[platform.HostsRead](hostsMailboxSize)
	return hostsOut{Mailbox: mailbox, Subscriber: mailbox}
}

type poolIn struct {
	fx.In

	Hosts    task.Mailbox[platform.HostsRead] `name:"backend_hosts"`
	Events   task.Mailbox[Event]
	Clock    clockwork.Clock
	Settings settings.Settings
	Memory   *memory.Budget
	Logger   *slog.Logger
	// Observers receive server events in addition to admission.
	Observers []task.Mailbox[Event] `group:"pool_observers"`
}

func providePool(in poolIn) *Pool {
	polling := Polling{MinInterval: in.Settings.LoadInterval, MaxPerSecond: in.Settings.LoadRate, Seed: in.Settings.RandomSeed, Memory: in.Memory}
	subset := Subset{
		Self:             model.HostID(in.Settings.HostID),
		Home:             model.DataCentre(in.Settings.DataCentre),
		RemotePerService: in.Settings.RemoteServers,
	}
	return NewPool(in.Hosts, in.Events, in.Clock, polling, subset, in.Logger, in.Observers...)
}
