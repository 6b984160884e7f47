package callers

import (
	"log/slog"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/entryhost/requests"
	"github.com/lentilpoint/lentilpoint/entryhost/requests/tickets"
	"github.com/lentilpoint/lentilpoint/settings"
	"github.com/lentilpoint/lentilpoint/task"
)

// Module provides the caller API.
var Module = fx.Module("callers",
	fx.Provide(provideServer),
	task.AsChild[*Server](),
)

type serverIn struct {
	fx.In

	Settings settings.Settings
	Requests task.Mailbox[requests.Command]
	Config   task.Mailbox[config.Message]
	Tickets  tickets.Issuer
	Metrics  *metrics.Set
	Clock    clockwork.Clock
	Logger   *slog.Logger
}

func provideServer(in serverIn) (*Server, error) {
	listener, err := net.Listen("tcp", in.Settings.CallerAddress)
	if err != nil {
		return nil, Error.New("cannot bind --caller-address: %w; choose a free address of this host", err)
	}
	return NewServer(listener, Parameters{
		Requests: in.Requests,
		Config:   in.Config,
		Tickets:  in.Tickets,
		Metrics:  in.Metrics,
		Clock:    in.Clock,
		Logger:   in.Logger,
	}), nil
}
