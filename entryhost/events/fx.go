package events

import (
	"log/slog"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/settings"
	"github.com/lentilpoint/lentilpoint/task"
)

// Module provides the journal and the recorder.
var Module = fx.Module("events",
	fx.Provide(provideJournal, (*Journal).Messages, func(journal *Journal) Recorder { return journal }),
	task.AsChild[*Journal](),
)

func provideJournal(values settings.Settings, objects platform.Objects, clock clockwork.Clock, set *metrics.Set, logger *slog.Logger) *Journal {
	return NewJournal(model.HostID(values.HostID), objects, clock, set, logger)
}
