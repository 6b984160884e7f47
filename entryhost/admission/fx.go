package admission

import (
	"log/slog"

	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/settings"
	"github.com/lentilpoint/lentilpoint/task"
)

// Module provides the front task and its mailboxes.
var Module = fx.Module("admission",
	fx.Provide(provideFront, provideMailboxes),
	task.AsChild[*Front](),
	evidenceModule,
)

func provideFront(values settings.Settings, links EvidenceLinks, clock clockwork.Clock, logger *slog.Logger) *Front {
	front := NewFront(model.DataCentre(values.DataCentre), DefaultRouter(), values.RandomSeed, clock, logger)
	front.UseEvidence(links)
	return front
}

type mailboxesOut struct {
	fx.Out

	Dispatches     task.Mailbox[Dispatch]
	ServerEvents   task.Mailbox[backends.Event]
	Configurations task.Mailbox[*model.Configuration] `group:"configuration_subscribers"`
}

func provideMailboxes(front *Front) mailboxesOut {
	return mailboxesOut{
		Dispatches:     front.Dispatches(),
		ServerEvents:   front.ServerEvents(),
		Configurations: front.Configurations(),
	}
}
