package config

import (
	"log/slog"

	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/settings"
	"github.com/lentilpoint/lentilpoint/task"
)

// Module provides the configuration store.
var Module = fx.Module("config",
	fx.Provide(provideStore, (*Store).Messages),
	task.AsChild[*Store](),
)

type storeIn struct {
	fx.In

	Table       platform.Table
	Clock       clockwork.Clock
	Settings    settings.Settings
	Logger      *slog.Logger
	Subscribers []task.Mailbox[*model.Configuration] `group:"configuration_subscribers"`
}

func provideStore(in storeIn) *Store {
	return NewStore(in.Table, in.Clock, in.Settings.ConfigInterval, in.Logger, in.Subscribers...)
}
