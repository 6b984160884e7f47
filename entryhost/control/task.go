package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/thejerf/suture/v4"

	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// hostsMailboxSize and configurationsSize are 4, as only the newest matters.
	hostsMailboxSize   = 4
	configurationsSize = 4
	// serverEventsSize bounds the server states that wait; more are dropped, as
	// each read of a server's load repeats them.
	serverEventsSize = 1024
)

// Policy holds the times and limits of control.
type Policy struct {
	Lease  LeasePolicy
	Orders OrderPolicy
	Plan   MovePlan
	// Tick is the time between decisions of a mover.
	Tick time.Duration
	// OrderTimeout bounds one order to a server.
	OrderTimeout time.Duration
	// SettleTimeout bounds the wait until an own commit is in force on this host.
	SettleTimeout time.Duration
}

// DefaultPolicy returns the policy of the daemon.
func DefaultPolicy() Policy {
	return Policy{
		Lease:         LeasePolicy{Duration: 15 * time.Second, Margin: 4 * time.Second, Stagger: 2 * time.Second},
		Orders:        OrderPolicy{MaxLoading: 3, RepeatAfter: 10 * time.Second, MinServers: 3, Headroom: 1.25},
		Plan:          DefaultMovePlan(),
		Tick:          time.Second,
		OrderTimeout:  5 * time.Second,
		SettleTimeout: 10 * time.Second,
	}
}

// Links are what the tasks of control talk to.
type Links struct {
	Table     platform.Table
	Committer Committer
	Sender    OrderSender
	Recorder  events.Recorder
	// Reports brings the evidence of the dispatchers.
	Reports task.Mailbox[admission.EvidenceReport]
}

// Control is the task that keeps a lease task and a mover task for each
// service. It owns the set of services and forwards messages to the movers.
type Control struct {
	owner  Owner
	policy Policy
	links  Links
	clock  clockwork.Clock
	logger *slog.Logger

	inbox inbox

	services      map[model.ServiceName]*serviceTasks
	configuration *model.Configuration
	live          []model.HostID
}

// serviceTasks are the tasks of one service.
type serviceTasks struct {
	lease *leaseTask
	mover *moverTask
	token [2]suture.ServiceToken
	// behind tells that the mover has not received the newest configuration.
	behind bool
}

func newInbox() inbox {
	return inbox{
		configurations: task.NewMailbox[*model.Configuration](configurationsSize),
		hosts:          task.NewMailbox[platform.HostsRead](hostsMailboxSize),
		serverEvents:   task.NewMailbox[backends.Event](serverEventsSize),
	}
}

func newControl(owner Owner, policy Policy, links Links, inbox inbox, clock clockwork.Clock, logger *slog.Logger) *Control {
	return &Control{
		owner: owner, policy: policy, links: links, inbox: inbox, clock: clock, logger: logger,
		services: make(map[model.ServiceName]*serviceTasks),
	}
}

// String names the task in the logs.
func (c *Control) String() string { return "control" }

// Serve forwards messages until the context ends. It never waits for a mover,
// so that no sender waits for control.
func (c *Control) Serve(ctx context.Context) error {
	supervisor := task.NewSupervisor("control", task.DefaultRestartPolicy, c.logger)
	done := supervisor.ServeBackground(ctx)
	for _, tasks := range c.services {
		tasks.start(supervisor)
	}
	for {
		select {
		case <-ctx.Done():
			<-done
			return nil
		case configuration := <-c.inbox.configurations.C():
			c.applyConfiguration(supervisor, configuration)
		case read := <-c.inbox.hosts.C():
			c.applyHosts(read.Hosts)
		case event := <-c.inbox.serverEvents.C():
			c.forwardServerEvent(event)
		case report := <-c.links.Reports.C():
			c.forward(report.Service, evidenceChanged{report: report})
		}
		c.bringUpToDate()
	}
}

func (c *Control) forward(service model.ServiceName, message moverMessage) {
	if tasks := c.services[service]; tasks != nil {
		_ = tasks.mover.messages.TrySend(message)
	}
}

func (c *Control) forwardServerEvent(event backends.Event) {
	switch event := event.(type) {
	case backends.ServerChanged:
		c.forward(event.State.Host.Service, serverChanged{event: event})
	case backends.ServerRemoved:
		c.forward(event.Service, serverChanged{event: event})
	}
}

func (c *Control) applyHosts(hosts []model.Host) {
	c.live = c.live[:0:0]
	for _, host := range hosts {
		if host.Role == model.RoleEntry && !host.Leaving {
			c.live = append(c.live, model.HostID(host.ID))
		}
	}
	for _, tasks := range c.services {
		_ = tasks.lease.hosts.TrySend(c.live)
	}
}

func (c *Control) applyConfiguration(supervisor *suture.Supervisor, configuration *model.Configuration) {
	c.configuration = configuration
	for name := range configuration.Services {
		if c.services[name] == nil {
			c.services[name] = c.newTasks(name)
			c.services[name].start(supervisor)
		}
	}
	for name, tasks := range c.services {
		tasks.behind = true
		if _, found := configuration.Services[name]; !found {
			delete(c.services, name)
			tasks.stop(supervisor)
		}
	}
}

// bringUpToDate sends the newest configuration to movers that lack it.
func (c *Control) bringUpToDate() {
	for _, tasks := range c.services {
		if tasks.behind {
			tasks.behind = tasks.mover.messages.TrySend(configurationChanged{configuration: c.configuration}) != nil
		}
	}
}

func (c *Control) newTasks(service model.ServiceName) *serviceTasks {
	messages := task.NewMailbox[moverMessage](moverMailboxSize)
	lease := &leaseTask{
		service: service, owner: c.owner, policy: c.policy.Lease, table: c.links.Table,
		hosts: task.NewMailbox[[]model.HostID](hostsMailboxSize), mover: messages,
		recorder: c.links.Recorder, clock: c.clock, logger: c.logger, live: c.live,
	}
	mover := &moverTask{
		service: service, owner: c.owner, policy: c.policy, table: c.links.Table, committer: c.links.Committer,
		sender: c.links.Sender, messages: messages, recorder: c.links.Recorder, clock: c.clock, logger: c.logger,
		servers: make(map[model.ServerID]knownServer), outstanding: make(map[model.ServerID]Outstanding),
	}
	return &serviceTasks{lease: lease, mover: mover}
}

func (s *serviceTasks) start(supervisor *suture.Supervisor) {
	s.token = [2]suture.ServiceToken{supervisor.Add(s.lease), supervisor.Add(s.mover)}
}

func (s *serviceTasks) stop(supervisor *suture.Supervisor) {
	for _, token := range s.token {
		_ = supervisor.Remove(token)
	}
}
