package relay

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/thejerf/suture/v4"
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/entryhost/memory"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/catalog"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/forward"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/ingress"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/loads"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/mirror"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/moves"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/peering"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/reload"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/roster"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/suspects"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/task"
)

// Adapter connects the relay to the platform that it runs on.
type Adapter struct {
	Store   mirror.Store
	Roster  roster.Store
	Moves   moves.Store
	Stops   suspects.StopStore
	Decoder catalog.Decoder
	Hosts   roster.Decoder
	Callers ingress.Protocol
	Servers exchange.Protocol
	// NewProber returns the client of engines, which claims the memory of their responses.
	NewProber func(memory.Granter) dispatch.Prober
	Codec     forward.Codec
	// OrdersTable is the table that the operator writes.
	OrdersTable string
	// RegistrationsTable is the table that servers register in.
	RegistrationsTable string
	// HostsTable is the table of the entry hosts.
	HostsTable string
	// SetStoreAddress changes the address that the clients of the store use.
	SetStoreAddress func(address string)
}

// Module provides the supervision tree of a relay. It needs Settings, an Adapter, a
// reload.Source, a clock, a metrics set and a logger.
var Module = fx.Module("relay",
	fx.Provide(
		provideSockets, loads.NewTask, provideDispatcher, provideSuspects, provideMover, provideCatalog, provideRoster, provideMirrors,
		provideForwarder, provideMemory, provideHoldings, provideFront, provideRoot,
	),
)

// sockets holds the listening sockets, which are bound before any task runs.
type sockets struct {
	front, ready, peers, metrics net.Listener
}

func provideSockets(settings Settings) (sockets, error) {
	var bound sockets
	for _, socket := range []struct {
		address string
		target  *net.Listener
	}{
		{settings.FrontAddress, &bound.front}, {settings.ReadyAddress, &bound.ready},
		{settings.PeerAddress, &bound.peers}, {settings.MetricsAddress, &bound.metrics},
	} {
		if socket.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", socket.address)
		if err != nil {
			return bound, Error.New("cannot listen on %s: %w; free the port or correct the settings", socket.address, err)
		}
		*socket.target = listener
	}
	return bound, nil
}

// newRandom returns a random source for the use of one task.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func provideDispatcher(settings Settings, adapter Adapter, collector *loads.Task, budget *memory.Budget, clock clockwork.Clock, set *metrics.Set, logger *slog.Logger) *dispatch.Task {
	return dispatch.NewTask(dispatch.Parameters{
		Self: settings.PeerAddress, DataCentre: settings.DataCentre, Protocol: adapter.Servers, Prober: adapter.NewProber(budget),
		Borrower: peering.BudgetBorrower{DataCentre: settings.DataCentre, Self: settings.PeerAddress}, Budget: settings.Budget, Clock: clock,
		Locator: peering.PromptLocator{},
		Loads:   peering.LoadExchanger{Self: settings.PeerAddress, Mailbox: collector.Mailbox()},
		Random:  newRandom(), Metrics: set, Logger: logger,
	})
}

func provideSuspects(settings Settings, adapter Adapter, clock clockwork.Clock, set *metrics.Set, logger *slog.Logger) *suspects.Task {
	return suspects.NewTask(suspects.Parameters{
		Self: settings.PeerAddress, Seeds: settings.SeedList(), Peers: peering.SuspectReporter{}, Store: adapter.Stops, RefusesConnections: exchange.RefusesConnections, Clock: clock, Metrics: set, Logger: logger,
	})
}

func provideMover(settings Settings, adapter Adapter, clock clockwork.Clock, set *metrics.Set, logger *slog.Logger, dispatcher *dispatch.Task, hosts *roster.Task) *moves.Mover {
	return moves.NewMover(moves.Parameters{
		Self: settings.PeerAddress, Store: adapter.Moves, Peers: newPeers(settings, hosts), Traffic: dispatch.Traffic{Dispatcher: dispatcher.Mailbox()},
		Limits: settings.Exposure, Clock: clock, Metrics: set, Logger: logger,
	})
}

func provideCatalog(adapter Adapter, clock clockwork.Clock, set *metrics.Set, logger *slog.Logger, dispatcher *dispatch.Task, mover *moves.Mover) *catalog.Task {
	return catalog.NewTask(adapter.Decoder, clock, set, logger, dispatcher.Views(), mover.Views())
}

func provideRoster(settings Settings, adapter Adapter, clock clockwork.Clock, logger *slog.Logger, dispatcher *dispatch.Task, suspected *suspects.Task) *roster.Task {
	self := routing.Host{Name: settings.HostName, Address: settings.PeerAddress, DataCentre: settings.DataCentre}
	return roster.NewTask(self, adapter.Roster, adapter.Hosts, clock, logger, dispatcher.Hosts(), suspected.Hosts())
}

// mirrors holds the followers of the tables that the relay reads.
type mirrors struct {
	orders, registrations, hosts *mirror.Follower
}

// The paces of the followers. Configuration has 2 s to come into force over up to
// three hosts, and a registration as draining has the same time; the longest delay in the
// place of a host that gets no answer leaves 0.35 s for the hosts that take over. A lost
// server is noticed by its attempts before its registration ends, and a host that is not
// listed yet only gets no requests of its peers.
var (
	ordersPace        = mirror.Pace{Hold: time.Second, AfterStore: 100 * time.Millisecond, AfterPeer: 50 * time.Millisecond}
	registrationsPace = mirror.Pace{Hold: time.Second, AfterStore: 250 * time.Millisecond, AfterPeer: 50 * time.Millisecond}
	hostsPace         = mirror.Pace{Hold: 4 * time.Second, AfterStore: 2 * time.Second, AfterPeer: 2 * time.Second}
)

// rosterTimeout bounds the wait for the list of entry hosts.
const rosterTimeout = 100 * time.Millisecond

// newPeers returns the client of the other entry hosts.
func newPeers(settings Settings, hosts *roster.Task) *peering.Peers {
	return &peering.Peers{
		DataCentre: settings.DataCentre, Self: settings.PeerAddress, Region: settings.Region(), Seeds: settings.SeedList(),
		Hosts: func(ctx context.Context) []routing.Host {
			ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
			defer cancel()
			// After an error the list is empty, so the seeds are queried.
			known, _ := task.Call(ctx, hosts.Mailbox(), func(reply task.Reply[[]routing.Host]) roster.HostsRequest {
				return roster.HostsRequest{Reply: reply}
			})
			return known
		},
	}
}

func provideMirrors(settings Settings, adapter Adapter, clock clockwork.Clock, set *metrics.Set, logger *slog.Logger, view *catalog.Task, hosts *roster.Task) mirrors {
	peers := newPeers(settings, hosts)
	follow := func(table string, pace mirror.Pace, subscriber mirror.Subscriber) *mirror.Follower {
		return mirror.NewFollower(mirror.Parameters{
			Table: table, Pace: pace, Store: adapter.Store, Peers: peers, Clock: clock, Random: newRandom(), Metrics: set, Logger: logger,
		}, subscriber)
	}
	return mirrors{
		orders:        follow(adapter.OrdersTable, ordersPace, view.Orders()),
		registrations: follow(adapter.RegistrationsTable, registrationsPace, view.Registrations()),
		hosts:         follow(adapter.HostsTable, hostsPace, hosts.Snapshots()),
	}
}

func provideForwarder(adapter Adapter, clock clockwork.Clock, set *metrics.Set, logger *slog.Logger, dispatcher *dispatch.Task, suspected *suspects.Task, budget *memory.Budget) *forward.Forwarder {
	return &forward.Forwarder{Dispatcher: dispatcher.Mailbox(), Suspects: suspected.Mailbox(), Codec: adapter.Codec, Memory: budget, Clock: clock, Metrics: set, Logger: logger}
}

func provideMemory(settings Settings, clock clockwork.Clock, set *metrics.Set, logger *slog.Logger) *memory.Budget {
	return memory.NewBudget(settings.Memory.Complete(), clock, set, logger)
}

func provideHoldings(set *metrics.Set, budget *memory.Budget) *ingress.Holdings {
	return ingress.NewHoldings(ingress.NewHeldBudget(budget), set)
}

func provideFront(settings Settings, bound sockets, adapter Adapter, clock clockwork.Clock, set *metrics.Set, logger *slog.Logger, view *catalog.Task, forwarder *forward.Forwarder, budget *memory.Budget, holdings *ingress.Holdings) (*ingress.Front, ingress.Parameters) {
	parameters := ingress.Parameters{Protocol: adapter.Callers, StopGracePeriod: settings.StopGracePeriod, DeregistrationDelay: settings.DeregistrationDelay, Catalog: view.Mailbox(), Forwarder: forwarder, Memory: budget, Holdings: holdings.Mailbox(), Clock: clock, Metrics: set, Logger: logger}
	return ingress.NewFront(bound.front, parameters), parameters
}

type rootIn struct {
	fx.In

	Adapter    Adapter
	Sockets    sockets
	Dispatcher *dispatch.Task
	Suspects   *suspects.Task
	Loads      *loads.Task
	Mover      *moves.Mover
	Catalog    *catalog.Task
	Roster     *roster.Task
	Mirrors    mirrors
	Memory     *memory.Budget
	Front      *ingress.Front
	Holdings   *ingress.Holdings
	Parameters ingress.Parameters
	Settings   Settings
	Reload     reload.Source[Settings]
	Clock      clockwork.Clock
	Logger     *slog.Logger
}

// provideRoot builds the supervisor with all tasks. A task that fails is restarted
// alone; requests in flight keep their connections.
func provideRoot(in rootIn) *suture.Supervisor {
	root := task.NewSupervisor("relay", task.DefaultRestartPolicy, in.Logger)
	root.Add(in.Dispatcher)
	root.Add(in.Suspects)
	root.Add(in.Loads)
	root.Add(in.Mover)
	root.Add(in.Catalog)
	root.Add(in.Roster)
	root.Add(in.Mirrors.orders)
	root.Add(in.Mirrors.registrations)
	root.Add(in.Mirrors.hosts)
	root.Add(in.Memory)
	root.Add(in.Front)
	root.Add(in.Holdings)
	root.Add(reload.NewTask(in.Settings, in.Reload, in.applySettings, in.Clock, in.Logger))
	root.Add(ingress.NewStatus("readiness", in.Sockets.ready, in.Parameters, in.Front.Draining()))
	if in.Sockets.metrics != nil {
		root.Add(ingress.NewStatus("metrics", in.Sockets.metrics, in.Parameters, in.Front.Draining()))
	}
	if in.Sockets.peers != nil {
		table := memory.NewTable("peers", in.Memory.Limits().PeerConnections(), in.Clock, in.Parameters.Metrics, in.Logger)
		root.Add(peering.NewListener(in.Sockets.peers, in.Memory, table, map[string]task.Mailbox[mirror.ChangesRequest]{
			in.Adapter.OrdersTable:        in.Mirrors.orders.Mailbox(),
			in.Adapter.RegistrationsTable: in.Mirrors.registrations.Mailbox(),
			in.Adapter.HostsTable:         in.Mirrors.hosts.Mailbox(),
		}, in.Dispatcher.Mailbox(), in.Suspects.Mailbox(), in.Loads.Mailbox(), in.Mover.Requests()))
	}
	return root
}

// applySettings applies the settings that can change while the host runs: the
// address of the store and the retry budget. All others need a restart.
func (in rootIn) applySettings(ctx context.Context, settings Settings) {
	in.Adapter.SetStoreAddress(settings.StoreAddress)
	if err := in.Dispatcher.Mailbox().Send(ctx, dispatch.SetBudget{Budget: settings.Budget}); err != nil {
		in.Logger.Warn("new retry budget could not be applied", eventcode.SettingsRejected.Attr(), "error", err)
	}
}
