package admission

import (
	"context"
	"math/rand/v2"

	"github.com/thejerf/suture/v4"

	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// frontMailboxSize bounds the dispatches not yet forwarded. While the mailbox
	// is full, requests wait, at most until their deadline.
	frontMailboxSize = 1024
	// serverEventsMailboxSize bounds the server events not yet forwarded. While the
	// mailbox is full, server tasks block; the front never blocks on a server task.
	serverEventsMailboxSize = 1024
	// configurationsMailboxSize is 4, as only the newest configuration matters.
	configurationsMailboxSize = 4
	// factsMailboxSize bounds the facts of peers not yet forwarded. A full mailbox
	// drops a fact; its next change sends it again.
	factsMailboxSize = 256
)

// Front is the task that owns the set of dispatchers and forwards each message
// to the dispatcher of its service.
type Front struct {
	dispatches     task.Mailbox[Dispatch]
	serverEvents   task.Mailbox[backends.Event]
	configurations task.Mailbox[*model.Configuration]
	facts          task.Mailbox[peers.Fact]
	environment    Environment
	seed           uint64

	configuration *model.Configuration
	dispatchers   map[model.ServiceName]*Dispatcher
}

// NewFront returns the front task of an entry host.
func NewFront(environment Environment, seed uint64) *Front {
	return &Front{
		dispatches:     task.NewMailbox[Dispatch](frontMailboxSize),
		serverEvents:   task.NewMailbox[backends.Event](serverEventsMailboxSize),
		configurations: task.NewMailbox[*model.Configuration](configurationsMailboxSize),
		facts:          task.NewMailbox[peers.Fact](factsMailboxSize),
		environment:    environment,
		seed:           seed,
		dispatchers:    make(map[model.ServiceName]*Dispatcher),
	}
}

// Dispatches returns the mailbox for the dispatches of requests.
func (f *Front) Dispatches() task.Mailbox[Dispatch] { return f.dispatches }

// ServerEvents returns the mailbox for events of the backend pool.
func (f *Front) ServerEvents() task.Mailbox[backends.Event] { return f.serverEvents }

// Configurations returns the mailbox for revisions of the configuration.
func (f *Front) Configurations() task.Mailbox[*model.Configuration] { return f.configurations }

// Facts returns the mailbox for facts of other entry hosts.
func (f *Front) Facts() task.Mailbox[peers.Fact] { return f.facts }

// String names the task in the logs.
func (f *Front) String() string { return "admission" }

// Serve runs the dispatchers and forwards messages until the context ends.
func (f *Front) Serve(ctx context.Context) error {
	supervisor := task.NewSupervisor("dispatchers", task.DefaultRestartPolicy, f.environment.Logger)
	done := supervisor.ServeBackground(ctx)
	for _, dispatcher := range f.dispatchers {
		supervisor.Add(dispatcher)
	}
	for {
		select {
		case <-ctx.Done():
			<-done
			return nil
		case dispatch := <-f.dispatches.C():
			f.forwardDispatch(dispatch)
		case event := <-f.serverEvents.C():
			f.forwardServerEvent(ctx, supervisor, event)
		case configuration := <-f.configurations.C():
			f.applyConfiguration(ctx, supervisor, configuration)
		case fact := <-f.facts.C():
			f.forwardFact(fact)
		}
	}
}

func (f *Front) forwardDispatch(dispatch Dispatch) {
	service := dispatch.Request.Service
	dispatcher := f.dispatchers[service]
	if dispatcher == nil {
		dispatch.Reply.Send(DispatchResult{Fault: model.NotRun(model.KindNotFound, model.ReasonUnknownService,
			"there is no service "+string(service), "check the name against the services in force")})
		return
	}
	if err := dispatcher.messages.TrySend(dispatch); err != nil {
		dispatch.Reply.Send(DispatchResult{Fault: model.NotRun(model.KindOverloaded, model.ReasonQueueFull,
			"the dispatcher of service "+string(service)+" is overloaded", "retry after a pause")})
	}
}

// forwardFact forwards a fact, or drops it when its dispatcher is unknown or
// overloaded. Facts about version moves go to all dispatchers; each ignores the
// moves of other services.
func (f *Front) forwardFact(fact peers.Fact) {
	if fact.Kind == peers.FactEvidence || fact.Kind == peers.FactWithdrawal {
		for _, dispatcher := range f.dispatchers {
			_ = dispatcher.messages.TrySend(FactReceived{Fact: fact})
		}
		return
	}
	if dispatcher := f.dispatchers[factService(fact)]; dispatcher != nil {
		_ = dispatcher.messages.TrySend(FactReceived{Fact: fact})
	}
}

// forwardServerEvent blocks while the dispatcher's mailbox is full, because a lost
// event could send work to a leaving server. Dispatchers never block on the front.
func (f *Front) forwardServerEvent(ctx context.Context, supervisor *suture.Supervisor, event backends.Event) {
	var service model.ServiceName
	switch event := event.(type) {
	case backends.ServerChanged:
		service = event.State.Host.Service
	case backends.ServerRemoved:
		service = event.Service
	case backends.CacheChanged:
		service = event.Service
	}
	dispatcher := f.ensureDispatcher(supervisor, service)
	_ = dispatcher.messages.Send(ctx, ServerEvent{Event: event})
}

// ensureDispatcher returns the dispatcher of a service and starts it if needed.
func (f *Front) ensureDispatcher(supervisor *suture.Supervisor, service model.ServiceName) *Dispatcher {
	dispatcher := f.dispatchers[service]
	if dispatcher != nil {
		return dispatcher
	}
	stream := uint64(len(f.dispatchers) + 1)
	random := rand.New(rand.NewPCG(f.seed, stream))
	dispatcher = NewDispatcher(service, f.environment, random)
	dispatcher.configuration = f.configuration
	dispatcher.evidence = newMoveEvidence(service, f.environment.Evidence)
	f.dispatchers[service] = dispatcher
	supervisor.Add(dispatcher)
	return dispatcher
}

func (f *Front) applyConfiguration(ctx context.Context, supervisor *suture.Supervisor, configuration *model.Configuration) {
	f.configuration = configuration
	for name := range configuration.Services {
		dispatcher := f.ensureDispatcher(supervisor, name)
		_ = dispatcher.messages.Send(ctx, ConfigurationChange{Configuration: configuration})
	}
}
