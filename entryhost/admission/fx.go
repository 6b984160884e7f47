package admission

import (
	"log/slog"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/settings"
	"github.com/lentilpoint/lentilpoint/task"
)

// Module provides the front task and its mailboxes. Experiments replace the
// provided Policies by an fx decorator.
var Module = fx.Module("admission",
	fx.Provide(DefaultPolicies, provideFront, provideMailboxes),
	task.AsChild[*Front](),
	evidenceModule,
)

type frontIn struct {
	fx.In

	Settings settings.Settings
	Policies Policies
	Evidence EvidenceLinks
	Facts    task.Mailbox[peers.Message]
	Clock    clockwork.Clock
	Logger   *slog.Logger
	Metrics  *metrics.Set
}

func provideFront(in frontIn) *Front {
	return NewFront(Environment{
		Host:     model.HostID(in.Settings.HostID),
		Home:     model.DataCentre(in.Settings.DataCentre),
		Policies: in.Policies,
		Evidence: in.Evidence,
		Facts:    in.Facts,
		Clock:    in.Clock,
		Logger:   in.Logger,
		Metrics:  in.Metrics,
	}, in.Settings.RandomSeed)
}

type mailboxesOut struct {
	fx.Out

	Dispatches     task.Mailbox[Dispatch]
	ServerEvents   task.Mailbox[backends.Event]
	Configurations task.Mailbox[*model.Configuration] `group:"configuration_subscribers"`
	Facts          peers.Subscriber                   `group:"fact_subscribers"`
}

func provideMailboxes(front *Front) mailboxesOut {
	return mailboxesOut{
		Dispatches:     front.Dispatches(),
		ServerEvents:   front.ServerEvents(),
		Configurations: front.Configurations(),
		Facts: peers.Subscriber{
			Kinds: []peers.FactKind{
				peers.FactSuspect, peers.FactUsage, peers.FactEvidence, peers.FactWithdrawal,
			},
			Mailbox: front.Facts(),
		},
	}
}
