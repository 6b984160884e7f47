package callers

import (
	"crypto/rand"
	"log/slog"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/entryhost/memory"
	"github.com/lentilpoint/lentilpoint/entryhost/requests"
	"github.com/lentilpoint/lentilpoint/entryhost/requests/tickets"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/settings"
	"github.com/lentilpoint/lentilpoint/task"
)

// Module provides the caller API.
var Module = fx.Module("callers",
	fx.Provide(provideServer, provideCursors, provideMemory),
	task.AsChild[*Server](),
	task.AsChild[*memory.Budget](),
)

type serverDependencies struct {
	fx.In

	Settings settings.Settings
	Requests task.Mailbox[requests.Command]
	Config   task.Mailbox[config.Message]
	Tickets  tickets.Issuer
	Cursors  Cursors
	Memory   *memory.Budget
	Metrics  *metrics.Set
	Clock    clockwork.Clock
	Logger   *slog.Logger
}

// randomKeyBytes is the length of the cursor key that is generated if none is
// set.
const randomKeyBytes = 32

// provideCursors uses the keys of the settings, or a random key that only this
// entry host knows.
func provideCursors(values settings.Settings, logger *slog.Logger) (Cursors, error) {
	keys, err := settings.ParseCursorKeys(values.CursorKeys)
	if err != nil {
		return Cursors{}, Error.Wrap(err)
	}
	if len(keys) == 0 {
		logger.Warn("no --cursor-keys are set; callers can only reconnect to this entry host", eventcode.CursorKeyRandom.Attr())
		key := make([]byte, randomKeyBytes)
		// crypto/rand never fails.
		_, _ = rand.Read(key)
		keys = []settings.CursorKey{{ID: "random", Key: key}}
	}
	return NewCursors(keys), nil
}

func provideMemory(values settings.Settings, clock clockwork.Clock, set *metrics.Set, logger *slog.Logger) *memory.Budget {
	return memory.NewBudget(values.Limits(), clock, set, logger)
}

func provideServer(dependencies serverDependencies) (*Server, error) {
	listener, err := net.Listen("tcp", dependencies.Settings.CallerAddress)
	if err != nil {
		return nil, Error.New("cannot bind --caller-address: %w; choose a free address of this host", err)
	}
	return NewServer(listener, Parameters{
		Requests: dependencies.Requests,
		Config:   dependencies.Config,
		Tickets:  dependencies.Tickets,
		Cursors:  dependencies.Cursors,
		Memory:   dependencies.Memory,
		Metrics:  dependencies.Metrics,
		Clock:    dependencies.Clock,
		Logger:   dependencies.Logger,
	}), nil
}
