package admission

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/backends"
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
	// sweepInterval is how often expired dispatches are refused.
	sweepInterval = 25 * time.Millisecond
	// defaultServerLimit is the concurrency limit of a server that has not
	// reported its capacity.
	defaultServerLimit = 32
	// defaultFirstTokenTimeout and defaultTokenTimeout are the progress limits
	// before gaps have been observed.
	defaultFirstTokenTimeout = 2 * time.Second
	defaultTokenTimeout      = time.Second
)

// Dispatcher is the task that assigns the requests of one service to servers.
type Dispatcher struct {
	service  model.ServiceName
	home     model.DataCentre
	messages task.Mailbox[Message]
	router   Router
	random   *rand.Rand
	clock    clockwork.Clock
	logger   *slog.Logger

	configuration *model.Configuration
	queue         *FairQueue
	evidence      *moveEvidence
	servers       map[model.ServerID]*serverSlots
	nextID        DispatchID
}

// serverSlots is the dispatcher's view of one server.
type serverSlots struct {
	state    backends.ServerState
	inFlight map[DispatchID]Request
	cached   map[uint64]bool
}

func (s *serverSlots) limit() int {
	if s.state.Load.Capacity > 0 {
		return s.state.Load.Capacity
	}
	return defaultServerLimit
}

// NewDispatcher returns the dispatcher task of one service.
func NewDispatcher(service model.ServiceName, home model.DataCentre, router Router, random *rand.Rand, clock clockwork.Clock, logger *slog.Logger) *Dispatcher {
	return &Dispatcher{
		service:  service,
		home:     home,
		messages: task.NewMailbox[Message](dispatcherMailboxSize),
		router:   router,
		random:   random,
		clock:    clock,
		logger:   logger,
		queue:    NewFairQueue(),
		servers:  make(map[model.ServerID]*serverSlots),
	}
}

// String names the task in the logs.
func (d *Dispatcher) String() string { return "dispatcher/" + string(d.service) }

// Serve handles messages until the context ends. After a panic the waiting
// dispatches are refused as not run, and in-flight counts are kept, because
// their requests still report Done.
func (d *Dispatcher) Serve(ctx context.Context) error {
	d.refuseAll()
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
		d.enqueue(message)
	case Done:
		d.finish(message)
		d.evidence.observe(d.clock.Now(), message)
	case ServerEvent:
		d.applyServerEvent(message.Event)
	case ConfigurationChange:
		d.configuration = message.Configuration
		d.evidence.configure(message.Configuration)
	case PeerFact:
		d.evidence.receive(d.clock.Now(), message.Fact)
	}
}

func (d *Dispatcher) enqueue(dispatch Dispatch) {
	if fault := d.admit(dispatch.Request); fault != nil {
		dispatch.Reply.Send(DispatchResult{Fault: fault})
		return
	}
	if dispatch.Request.Version == "" {
		dispatch.Request.Version = d.chooseVersion()
	}
	d.queue.Push(Waiting{Dispatch: dispatch, Since: d.clock.Now()})
}

// admit decides whether a request may wait at all.
func (d *Dispatcher) admit(request Request) *model.Fault {
	if !d.clock.Now().Before(request.Deadline) {
		return deadlinePassed()
	}
	if d.queue.Len() >= queueLimit && !request.Resume {
		return model.NotRun(model.KindOverloaded, model.ReasonQueueFull,
			"too many requests wait for service "+string(d.service),
			"retry after the stated pause, or add backend servers").After(time.Second)
	}
	return nil
}

func deadlinePassed() *model.Fault {
	return model.NotRun(model.KindDeadline, model.ReasonDeadlinePassed,
		"the deadline passed before a server was free", "send the request again with a later deadline")
}

// chooseVersion draws a version by the shares in force.
func (d *Dispatcher) chooseVersion() model.Version {
	if d.configuration == nil {
		return ""
	}
	shares := d.evidence.shares(d.configuration.Services[d.service].Shares)
	draw := d.random.IntN(model.ShareWhole)
	for _, share := range shares {
		if draw < share.Share {
			return share.Version
		}
		draw -= share.Share
	}
	return ""
}

// assignWaiting hands out servers in fair order while there is room.
func (d *Dispatcher) assignWaiting() {
	for d.queue.Len() > 0 && d.queue.Next(d.assign) {
		continue
	}
}

func (d *Dispatcher) assign(waiting Waiting) bool {
	request := waiting.Dispatch.Request
	candidate, found := d.router.Route(d.random, request, d.candidates(request))
	if !found {
		return false
	}
	d.nextID++
	slots := d.servers[candidate.ID()]
	slots.inFlight[d.nextID] = request
	waiting.Dispatch.Reply.Send(DispatchResult{Assignment: Assignment{
		ID:                d.nextID,
		Server:            candidate.ID(),
		DataCentre:        candidate.Server.Host.DataCentre,
		Version:           request.Version,
		Generation:        candidate.Server.Generation,
		Commands:          candidate.Server.Commands,
		Finished:          d.messages,
		FirstTokenTimeout: defaultFirstTokenTimeout,
		TokenTimeout:      defaultTokenTimeout,
	}})
	return true
}

func (d *Dispatcher) candidates(request Request) []Candidate {
	candidates := make([]Candidate, 0, len(d.servers))
	for _, slots := range d.servers {
		candidates = append(candidates, Candidate{
			Server:       slots.state,
			InFlight:     len(slots.inFlight),
			Limit:        slots.limit(),
			CachedBlocks: slots.cachedBlocks(request.PrefixHashes),
			Remote:       slots.state.Host.DataCentre != d.home,
		})
	}
	return candidates
}

func (s *serverSlots) cachedBlocks(hashes []uint64) int {
	for i, hash := range hashes {
		if !s.cached[hash] {
			return i
		}
	}
	return len(hashes)
}

func (d *Dispatcher) finish(done Done) {
	if slots := d.servers[done.Server]; slots != nil {
		delete(slots.inFlight, done.ID)
	}
}

func (d *Dispatcher) applyServerEvent(event backends.Event) {
	switch event := event.(type) {
	case backends.ServerChanged:
		d.updateServer(event.State)
	case backends.ServerRemoved:
		delete(d.servers, event.ID)
	case backends.CacheChanged:
		if slots := d.servers[event.ID]; slots != nil {
			slots.applyCache(event)
		}
	}
}

func (d *Dispatcher) updateServer(state backends.ServerState) {
	id := model.ServerID(state.Host.ID)
	slots := d.servers[id]
	if slots == nil {
		slots = &serverSlots{inFlight: make(map[DispatchID]Request), cached: make(map[uint64]bool)}
		d.servers[id] = slots
	}
	slots.state = state
}

func (s *serverSlots) applyCache(event backends.CacheChanged) {
	if event.Reset {
		clear(s.cached)
	}
	for _, hash := range event.Stored {
		s.cached[hash] = true
	}
	for _, hash := range event.Evicted {
		delete(s.cached, hash)
	}
}

// sweep refuses dispatches whose deadline passed and drops cancelled ones.
func (d *Dispatcher) sweep() {
	now := d.clock.Now()
	d.queue.RemoveIf(func(waiting Waiting) bool {
		select {
		case <-waiting.Dispatch.Cancelled:
			return true
		default:
		}
		if now.Before(waiting.Dispatch.Request.Deadline) {
			return false
		}
		waiting.Dispatch.Reply.Send(DispatchResult{Fault: deadlinePassed()})
		return true
	})
}

func (d *Dispatcher) refuseAll() {
	d.queue.RemoveIf(func(waiting Waiting) bool {
		waiting.Dispatch.Reply.Send(DispatchResult{Fault: model.NotRun(model.KindUnavailable, model.ReasonTaskFailed,
			"the dispatcher of service "+string(d.service)+" restarted", "send the request again")})
		return true
	})
}
