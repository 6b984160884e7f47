package peers

import (
	"log/slog"
	"math/rand/v2"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/settings"
	"github.com/lentilpoint/lentilpoint/task"
)

// Module provides the membership task, the links and the net/rpc listener.
//
// Packages that receive facts provide a Subscriber in the group
// "fact_subscribers"; packages that answer peers provide a Receiver in the
// group "rpc_receivers".
var Module = fx.Module("peers",
	fx.Provide(provideMailboxes, provideMembership, provideListener, provideExchange),
	task.AsChild[*Membership](),
	task.AsChild[*Listener](),
)

type mailboxesOut struct {
	fx.Out

	Messages   task.Mailbox[Message]
	Hosts      task.Mailbox[platform.HostsRead] `name:"peer_hosts"`
	Subscriber task.Mailbox[platform.HostsRead] `group:"host_list_subscribers"`
}

func provideMailboxes() mailboxesOut {
	hosts := task.NewMailbox[platform.HostsRead](hostsMailboxSize)
	return mailboxesOut{
		Messages:   task.NewMailbox[Message](membershipMailboxSize),
		Hosts:      hosts,
		Subscriber: hosts,
	}
}

type exchangeOut struct {
	fx.Out

	Receiver Receiver `group:"rpc_receivers"`
}

func provideExchange(messages task.Mailbox[Message]) exchangeOut {
	return exchangeOut{Receiver: Receiver{Name: "Peers", Object: &exchangeReceiver{membership: messages}}}
}

// sequenceBits is the number of low bits of a fact's sequence that count the facts
// of one incarnation. The bits above hold the start time in seconds.
const sequenceBits = 24

type membershipIn struct {
	fx.In

	Messages    task.Mailbox[Message]
	Hosts       task.Mailbox[platform.HostsRead] `name:"peer_hosts"`
	Refreshes   task.Mailbox[platform.RefreshHosts]
	Subscribers []Subscriber `group:"fact_subscribers"`
	Settings    settings.Settings
	Metrics     *metrics.Set
	Clock       clockwork.Clock
	Logger      *slog.Logger
}

func provideMembership(in membershipIn) *Membership {
	id := model.HostID(in.Settings.HostID)
	home := model.DataCentre(in.Settings.DataCentre)
	// The start time in seconds is the incarnation, so that a later start has a
	// larger one.
	started := uint64(in.Clock.Now().Unix())
	return &Membership{
		messages:    in.Messages,
		hosts:       in.Hosts,
		refreshes:   in.Refreshes,
		subscribers: in.Subscribers,
		linkConfig: linkConfig{
			secret:   []byte(in.Settings.PeerSecret),
			sent:     in.Metrics.GetOrCreateCounter(metricSent),
			received: in.Metrics.GetOrCreateCounter(metricReceived),
			results:  in.Messages,
			clock:    in.Clock,
		},
		random:    rand.New(rand.NewPCG(in.Settings.RandomSeed, 3)),
		clock:     in.Clock,
		dropped:   in.Metrics.GetOrCreateCounter(metricDropped),
		logger:    in.Logger,
		self:      Member{ID: id, DataCentre: home, Alive: true, Incarnation: model.Incarnation(started)},
		heartbeat: Heartbeat{ID: id, Incarnation: model.Incarnation(started)},
		table:     NewTable(id, home),
		facts:     NewFactStore(id, started<<sequenceBits),
	}
}

type listenerIn struct {
	fx.In

	Receivers []Receiver `group:"rpc_receivers"`
	Settings  settings.Settings
	Metrics   *metrics.Set
	Logger    *slog.Logger
}

func provideListener(in listenerIn) (*Listener, error) {
	return newListener(in.Settings.PeerAddress, []byte(in.Settings.PeerSecret), in.Receivers, in.Metrics, in.Logger)
}
