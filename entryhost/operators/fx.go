package operators

import (
	"crypto/tls"
	"log/slog"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/settings"
	"github.com/lentilpoint/lentilpoint/task"
)

// Module provides the operator API and its net/rpc receiver.
var Module = fx.Module("operators",
	fx.Provide(provideServer, NewPeer, provideGroups),
	task.AsChild[*Server](),
)

type serverIn struct {
	fx.In

	Settings settings.Settings
	Config   task.Mailbox[config.Message]
	Commits  config.Committer
	Events   task.Mailbox[events.Message]
	Recorder events.Recorder
	Objects  platform.Objects
	Peers    task.Mailbox[peers.Message]
	Clock    clockwork.Clock
	Metrics  *metrics.Set
	Logger   *slog.Logger
}

func provideServer(in serverIn) (*Server, error) {
	listener, err := listen(in.Settings.OperatorAddress)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := loadTLSConfig(in.Settings)
	if err != nil {
		return nil, err
	}
	return NewServer(listener, Parameters{
		Self: model.HostID(in.Settings.HostID), Home: model.DataCentre(in.Settings.DataCentre), Tokens: in.Settings.OperatorTokens,
		Config: in.Config, Commits: in.Commits, Events: in.Events, Recorder: in.Recorder, Objects: in.Objects, Peers: in.Peers, PeersOn: in.Settings.PeerAddress != "",
		TLS: tlsConfig, Clock: in.Clock, Metrics: in.Metrics, Logger: in.Logger,
	}), nil
}

func listen(address string) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, Error.New("cannot bind --operator-address: %w; choose a free address of this host", err)
	}
	return listener, nil
}

func loadTLSConfig(values settings.Settings) (*tls.Config, error) {
	if values.OperatorTLSCertificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(values.OperatorTLSCertificate, values.OperatorTLSKey)
	if err != nil {
		return nil, Error.New("cannot load --operator-tls-certificate: %w; check both PEM files", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

type groupsOut struct {
	fx.Out

	Facts    peers.Subscriber `group:"fact_subscribers"`
	Receiver peers.Receiver   `group:"rpc_receivers"`
}

func provideGroups(server *Server, peer *Peer) groupsOut {
	return groupsOut{Facts: server.Subscriber(), Receiver: peer.Receiver()}
}
