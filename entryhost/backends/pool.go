package backends

import (
	"context"
	"log/slog"

	"github.com/jonboulle/clockwork"
	"github.com/thejerf/suture/v4"

	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// Pool is the task that runs one server task for each backend server that Subset
// chooses from the host list. It owns the set of servers and supervises their
// tasks.
type Pool struct {
	hosts     task.Mailbox[platform.HostsRead]
	lookups   task.Mailbox[ServerLookup]
	events    task.Mailbox[Event]
	observers []task.Mailbox[Event]
	clock     clockwork.Clock
	polling   Polling
	subset    Subset
	logger    *slog.Logger
	servers   map[model.ServerID]*pooledServer
}

type pooledServer struct {
	task  *serverTask
	token suture.ServiceToken
	host  model.Host
}

// NewPool returns a pool that receives host lists and sends server events.
// Observers receive changes of servers too, but not cache events; a full mailbox
// drops a change, as the next load report of the server repeats its state.
func NewPool(hosts task.Mailbox[platform.HostsRead], events task.Mailbox[Event], clock clockwork.Clock, polling Polling, subset Subset, logger *slog.Logger, observers ...task.Mailbox[Event]) *Pool {
	return &Pool{
		hosts:     hosts,
		lookups:   task.NewMailbox[ServerLookup](lookupsMailboxSize),
		events:    events,
		observers: observers,
		clock:     clock,
		polling:   polling,
		subset:    subset,
		logger:    logger,
		servers:   make(map[model.ServerID]*pooledServer),
	}
}

// lookupsMailboxSize bounds the lookups not yet answered. While the mailbox is
// full, senders wait, at most until their deadline.
const lookupsMailboxSize = 256

// Lookups returns the mailbox for lookups of the server that a cursor names.
func (p *Pool) Lookups() task.Mailbox[ServerLookup] { return p.lookups }

// String names the task in the logs.
func (p *Pool) String() string { return "backends" }

// Serve runs the pool and its server tasks until the context ends.
func (p *Pool) Serve(ctx context.Context) error {
	supervisor := task.NewSupervisor("servers", task.DefaultRestartPolicy, p.logger)
	done := supervisor.ServeBackground(ctx)
	for id, server := range p.servers {
		p.servers[id].token = supervisor.Add(server.task)
	}
	for {
		select {
		case <-ctx.Done():
			<-done
			return nil
		case read := <-p.hosts.C():
			p.applyHostList(ctx, supervisor, read.Hosts)
		case lookup := <-p.lookups.C():
			lookup.Reply.Send(p.lookUp(lookup.ID))
		}
	}
}

func (p *Pool) lookUp(id model.ServerID) ServerLookupResult {
	server, found := p.servers[id]
	if !found {
		return ServerLookupResult{}
	}
	return ServerLookupResult{Found: true, Commands: server.task.commands}
}

// applyHostList starts, updates and stops server tasks to match a host list.
func (p *Pool) applyHostList(ctx context.Context, supervisor *suture.Supervisor, hosts []model.Host) {
	chosen := p.subset.Choose(hosts)
	before := len(p.servers)
	listed := make(map[model.ServerID]bool, len(chosen))
	for _, host := range chosen {
		id := model.ServerID(host.ID)
		listed[id] = true
		p.addOrUpdate(ctx, supervisor, id, host)
	}
	for id, server := range p.servers {
		if listed[id] {
			continue
		}
		delete(p.servers, id)
		_ = supervisor.Remove(server.token)
		removed := ServerRemoved{ID: id, Service: server.host.Service}
		_ = p.events.Send(ctx, removed)
		notifyObservers(p.observers, removed)
	}
	if len(p.servers) != before {
		p.sendPoolSize()
	}
}

// sendPoolSize sends the server tasks the number of servers that share the poll
// rate. A task whose mailbox is full gets it with the next change of the number.
func (p *Pool) sendPoolSize() {
	for _, server := range p.servers {
		_ = server.task.commands.TrySend(poolSize{servers: len(p.servers)})
	}
}

// addOrUpdate starts a task for a new server or sends a running one its changed
// host entry. If its mailbox is full, the next host list repeats the entry.
func (p *Pool) addOrUpdate(ctx context.Context, supervisor *suture.Supervisor, id model.ServerID, host model.Host) {
	server, running := p.servers[id]
	if !running {
		server = &pooledServer{task: newServerTask(host, p.events, p.observers, p.clock, p.polling, p.logger), host: host}
		server.token = supervisor.Add(server.task)
		p.servers[id] = server
		return
	}
	if server.host == host {
		return
	}
	if err := server.task.commands.TrySend(hostUpdate{host: host}); err != nil {
		p.logger.Warn("server task is busy; its host entry is sent again with the next list", eventcode.ServerTaskBusy.Attr(), "server", id)
		return
	}
	server.host = host
}

// notifyObservers sends an event to the observers; a full mailbox drops it.
func notifyObservers(observers []task.Mailbox[Event], event Event) {
	for _, observer := range observers {
		_ = observer.TrySend(event)
	}
}
