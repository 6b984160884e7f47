package config

import (
	"log/slog"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/settings"
	"github.com/lentilpoint/lentilpoint/task"
)

// Module provides the configuration store, its receiver for peers and the
// committer.
var Module = fx.Module("config",
	fx.Provide(NewMailbox, provideStore, NewPeer, provideCommitter, provideGroups),
	fx.Provide(func() Acceptance { return AcceptInOrder }),
	task.AsChild[*Store](),
)

type storeIn struct {
	fx.In

	Messages    task.Mailbox[Message]
	Table       platform.Table
	Objects     platform.Objects
	Peers       task.Mailbox[peers.Message]
	Acceptance  Acceptance
	Clock       clockwork.Clock
	Settings    settings.Settings
	Metrics     *metrics.Set
	Logger      *slog.Logger
	Subscribers []task.Mailbox[*model.Configuration] `group:"configuration_subscribers"`
}

func provideStore(in storeIn) *Store {
	return NewStore(Parameters{
		Messages: in.Messages,
		Self:     model.HostID(in.Settings.HostID), Home: model.DataCentre(in.Settings.DataCentre),
		Table: in.Table, Objects: in.Objects, Peers: in.Peers, PeersOn: in.Settings.PeerAddress != "",
		Intervals:  Intervals{Reader: in.Settings.ConfigInterval, Fallback: in.Settings.ConfigFallbackInterval},
		Acceptance: in.Acceptance, Seed: in.Settings.RandomSeed, Clock: in.Clock, Metrics: in.Metrics, Logger: in.Logger, Subscribers: in.Subscribers,
	})
}

func provideCommitter(table platform.Table, clock clockwork.Clock) Committer {
	return Committer{Table: table, Clock: clock}
}

type groupsOut struct {
	fx.Out

	HostLists task.Mailbox[platform.HostsRead] `group:"host_list_subscribers"`
	Facts     peers.Subscriber                 `group:"fact_subscribers"`
	Receiver  peers.Receiver                   `group:"rpc_receivers"`
}

// provideGroups adds the store and the peer receiver to the fx groups.
func provideGroups(store *Store, peer *Peer) groupsOut {
	return groupsOut{HostLists: store.HostLists(), Facts: store.Subscriber(), Receiver: peer.Receiver()}
}
