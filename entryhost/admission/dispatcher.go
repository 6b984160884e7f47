package admission

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// dispatcherMailboxSize bounds the messages that wait for a dispatcher. A
	// full mailbox makes requests wait until their deadline.
	dispatcherMailboxSize = 1024
	// queueLimit bounds the dispatches that wait for a server of one service;
	// more are refused with reason queue_full.
	queueLimit = 2048
	// sweepInterval is how often waiting dispatches are judged again. It is a
	// quarter of the 100 ms within which a refusal follows its cause.
	sweepInterval = 25 * time.Millisecond
	// upkeepInterval is how often state with a lifetime is looked through.
	upkeepInterval = time.Second
	// defaultFirstTokenTimeout and defaultTokenTimeout are the progress limits
	// before gaps have been observed.
	defaultFirstTokenTimeout = 2 * time.Second
	defaultTokenTimeout      = time.Second
)

// Environment is what the tasks of this package share: values that no task
// changes, and the entrance to the membership task.
type Environment struct {
	Host     model.HostID
	Home     model.DataCentre
	Policies Policies
	Evidence EvidenceLinks
	Facts    task.Mailbox[peers.Message]
	Clock    clockwork.Clock
	Logger   *slog.Logger
	Metrics  *metrics.Set
}

// Dispatcher is the task that assigns the requests of one service to servers.
type Dispatcher struct {
	service  model.ServiceName
	home     model.DataCentre
	messages task.Mailbox[Message]
	facts    task.Mailbox[peers.Message]
	policies Policies
	random   *rand.Rand
	clock    clockwork.Clock
	logger   *slog.Logger
	metrics  *metrics.Set
	counters map[counterKey]*metrics.Counter

	configuration *model.Configuration
	evidence      *moveEvidence
	servers       map[model.ServerID]*serverSlots
	// flights holds the assignments in progress. It is what a restart keeps; the
	// counts by server and organisation are derived from it.
	flights map[DispatchID]*flight
	open    map[model.OrganisationID]int
	nextID  DispatchID
	// failures holds how the last attempt of a request ended, to count the reason
	// of a retry.
	failures map[model.RequestID]failure
	// handling is the dispatch in work, to be refused if the task fails on it.
	handling *Dispatch

	queue *FairQueue
	// deferred holds resumed dispatches that wait for the retry budget.
	deferred []Waiting
	// isolated holds suspect dispatches that wait to run alone.
	isolated []Waiting

	rate       ServiceRate
	work       WorkTime
	budget     *RetryBudget
	suspects   *SuspectTable
	usage      *UsageTable
	nextDeath  DeathID
	upkeepAt   time.Time
	usageSent  bool
	balance    Balance
	candidates []Candidate
	scored     []Scored
}

// flight is an assignment in progress.
type flight struct {
	request Request
	server  model.ServerID
	started time.Time
	// charged is the virtual time charged to the organisation.
	charged float64
	// cancelled is closed when the request ended; its Done follows shortly.
	cancelled <-chan struct{}
	endedAt   time.Time
	// alone marks a suspect on the server set apart, cleared one that has been
	// proven harmless there.
	alone   bool
	cleared bool
}

// failure is the end of an attempt that may be followed by another.
type failure struct {
	outcome Outcome
	at      time.Time
}

// NewDispatcher returns the dispatcher task of one service.
func NewDispatcher(service model.ServiceName, environment Environment, random *rand.Rand) *Dispatcher {
	return &Dispatcher{
		service:  service,
		home:     environment.Home,
		messages: task.NewMailbox[Message](dispatcherMailboxSize),
		facts:    environment.Facts,
		policies: environment.Policies,
		random:   random,
		clock:    environment.Clock,
		logger:   environment.Logger,
		metrics:  environment.Metrics,
		counters: make(map[counterKey]*metrics.Counter),
		servers:  make(map[model.ServerID]*serverSlots),
		flights:  make(map[DispatchID]*flight),
		open:     make(map[model.OrganisationID]int),
		failures: make(map[model.RequestID]failure),
		queue:    environment.Policies.newQueue(),
		budget:   NewRetryBudget(environment.Clock.Now()),
		suspects: NewSuspectTable(environment.Host),
		usage:    NewUsageTable(),
		balance:  Balance{Step: 1},
	}
}

// String names the task in the logs.
func (d *Dispatcher) String() string { return "dispatcher/" + string(d.service) }

// Serve handles messages until the context ends. After a panic it refuses the
// waiting dispatches as not run, keeps the assignments in progress, whose
// requests still report Done, and derives the counts from them again.
func (d *Dispatcher) Serve(ctx context.Context) error {
	d.refuseAll()
	d.recount()
	ticker := d.clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.refuseAll()
			return nil
		case <-ticker.Chan():
			d.sweep()
			d.evidence.share(d.clock.Now())
		case message := <-d.messages.C():
			d.handle(message)
		}
		d.assignWaiting()
	}
}

func (d *Dispatcher) handle(message Message) {
	switch message := message.(type) {
	case Dispatch:
		d.handling = &message
		d.enqueue(message)
		d.handling = nil
	case Done:
		d.finish(message)
		d.evidence.observe(d.clock.Now(), message)
	case Progressed:
		d.clearProgressed(message)
	case ServerEvent:
		d.applyServerEvent(message.Event)
	case ConfigurationChange:
		d.configuration = message.Configuration
		d.evidence.configure(message.Configuration)
	case FactReceived:
		d.learn(message.Fact)
	}
}

// enqueue decides whether a request may wait, and where.
func (d *Dispatcher) enqueue(dispatch Dispatch) {
	now := d.clock.Now()
	request := &dispatch.Request
	if fault := d.admit(now, request); fault != nil {
		d.refuse(dispatch, fault)
		return
	}
	if request.Version == "" {
		request.Version = d.chooseVersion()
	}
	if request.Resume {
		d.countRetry(request.ID)
	}
	waiting := Waiting{Dispatch: dispatch, Since: now}
	switch {
	case d.verdict(request) == VerdictSuspect:
		d.isolate(waiting)
	case request.Resume && !d.mayRetry(now, request):
		d.deferred = append(d.deferred, waiting)
	default:
		if !request.Resume {
			d.budget.Earn()
		}
		d.queue.Push(waiting)
	}
}

// admit decides whether a request may wait at all.
func (d *Dispatcher) admit(now time.Time, request *Request) *model.Fault {
	if !now.Before(request.Deadline) {
		return deadlinePassed()
	}
	if d.verdict(request) == VerdictRefuse {
		return suspectRefused()
	}
	if request.Resume {
		return nil
	}
	owned := d.queue.Owned(request.Organisation)
	open := owned + d.open[request.Organisation] + d.usage.Elsewhere(request.Organisation)
	if request.MaxOpen > 0 && open >= request.MaxOpen {
		return quotaReached(request.MaxOpen)
	}
	if d.queue.Len() >= queueLimit {
		return queueFull(d.service)
	}
	if d.policies.FirstComeFirstServed {
		return nil
	}
	if owned >= queueRoom(d.queue.Len()) {
		return queueFull(d.service)
	}
	return d.reachable(now, request, owned)
}

// reachable refuses a request whose deadline cannot be met in the present queue.
func (d *Dispatcher) reachable(now time.Time, request *Request, owned int) *model.Fault {
	if d.queue.Len() == 0 {
		return nil
	}
	wait := d.rate.Wait(fairPosition(d.queue.Len(), owned, d.queue.Active()))
	needed := wait + d.work.Expect(request.Cost)
	if now.Add(needed).After(request.Deadline) {
		return deadlineUnreachable(needed)
	}
	return nil
}

// verdict judges the request's history. Calls to plain services are left out:
// their fingerprint does not cover the body, so different calls share one.
func (d *Dispatcher) verdict(request *Request) SuspectLevel {
	if d.policies.BlindRetry || !d.isEngine() {
		return VerdictClear
	}
	return d.suspects.Verdict(request.Fingerprint)
}

func (d *Dispatcher) isEngine() bool {
	return d.configuration != nil && d.configuration.Services[d.service].Kind == model.ServiceEngine
}

func (d *Dispatcher) mayRetry(now time.Time, request *Request) bool {
	return d.policies.BlindRetry || d.budget.Spend(now, request.Organisation)
}

// chooseVersion draws a version by the shares in force.
func (d *Dispatcher) chooseVersion() model.Version {
	if d.configuration == nil {
		return ""
	}
	shares := d.evidence.shares(d.configuration.Services[d.service].Shares)
	draw := d.random.IntN(model.FullShare)
	for _, share := range shares {
		if draw < share.Share {
			return share.Version
		}
		draw -= share.Share
	}
	return ""
}

func (d *Dispatcher) refuse(dispatch Dispatch, fault *model.Fault) {
	d.count("refusals", string(fault.Reason))
	dispatch.Reply.Send(DispatchResult{Fault: fault})
}

// counterKey names a counter of this service.
type counterKey struct{ name, reason string }

// count increments lentilpoint_admission_NAME_total for a reason.
func (d *Dispatcher) count(name, reason string) {
	key := counterKey{name: name, reason: reason}
	counter := d.counters[key]
	if counter == nil {
		counter = d.metrics.GetOrCreateCounter(
			fmt.Sprintf("lentilpoint_admission_%s_total{service=%q,reason=%q}", name, d.service, reason))
		d.counters[key] = counter
	}
	counter.Inc()
}

// countRetry counts a resumed attempt by the way the one before it ended.
func (d *Dispatcher) countRetry(id model.RequestID) {
	last := d.failures[id]
	delete(d.failures, id)
	d.count("retries", string(last.outcome))
}

// refuseAll refuses what waits, including the dispatch on which the task failed.
func (d *Dispatcher) refuseAll() {
	if d.handling != nil {
		d.logger.Error("dispatcher failed on a request", eventcode.DispatcherFailed.Attr(),
			"service", d.service, "request", d.handling.Request.ID)
		d.refuse(*d.handling, taskFailed(d.service))
		d.handling = nil
	}
	for _, waiting := range append(d.deferred, d.isolated...) {
		d.refuse(waiting.Dispatch, taskFailed(d.service))
	}
	d.deferred, d.isolated = nil, nil
	waitingWork := d.queue
	d.queue = d.policies.newQueue()
	waitingWork.Each(func(waiting Waiting) { d.refuse(waiting.Dispatch, taskFailed(d.service)) })
}
