package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/catalog"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// waiterInterval is how often requests that wait for a server look again.
	waiterInterval = 25 * time.Millisecond
	// probeTimeout bounds a question to an engine, which answers without a slot.
	probeTimeout = 200 * time.Millisecond
	// onceIdle is the longest idle time of a connection that carries a request
	// that must not be lost with it.
	onceIdle = 3 * time.Second
	// keepMargin is taken off the time that a server keeps idle connections.
	keepMargin = 500 * time.Millisecond
	// connectionShare is this host's part of the connections that its fair share
	// of a server's limit allows; the rest absorbs uneven load of hosts.
	connectionShare = 0.8
	// sharersMin is the number of entry hosts that is assumed until the list of
	// hosts was read; the smallest installation has six.
	sharersMin = 6
	// connectionsMin is the number that a host may always have.
	connectionsMin = 2
)

// Parameters are what the dispatcher is built from.
type Parameters struct {
	// Self is the address of this host among the entry hosts, DataCentre its data centre.
	Self       string
	DataCentre string
	Protocol   exchange.Protocol
	Prober     Prober
	Lender     Lender
	Budget     BudgetTerms
	Clock      clockwork.Clock
	Random     *rand.Rand
	Metrics    *metrics.Set
	Logger     *slog.Logger
}

// idleConnection may be used until the server closes it.
type idleConnection struct {
	connection *exchange.Connection
	since      time.Time
	until      time.Time
}

// serverState is what the dispatcher knows of one server.
type serverState struct {
	server   *routing.Server
	standing standing
	inFlight int
	// decoding are the attempts in flight that have sent an event.
	decoding int
	copies   int
	open     int
	idle     []idleConnection
	// checks wait for the running question; nil if none runs.
	checks []task.Reply[Verdict]
	list   cacheList
}

// use is one lease.
type use struct {
	server *serverState
	// backup gets a copy of the run's cache from the server, and ordered one that
	// was ordered; either may be nil. copyLost is told when one is lost, or nil.
	backup   *serverState
	ordered  *serverState
	copyLost chan<- string
	// service is that of the request.
	service string
	// repeat tells that the attempt was paid from the retry budget, decoding
	// that it has sent an event.
	repeat   bool
	decoding bool
}

// Task is the dispatcher.
type Task struct {
	Parameters

	mailbox task.Mailbox[Message]
	views   task.Mailbox[*catalog.View]
	hosts   task.Mailbox[[]routing.Host]
	reports task.Mailbox[exchange.Report]

	built time.Time
	view  *catalog.View
	// losses are what attempts showed of whole data centres, by service and data centre.
	losses map[place]loss
	// adopted are restarted engines that are not registered yet, by id.
	adopted map[string]adoption
	// owners tells which servers of the data centre this host prefers.
	owners ownership
	// sharers is the number of entry hosts, which share budgets and limits.
	sharers int
	// peers are the other entry hosts.
	peers   []routing.Host
	servers map[string]*serverState
	leases  map[Lease]use
	last    Lease
	budgets map[string]*budget
	// versions are the moves that a stage was set for, by service.
	versions map[string]*versions
	waiting  []Acquire
	// searches are the prompts that are being looked for.
	searches []*search
}

// NewTask returns the dispatcher.
func NewTask(parameters Parameters) *Task {
	return &Task{
		Parameters: parameters,
		mailbox:    task.NewMailbox[Message](mailboxSize),
		views:      task.NewMailbox[*catalog.View](viewsSize),
		hosts:      task.NewMailbox[[]routing.Host](viewsSize),
		sharers:    sharersMin,
		adopted:    map[string]adoption{},
		losses:     map[place]loss{},
		reports:    task.NewMailbox[exchange.Report](reportsSize),
		built:      parameters.Clock.Now(),
		view:       &catalog.View{},
		servers:    map[string]*serverState{},
		leases:     map[Lease]use{},
		budgets:    map[string]*budget{},
		versions:   map[string]*versions{},
	}
}

// Mailbox takes messages of requests.
func (t *Task) Mailbox() task.Mailbox[Message] { return t.mailbox }

// Views takes views of the catalog.
func (t *Task) Views() task.Mailbox[*catalog.View] { return t.views }

// Hosts takes lists of the other entry hosts.
func (t *Task) Hosts() task.Mailbox[[]routing.Host] { return t.hosts }

// String names the task in the logs.
func (t *Task) String() string { return "dispatcher" }

// Serve dispatches until the context ends.
func (t *Task) Serve(ctx context.Context) error {
	for {
		var look <-chan time.Time
		if len(t.waiting) > 0 {
			look = t.Clock.After(waiterInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case message := <-t.mailbox.C():
			t.handle(ctx, message)
		case view := <-t.views.C():
			t.takeView(view)
			t.retryWaiting(ctx)
		case hosts := <-t.hosts.C():
			t.sharers = max(sharersMin, len(hosts)+1)
			t.peers = hosts
			t.owners = newOwnership(t.Self, t.DataCentre, hosts)
		case report := <-t.reports.C():
			t.takeReport(report)
		case <-look:
			t.retryWaiting(ctx)
		}
	}
}

func (t *Task) handle(ctx context.Context, message Message) {
	switch message := message.(type) {
	case Acquire:
		if !t.assign(ctx, message) {
			t.waiting = append(t.waiting, message)
		}
	case Release:
		t.release(ctx, message)
	case Terms:
		t.Budget = message.Budget
		t.budgets = map[string]*budget{}
	case Started:
		t.started(message)
	case SetStage:
		t.setStage(message)
	case Samples:
		t.answerSamples(message)
	case Lend:
		t.lend(message)
	case borrowed:
		t.takeBorrowed(ctx, message)
	case OrderCopy:
		t.orderCopy(ctx, message)
	case DropCopy:
		t.dropCopy(ctx, message)
	case Locate:
		t.locate(ctx, message)
	case listed:
		t.takeList(ctx, message)
	case Check:
		t.check(ctx, message)
	case probed:
		t.finishCheck(message)
	case identified:
		t.adopt(message)
	}
}

// takeView follows the registrations. A server that is gone keeps its state
// while attempts run on it.
func (t *Task) takeView(view *catalog.View) {
	t.view = view
	for id, server := range view.Servers {
		state, found := t.servers[id]
		if !found || !state.server.SameStart(server) {
			if found {
				state.closeIdle()
				t.tellCopyLost(state)
			}
			state = &serverState{}
			t.servers[id] = state
		}
		state.server = server
	}
	t.dropAdopted()
	for id, state := range t.servers {
		if t.known(id) {
			continue
		}
		state.closeIdle()
		t.tellCopyLost(state)
		if state.checks == nil {
			delete(t.servers, id)
		}
	}
}

func (s *serverState) closeIdle() {
	for _, idle := range s.idle {
		idle.connection.Close()
	}
	s.idle = nil
}

// takeReport follows the connections of a server.
func (t *Task) takeReport(report exchange.Report) {
	state, found := t.servers[report.Connection.Server()]
	if !found {
		report.Connection.Close()
		return
	}
	if report.Idle {
		now := t.Clock.Now()
		state.idle = append(state.idle, idleConnection{connection: report.Connection, since: now, until: now.Add(report.IdleTimeout - keepMargin)})
		return
	}
	state.open = max(state.open-1, 0)
	for i, idle := range state.idle {
		if idle.connection == report.Connection {
			state.idle = append(state.idle[:i], state.idle[i+1:]...)
			break
		}
	}
}

func (t *Task) release(ctx context.Context, message Release) {
	granted, found := t.leases[message.Lease]
	if !found {
		return
	}
	delete(t.leases, message.Lease)
	granted.server.inFlight--
	if granted.decoding {
		granted.server.decoding--
	}
	for _, holder := range []*serverState{granted.backup, granted.ordered} {
		if holder != nil {
			holder.copies--
		}
	}
	if granted.repeat && message.Outcome == OutcomeUnreachable {
		t.budgetOf(granted.service).refund(t.uptime())
	}
	t.learn(granted.server, message.Outcome)
	t.sample(granted.server.server, message.Outcome, message.Took)
	if message.Outcome == OutcomeMisdirected && message.Instance != "" {
		t.identify(ctx, granted.server.server, message.Instance)
	}
	t.Metrics.GetOrCreateCounter(`lentilpoint_relay_attempts_total{service="` + granted.service + `",outcome="` + message.Outcome.String() + `"}`).Inc()
}

// started moves an attempt from reading its prompt to sending events.
func (t *Task) started(message Started) {
	granted, found := t.leases[message.Lease]
	if !found || granted.decoding {
		return
	}
	granted.decoding = true
	granted.server.decoding++
	t.leases[message.Lease] = granted
}

// learn updates the standing of a server and logs when it turns.
func (t *Task) learn(state *serverState, outcome Outcome) {
	before := state.standing
	now := t.Clock.Now()
	state.standing = before.learn(outcome, now)
	t.losses[placeOf(state.server)] = t.losses[placeOf(state.server)].learn(state.server.ID, outcome, now)
	if outcome == OutcomeUnreachable || outcome == OutcomeSilent || outcome == OutcomeMisdirected {
		state.closeIdle()
		t.tellCopyLost(state)
	}
	wasGood := before.pause == 0 && !before.stale
	isGood := state.standing.pause == 0 && !state.standing.stale
	if wasGood != isGood {
		t.Logger.Info("server standing changed", eventcode.ServerUsability.Attr(), "server", state.server.ID, "service", state.server.Service,
			"address", state.server.Address, "usable", isGood, "outcome", outcome.String(), "pause_ms", state.standing.pause.Milliseconds())
	}
}
