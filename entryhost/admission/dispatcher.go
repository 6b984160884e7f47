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
	// dispatcherMailboxSize bounds the messages not yet handled by a dispatcher.
	// While the mailbox is full, the front refuses dispatches as queue_full, drops
	// facts and blocks on server events, and requests wait to send Done.
	dispatcherMailboxSize = 1024
	// maxQueueLength bounds the dispatches that wait for a server of one service;
	// further ones are refused with reason queue_full.
	maxQueueLength = 2048
	// sweepInterval is the time between checks of all waiting dispatches. It is a
	// quarter of the 100 ms within which a refusal must follow its cause.
	sweepInterval = 25 * time.Millisecond
	// maintenanceInterval is the time between removals of expired state and
	// between publications of this host's usage.
	maintenanceInterval = time.Second
	// defaultFirstTokenTimeout and defaultTokenTimeout are the progress timeouts in
	// every assignment.
	defaultFirstTokenTimeout = 2 * time.Second
	defaultTokenTimeout      = time.Second
)

// Environment holds what the tasks of this package share: values that no task
// changes, and mailboxes of other tasks.
type Environment struct {
	Host model.HostID
	// Home is the data centre of this entry host.
	Home     model.DataCentre
	Policies Policies
	Evidence EvidenceLinks
	// Facts is the mailbox of the membership task, which publishes facts.
	Facts   task.Mailbox[peers.Message]
	Clock   clockwork.Clock
	Logger  *slog.Logger
	Metrics *metrics.Set
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
	// assignments holds the assignments in progress. It outlives a restart of the
	// task; the counts by server and organisation are derived from it.
	assignments  map[DispatchID]*activeAssignment
	openRequests map[model.OrganisationID]int
	nextID       DispatchID
	// failures holds how the last attempt of a request ended, to label the count
	// of retries.
	failures map[model.RequestID]failure
	// handling is the dispatch being handled, to be refused if the task panics on it.
	handling *Dispatch

	queue *FairQueue
	// deferred holds resumed dispatches that wait until the retry budget allows them.
	deferred []WaitingDispatch
	// isolated holds dispatches of suspect requests that wait to run alone.
	isolated []WaitingDispatch

	serviceRate     ServiceRate
	generationTime  GenerationTime
	budget          *RetryBudget
	suspects        *SuspectTable
	usage           *UsageTable
	nextDeath       DeathID
	lastMaintenance time.Time
	usagePublished  bool
	balance         Balance
	// candidates and scored are reused for each dispatch.
	candidates []Candidate
	scored     []Scored
}

// activeAssignment is an assignment in progress.
type activeAssignment struct {
	request Request
	server  model.ServerID
	started time.Time
	// charged is the virtual time that the fair queue charged to the organisation.
	charged float64
	// cancelled is closed when the request ends; its Done should follow shortly.
	cancelled <-chan struct{}
	// endedAt is when the dispatcher first saw cancelled closed.
	endedAt time.Time
	// alone is true for a suspect that runs on the reserved server, cleared for one
	// that has delivered enough tokens there to be cleared.
	alone   bool
	cleared bool
}

// failure is the end of a failed attempt that may be followed by a retry.
type failure struct {
	outcome Outcome
	at      time.Time
}

// NewDispatcher returns the dispatcher task of one service.
func NewDispatcher(service model.ServiceName, environment Environment, random *rand.Rand) *Dispatcher {
	return &Dispatcher{
		service:      service,
		home:         environment.Home,
		messages:     task.NewMailbox[Message](dispatcherMailboxSize),
		facts:        environment.Facts,
		policies:     environment.Policies,
		random:       random,
		clock:        environment.Clock,
		logger:       environment.Logger,
		metrics:      environment.Metrics,
		counters:     make(map[counterKey]*metrics.Counter),
		servers:      make(map[model.ServerID]*serverSlots),
		assignments:  make(map[DispatchID]*activeAssignment),
		openRequests: make(map[model.OrganisationID]int),
		failures:     make(map[model.RequestID]failure),
		queue:        environment.Policies.newQueue(),
		budget:       NewRetryBudget(environment.Clock.Now()),
		suspects:     NewSuspectTable(environment.Host),
		usage:        NewUsageTable(),
		balance:      Balance{Step: 1},
	}
}

// String names the task in the logs.
func (d *Dispatcher) String() string { return "dispatcher/" + string(d.service) }

// Serve handles messages until the context ends. When the supervisor restarts it
// after a panic, it refuses the waiting dispatches as not run. It keeps the
// assignments in progress, as their requests still send Done, and derives the
// counts from them.
func (d *Dispatcher) Serve(ctx context.Context) error {
	d.refuseAll()
	d.recountInFlight()
	ticker := d.clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.refuseAll()
			return nil
		case <-ticker.Chan():
			d.sweep()
			d.evidence.publishChanges(d.clock.Now())
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
		d.finishAssignment(message)
		d.evidence.observe(d.clock.Now(), message)
	case Progressed:
		d.clearProgressed(message)
	case ServerEvent:
		d.applyServerEvent(message.Event)
	case ConfigurationChange:
		d.configuration = message.Configuration
		d.evidence.configure(message.Configuration)
	case FactReceived:
		d.applyFact(message.Fact)
	}
}

// enqueue refuses a dispatch, or adds it to the fair queue, the isolated or the
// deferred dispatches.
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
	waiting := WaitingDispatch{Dispatch: dispatch, Since: now}
	switch {
	case d.suspectLevel(request) == LevelSuspect:
		d.isolate(waiting)
	case request.Resume && !d.spendRetry(now, request):
		d.deferred = append(d.deferred, waiting)
	default:
		if !request.Resume {
			d.budget.Earn()
		}
		d.queue.Push(waiting)
	}
}

// admit returns the fault of a request that must not wait, or nil. Resumed
// requests are exempt from quota, queue limits and the estimate of the wait.
func (d *Dispatcher) admit(now time.Time, request *Request) *model.Fault {
	if !now.Before(request.Deadline) {
		return deadlinePassed()
	}
	if d.suspectLevel(request) == LevelRefuse {
		return suspectRefused()
	}
	if request.Resume {
		return nil
	}
	owned := d.queue.WaitingOf(request.Organisation)
	open := owned + d.openRequests[request.Organisation] + d.usage.OpenElsewhere(request.Organisation)
	if request.MaxOpen > 0 && open >= request.MaxOpen {
		return quotaReached(request.MaxOpen)
	}
	if d.queue.Len() >= maxQueueLength {
		return queueFull(d.service)
	}
	if d.policies.FirstComeFirstServed {
		return nil
	}
	if owned >= maxOrganisationQueue(d.queue.Len()) {
		return queueFull(d.service)
	}
	return d.checkDeadline(now, request, owned)
}

// checkDeadline refuses a request whose deadline cannot be met, given the queue
// ahead of it. An empty queue admits every request.
func (d *Dispatcher) checkDeadline(now time.Time, request *Request, owned int) *model.Fault {
	if d.queue.Len() == 0 {
		return nil
	}
	wait := d.serviceRate.Wait(fairPosition(d.queue.Len(), owned, d.queue.Active()))
	needed := wait + d.generationTime.Estimate(request.Cost)
	if now.Add(needed).After(request.Deadline) {
		return deadlineUnreachable(needed)
	}
	return nil
}

// suspectLevel returns how the request's history of server deaths is treated.
// Calls to plain services are always clear: their fingerprint does not cover the
// body, so different calls share one.
func (d *Dispatcher) suspectLevel(request *Request) SuspectLevel {
	if d.policies.BlindRetry || !d.isEngine() {
		return LevelClear
	}
	return d.suspects.Level(request.Fingerprint)
}

func (d *Dispatcher) isEngine() bool {
	return d.configuration != nil && d.configuration.Services[d.service].Kind == model.ServiceEngine
}

// spendRetry takes one resumed attempt from the retry budget and reports whether
// the budget allowed it.
func (d *Dispatcher) spendRetry(now time.Time, request *Request) bool {
	return d.policies.BlindRetry || d.budget.Spend(now, request.Organisation)
}

// chooseVersion draws a version at random by the shares in force, or returns ""
// if there are none.
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
	d.increment("refusals", string(fault.Reason))
	dispatch.Reply.Send(DispatchResult{Fault: fault})
}

// counterKey names a counter of this service.
type counterKey struct{ name, reason string }

// increment increments the metric lentilpoint_admission_NAME_total for a reason.
func (d *Dispatcher) increment(name, reason string) {
	key := counterKey{name: name, reason: reason}
	counter := d.counters[key]
	if counter == nil {
		counter = d.metrics.GetOrCreateCounter(
			fmt.Sprintf("lentilpoint_admission_%s_total{service=%q,reason=%q}", name, d.service, reason))
		d.counters[key] = counter
	}
	counter.Inc()
}

// countRetry counts a resumed attempt, labelled with the outcome of the attempt
// before it.
func (d *Dispatcher) countRetry(id model.RequestID) {
	last := d.failures[id]
	delete(d.failures, id)
	d.increment("retries", string(last.outcome))
}

// refuseAll refuses all waiting dispatches and the one on which the task failed.
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
	queue := d.queue
	d.queue = d.policies.newQueue()
	queue.Each(func(waiting WaitingDispatch) { d.refuse(waiting.Dispatch, taskFailed(d.service)) })
}
