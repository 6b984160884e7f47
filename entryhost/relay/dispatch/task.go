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
	"github.com/lentilpoint/lentilpoint/entryhost/relay/loads"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/series"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// waitingRetryInterval is how often the dispatcher tries again to assign a
	// server to waiting requests.
	waitingRetryInterval = 25 * time.Millisecond
	// probeTimeout bounds a query to an engine, which answers without occupying
	// a slot.
	probeTimeout = 200 * time.Millisecond
	// maxNotRepeatableIdle is the longest idle time of a connection that is reused
	// for a request that is not repeatable, so that the request is not lost with a
	// stale connection.
	maxNotRepeatableIdle = 3 * time.Second
	// keepAliveMargin is subtracted from the server's keep-alive time.
	keepAliveMargin = 500 * time.Millisecond
	// connectionShare is the part of its fair share of a server's connection
	// limit that this host uses; the rest absorbs uneven load between hosts.
	connectionShare = 0.8
	// minHostCount is the lowest number of entry hosts that is assumed, also until
	// the list of hosts is read; the smallest installation has six.
	minHostCount = 6
	// minConnections is the number of connections to a server that a host may
	// always open.
	minConnections = 2
)

// Parameters are the dependencies and settings of the dispatcher.
type Parameters struct {
	// Self is this host's address among the entry hosts, DataCentre its data
	// centre.
	Self       string
	DataCentre string
	Protocol   exchange.Protocol
	Prober     Prober
	Borrower   BudgetBorrower
	// Locator locates prompts through another host; nil queries the engines.
	Locator PromptLocator
	// Loads shares attempts with the other hosts; nil shares none.
	Loads   LoadExchanger
	Budget  BudgetLimits
	Clock   clockwork.Clock
	Random  *rand.Rand
	Metrics *metrics.Set
	Logger  *slog.Logger
}

// idleConnection is an open connection without a request. It may be reused until
// usableUntil, after which the server may close it.
type idleConnection struct {
	connection  *exchange.Connection
	idleSince   time.Time
	usableUntil time.Time
}

// serverState is the dispatcher's state of one server.
type serverState struct {
	server   *routing.Server
	health   serverHealth
	backoff  serverBackoff
	inFlight int
	// decoding is the number of attempts in flight that have sent an event.
	decoding int
	copies   int
	// owned is set if this host owns the server among the hosts of version ownedSince.
	owned      bool
	ownedSince int
	open       int
	idle       []idleConnection
	// pendingChecks receive the result of the running probe; nil if none runs.
	pendingChecks []task.Reply[CheckResult]
	cache         cacheList
	// copyOwners are the requests whose copies the server has named, by name.
	copyOwners map[string]copyOwner
}

// leaseState is the state of one lease.
type leaseState struct {
	server *serverState
	// backup holds the copy of the run's cache that the server maintains, and
	// copyHolder the one made on request; either may be nil. copyLost receives
	// the id of a holder that is lost; it may be nil.
	backup     *serverState
	copyHolder *serverState
	copyLost   chan<- string
	// service is the request's service, organisation its organisation, and rank its
	// urgency.
	service      string
	organisation string
	rank         int
	// retry is set if the attempt was paid from a retry budget, decoding once it
	// has sent an event.
	retry    bool
	decoding bool
	// route is the request's route. stepStarted is when the step of the response
	// began that the attempt is waiting for; see moves.Sample. fromCopy is set if the
	// attempt continues from a copy of the run's cache and reads no prompt.
	route       string
	stepStarted time.Time
	fromCopy    bool
	// alone is set if the engine read no other prompt when it was chosen.
	alone bool
	// plain is set for calls of plain services.
	plain bool
}

// Task is the dispatcher. It owns the state of all servers.
type Task struct {
	Parameters

	mailbox task.Mailbox[Message]
	views   task.Mailbox[*catalog.View]
	hosts   task.Mailbox[[]routing.Host]
	reports task.Mailbox[exchange.Report]

	// lifetime ends when the task is stopped, but not when the supervisor restarts it
	// after a panic. Connections, probes and calls to other hosts have it as their
	// context, so that a restart neither cuts requests in flight nor loses results.
	lifetime    context.Context
	endLifetime context.CancelFunc

	createdAt time.Time
	view      *catalog.View
	// pools are the recent failures in each data centre of each service.
	pools map[serverPool]poolFailures
	// adopted are restarted engines that are not registered yet, by id.
	adopted map[string]adoption
	// leaving are the servers that have stated that they leave, by id.
	leaving map[string]leavingServer
	// refusing are the servers that have asked for no requests, by id.
	refusing map[string]refusingServer
	// ended holds when registrations ended, by id of the server.
	ended map[string]time.Time
	// ownership decides which servers of the data centre this host owns. It is a new one
	// with each hostsVersion.
	ownership    ownership
	hostsVersion int
	// index holds the known servers by service; nil after a change of them or of the
	// hosts.
	index serverIndex
	// sampled is the memory of the candidates of a decision, which the next one uses
	// again.
	sampled []candidate
	// hostCount is the number of entry hosts, which share retry budgets and
	// connection limits.
	hostCount int
	// peers are the other entry hosts, allHosts those and this one.
	peers    []routing.Host
	allHosts []routing.Host
	// collectors are the hosts of each data centre in the order in which they collect its
	// loads; see loads.Collectors.
	collectors map[string][]string
	// shared are the attempts of other hosts by data centre, and collectorsDown the
	// collectors that failed, with the end of their exclusion.
	shared         map[string]sharedLoads
	collectorsDown map[string]collectorFailure
	// asks are the asks for grants that this host has not acted on, by sequence.
	asks         map[int64]bool
	lastSequence int64
	// speeds are the speeds of engines that this host observed, and firstEvents those
	// that are to be reported to the collector of a data centre, by server.
	speeds      *loads.Speeds
	firstEvents map[string]map[string]loads.FirstEvent
	servers     map[string]*serverState
	leases      map[Lease]leaseState
	lastLease   Lease
	budgets     map[string]*budget
	// failures are the recent failures of engines that are reported to other hosts, by id.
	failures map[string]recentFailures
	// promptTimes are the times in which engines read a prompt, by service.
	promptTimes map[string]promptEstimate
	// moves are the version moves with a stage in force, by service.
	moves   map[string]*moveState
	waiting []Acquire
	// plain are the waiting calls of plain services, and plainServices the services that
	// had calls, by name.
	plain         []Acquire
	plainServices map[string]plainService
	// ownCalls are the calls of plain services that are not reported yet, and shedding what
	// is refused at once.
	ownCalls loads.CallWindow
	shedding map[shedKey]shedding
	// searches are the prompt searches in progress.
	searches []*promptSearch
}

// NewTask returns a dispatcher that knows no servers until the first view.
func NewTask(parameters Parameters) *Task {
	lifetime, endLifetime := context.WithCancel(context.Background())
	return &Task{
		Parameters: parameters,
		lifetime:   lifetime, endLifetime: endLifetime,
		mailbox:    task.NewMailbox[Message](mailboxSize),
		views:      task.NewMailbox[*catalog.View](viewsSize),
		hosts:      task.NewMailbox[[]routing.Host](viewsSize),
		hostCount:  minHostCount,
		allHosts:   []routing.Host{{Address: parameters.Self, DataCentre: parameters.DataCentre}},
		collectors: map[string][]string{},
		asks:       map[int64]bool{}, firstEvents: map[string]map[string]loads.FirstEvent{}, speeds: loads.NewSpeeds(),
		shared: map[string]sharedLoads{}, collectorsDown: map[string]collectorFailure{},
		adopted:       map[string]adoption{},
		ended:         map[string]time.Time{},
		leaving:       map[string]leavingServer{},
		refusing:      map[string]refusingServer{},
		pools:         map[serverPool]poolFailures{},
		reports:       task.NewMailbox[exchange.Report](reportsSize),
		createdAt:     parameters.Clock.Now(),
		view:          &catalog.View{},
		servers:       map[string]*serverState{},
		leases:        map[Lease]leaseState{},
		budgets:       map[string]*budget{},
		moves:         map[string]*moveState{},
		promptTimes:   map[string]promptEstimate{},
		failures:      map[string]recentFailures{},
		plainServices: map[string]plainService{},
		shedding:      map[shedKey]shedding{},
	}
}

// Mailbox receives messages from requests, the mover and peers.
func (t *Task) Mailbox() task.Mailbox[Message] { return t.mailbox }

// Views receives views of the catalog.
func (t *Task) Views() task.Mailbox[*catalog.View] { return t.views }

// Hosts receives lists of the other entry hosts.
func (t *Task) Hosts() task.Mailbox[[]routing.Host] { return t.hosts }

// String returns the task's name in logs.
func (t *Task) String() string { return "dispatcher" }

// Serve handles messages until the context ends. After a panic the supervisor calls
// it again, and the task goes on with the state that it has.
func (t *Task) Serve(ctx context.Context) error {
	loadReports := t.Clock.NewTicker(reportDelay)
	defer loadReports.Stop()
	for {
		var retry, retryPlain <-chan time.Time
		if len(t.waiting) > 0 {
			retry = t.Clock.After(waitingRetryInterval)
		}
		if len(t.plain) > 0 {
			retryPlain = t.Clock.After(t.untilPlainRetry())
		}
		select {
		case <-ctx.Done():
			t.refuseAllPlain()
			t.endLifetime()
			return nil
		case message := <-t.mailbox.C():
			t.handle(t.lifetime, message)
		case view := <-t.views.C():
			t.applyView(view)
			t.retryWaiting(t.lifetime)
			t.retryPlain(t.lifetime)
		case hosts := <-t.hosts.C():
			t.applyHosts(hosts)
		case report := <-t.reports.C():
			t.handleReport(report)
			t.retryPlain(t.lifetime)
		case <-retryPlain:
			t.retryPlain(t.lifetime)
		case <-retry:
			t.retryWaiting(t.lifetime)
		case <-loadReports.Chan():
			t.reportDue(t.lifetime)
			t.publishPlain()
			t.checkLeaving(t.lifetime)
			t.checkAdopted(t.lifetime)
		}
	}
}

func (t *Task) applyHosts(hosts []routing.Host) {
	t.hostCount = max(minHostCount, len(hosts)+1)
	t.peers = hosts
	t.allHosts = append([]routing.Host{{Address: t.Self, DataCentre: t.DataCentre}}, hosts...)
	t.ownership = newOwnership(t.Self, t.DataCentre, hosts)
	t.hostsVersion++
	t.collectors = map[string][]string{}
	t.index = nil
}

func (t *Task) handle(ctx context.Context, message Message) {
	switch message := message.(type) {
	case Acquire:
		t.handleAcquire(ctx, message)
	case loadsExchanged:
		t.handleLoadsExchanged(ctx, message)
	case Release:
		t.handleRelease(ctx, message)
	case SetBudget:
		t.Budget = message.Budget
		t.budgets = map[string]*budget{}
	case FirstEventSent:
		t.handleFirstEventSent(message)
	case EventsSent:
		t.handleEventsSent(message)
	case SetStage:
		t.handleSetStage(message)
	case GetSamples:
		t.handleSamples(message)
	case LendRetry:
		t.handleLend(message)
	case borrowResult:
		t.handleBorrowResult(ctx, message)
	case RequestCopy:
		t.handleCopyRequest(ctx, message)
	case copyMade:
		t.handleCopyMade(message)
	case DropCopy:
		t.handleDropCopy(ctx, message)
	case Locate:
		t.handleLocate(ctx, message)
	case cacheListed:
		t.handleCacheList(ctx, message)
	case ServerLeaving:
		t.handleLeaving(message)
	case ServerRefuses:
		t.handleRefuses(message)
	case leavingCheckDone:
		t.handleLeavingCheck(message)
	case Check:
		t.handleCheck(ctx, message)
	case checkDone:
		t.finishCheck(message)
	case identifyResult:
		t.handleIdentified(message)
	case adoptedChecked:
		t.handleAdoptedChecked(message)
	case Explain:
		message.Reply.Send(t.explain(message.Query))
	}
}

// applyView updates the servers from the registrations. A server that is neither
// registered nor adopted stays in the table while it has attempts or a probe in
// progress, since a server that leaves finishes its runs.
func (t *Task) applyView(view *catalog.View) {
	t.recordEnded(t.view, view)
	t.view = view
	t.index = nil
	for service := range view.Moves {
		t.moveOf(service)
	}
	for id, server := range view.Servers {
		state, found := t.servers[id]
		if !found || !state.server.SameProcess(server) {
			if found {
				state.closeIdle()
				t.notifyCopyLost(state)
			}
			state = &serverState{}
			t.servers[id] = state
		}
		state.server = server
	}
	t.updateLeaving()
	t.updateRefusing()
	t.expireAdoptions()
	for id, state := range t.servers {
		if t.isKnown(id) {
			continue
		}
		state.closeIdle()
		t.notifyCopyLost(state)
		t.forgetUnused(id)
	}
}

// forgetUnused removes a server that is neither registered nor adopted once no attempt
// and no probe of it is in progress.
func (t *Task) forgetUnused(id string) {
	if state, found := t.servers[id]; found && !t.isKnown(id) && state.inFlight == 0 && state.pendingChecks == nil {
		delete(t.servers, id)
	}
}

func (s *serverState) closeIdle() {
	for _, idle := range s.idle {
		idle.connection.Close()
	}
	s.idle = nil
}

// handleReport updates the open and idle connections of a server.
func (t *Task) handleReport(report exchange.Report) {
	state, found := t.servers[report.Connection.Server()]
	if !found || report.Idle && (!t.isKnown(report.Connection.Server()) || t.isLeaving(report.Connection.Server())) {
		report.Connection.Close()
		return
	}
	if report.Idle {
		now := t.Clock.Now()
		state.idle = append(state.idle, idleConnection{connection: report.Connection, idleSince: now, usableUntil: now.Add(report.IdleTimeout - keepAliveMargin)})
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

func (t *Task) handleRelease(ctx context.Context, message Release) {
	granted, found := t.leases[message.Lease]
	if !found {
		return
	}
	delete(t.leases, message.Lease)
	granted.server.inFlight--
	if granted.decoding {
		granted.server.decoding--
	}
	for _, holder := range []*serverState{granted.backup, granted.copyHolder} {
		if holder != nil {
			holder.copies--
		}
	}
	if granted.retry && (message.Unused || message.Outcome == OutcomeUnreachable) {
		t.budgetOf(granted.service).refund(t.uptime())
	}
	t.markLoadChanged(granted.server.server)
	failureRate := granted.server.health.failureRate
	t.recordOutcome(granted.server, message.Outcome)
	t.recordFailure(granted.server.server, message.Outcome)
	if granted.plain && message.Outcome == OutcomeRejected {
		// A full server is no failing one; the backoff decides when it is asked again.
		granted.server.health.failureRate = failureRate
	}
	t.recordEnd(granted, message.Outcome, message.Latency)
	t.forgetUnused(granted.server.server.ID)
	if message.Outcome == OutcomeMisdirected && message.Instance != "" {
		t.identify(ctx, granted.server.server, message.Instance)
	}
	t.Metrics.GetOrCreateCounter(series.Name("lentilpoint_relay_attempts_total", "service", granted.service, "outcome", message.Outcome.String())).Inc()
	if granted.plain {
		t.endPlain(ctx, granted, message)
	}
}

// handleFirstEventSent counts an attempt as decoding instead of reading its
// prompt.
func (t *Task) handleFirstEventSent(message FirstEventSent) {
	granted, found := t.leases[message.Lease]
	if !found || granted.decoding {
		return
	}
	t.recordAnswer(granted)
	t.observeFirstEvent(granted)
	t.recordSpeed(granted)
	granted.decoding, granted.stepStarted = true, t.Clock.Now()
	granted.server.decoding++
	t.leases[message.Lease] = granted
	t.markLoadChanged(granted.server.server)
}

// recordOutcome updates the health of a server and of its pool, and logs when
// the server becomes usable or unusable.
func (t *Task) recordOutcome(state *serverState, outcome Outcome) {
	before := state.health
	now := t.Clock.Now()
	state.health = before.update(outcome, now)
	t.pools[poolOf(state.server)] = t.pools[poolOf(state.server)].update(state.server.ID, outcome, now)
	if outcome == OutcomeUnreachable || outcome == OutcomeSilent || outcome == OutcomeMisdirected {
		state.closeIdle()
		t.notifyCopyLost(state)
	}
	wasUsable := before.pause == 0 && !before.stale
	isUsable := state.health.pause == 0 && !state.health.stale
	if wasUsable != isUsable {
		t.Logger.Info("server health changed", eventcode.ServerUsability.Attr(), "server", state.server.ID, "service", state.server.Service,
			"address", state.server.Address, "usable", isUsable, "outcome", outcome.String(), "pause_ms", state.health.pause.Milliseconds())
	}
}
