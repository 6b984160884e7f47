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
	// frontMailboxSize bounds the dispatches that wait to be forwarded. A full
	// mailbox makes requests wait until their deadline.
	frontMailboxSize = 1024
	// serverEventsSize bounds the server events that wait to be forwarded. A
	// full mailbox makes server tasks wait; the front never waits for them.
	serverEventsSize = 1024
	// configurationsSize is 4, as only the newest configuration matters.
	configurationsSize = 4
	// factsSize bounds the facts of peers that wait to be forwarded; a full
	// mailbox drops the fact, and its next change brings it again.
	factsSize = 256
)

// Front is the task that owns the set of dispatchers and forwards messages to
// the one of the right service.
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
		serverEvents:   task.NewMailbox[backends.Event](serverEventsSize),
		configurations: task.NewMailbox[*model.Configuration](configurationsSize),
		facts:          task.NewMailbox[peers.Fact](factsSize),
		environment:    environment,
		seed:           seed,
		dispatchers:    make(map[model.ServiceName]*Dispatcher),
	}
}

// Dispatches is where requests send their dispatches.
func (f *Front) Dispatches() task.Mailbox[Dispatch] { return f.dispatches }

// ServerEvents is where the backend pool sends its events.
func (f *Front) ServerEvents() task.Mailbox[backends.Event] { return f.serverEvents }

// Configurations is where the configuration task sends each revision.
func (f *Front) Configurations() task.Mailbox[*model.Configuration] { return f.configurations }

// Facts is where the facts of other entry hosts arrive.
func (f *Front) Facts() task.Mailbox[peers.Fact] { return f.facts }

// String names the task in the logs.
func (f *Front) String() string { return "admission" }

// Serve forwards messages until the context ends.
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

// forwardFact drops a fact when its dispatcher is unknown or overloaded. Facts on
// moves go to all dispatchers; each ignores the moves of other services.
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

// forwardServerEvent waits for room in the dispatcher's mailbox, because a lost
// event could send work to a leaving server. Dispatchers never wait for the front.
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
	dispatcher := f.dispatcher(supervisor, service)
	_ = dispatcher.messages.Send(ctx, ServerEvent{Event: event})
}

// dispatcher returns the dispatcher of a service and starts it if needed.
func (f *Front) dispatcher(supervisor *suture.Supervisor, service model.ServiceName) *Dispatcher {
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
		dispatcher := f.dispatcher(supervisor, name)
		_ = dispatcher.messages.Send(ctx, ConfigurationChange{Configuration: configuration})
	}
}
