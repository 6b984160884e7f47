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
	// Host lists and configurations replace earlier ones, so small mailboxes suffice.
	hostsMailboxSize          = 4
	configurationsMailboxSize = 4
	// serverEventsMailboxSize bounds the queued server events. Further ones are
	// dropped; each read of a server's load sends its state again.
	serverEventsMailboxSize = 1024
)

// Policy holds the timing and limits of leases, orders and version moves.
type Policy struct {
	Lease  LeasePolicy
	Orders OrderPolicy
	Plan   MovePlan
	// Tick is the interval at which a mover plans orders and decides move steps.
	Tick time.Duration
	// OrderTimeout bounds the delivery of one order to a server.
	OrderTimeout time.Duration
	// SettleTimeout bounds the wait for a commit of this host to be in force here.
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

// Dependencies are the dependencies of the control tasks.
type Dependencies struct {
	Table     platform.Table
	Committer Committer
	Sender    OrderSender
	Recorder  events.Recorder
	// Reports receives the evidence reports of the dispatchers.
	Reports task.Mailbox[admission.EvidenceReport]
}

// Control is the task that runs a lease task and a mover task for each service.
// It owns the set of services and forwards messages to these tasks.
type Control struct {
	owner        Owner
	policy       Policy
	dependencies Dependencies
	clock        clockwork.Clock
	logger       *slog.Logger

	inbox inbox

	services      map[model.ServiceName]*serviceTasks
	configuration *model.Configuration
	liveHosts     []model.HostID
	// pendingReports holds the newest evidence of each service that its mover has not received.
	// The dispatcher reports a verdict once, and no later one follows it without traffic.
	pendingReports map[model.ServiceName]admission.EvidenceReport
}

// serviceTasks are the tasks of one service.
type serviceTasks struct {
	lease  *leaseTask
	mover  *moverTask
	tokens [2]suture.ServiceToken
	// configurationPending is true until the newest configuration is in the
	// mover's mailbox.
	configurationPending bool
}

func newInbox() inbox {
	return inbox{
		configurations: task.NewMailbox[*model.Configuration](configurationsMailboxSize),
		hosts:          task.NewMailbox[platform.HostsRead](hostsMailboxSize),
		serverEvents:   task.NewMailbox[backends.Event](serverEventsMailboxSize),
	}
}

func newControl(owner Owner, policy Policy, dependencies Dependencies, inbox inbox, clock clockwork.Clock, logger *slog.Logger) *Control {
	return &Control{
		owner: owner, policy: policy, dependencies: dependencies, inbox: inbox, clock: clock, logger: logger,
		services:       make(map[model.ServiceName]*serviceTasks),
		pendingReports: make(map[model.ServiceName]admission.EvidenceReport),
	}
}

// String names the task in the logs.
func (c *Control) String() string { return "control" }

// Serve forwards messages until the context ends. It never blocks on a mover's
// mailbox, so that a slow mover does not block the senders to control.
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
		case report := <-c.dependencies.Reports.C():
			c.applyReport(report)
		}
		c.sendPending()
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

func (c *Control) applyReport(report admission.EvidenceReport) {
	c.pendingReports[report.Service] = report
	c.sendPending()
}

func (c *Control) applyHosts(hosts []model.Host) {
	c.liveHosts = c.liveHosts[:0:0]
	for _, host := range hosts {
		if host.Role == model.RoleEntry && !host.Leaving {
			c.liveHosts = append(c.liveHosts, model.HostID(host.ID))
		}
	}
	for _, tasks := range c.services {
		_ = tasks.lease.hosts.TrySend(c.liveHosts)
	}
}

func (c *Control) applyConfiguration(supervisor *suture.Supervisor, configuration *model.Configuration) {
	c.configuration = configuration
	for name := range configuration.Services {
		if c.services[name] == nil {
			c.services[name] = c.newServiceTasks(name)
			c.services[name].start(supervisor)
		}
	}
	for name, tasks := range c.services {
		tasks.configurationPending = true
		if _, found := configuration.Services[name]; !found {
			delete(c.services, name)
			delete(c.pendingReports, name)
			tasks.stop(supervisor)
		}
	}
}

// sendPending sends the newest configuration and evidence to the movers whose mailbox was full
// before, and the evidence of services that came into force after it.
func (c *Control) sendPending() {
	for name, tasks := range c.services {
		if tasks.configurationPending {
			tasks.configurationPending = tasks.mover.messages.TrySend(configurationChanged{configuration: c.configuration}) != nil
		}
		if report, found := c.pendingReports[name]; found && tasks.mover.messages.TrySend(evidenceChanged{report: report}) == nil {
			delete(c.pendingReports, name)
		}
	}
}

func (c *Control) newServiceTasks(service model.ServiceName) *serviceTasks {
	messages := task.NewMailbox[moverMessage](moverMailboxSize)
	lease := &leaseTask{
		service: service, owner: c.owner, policy: c.policy.Lease, table: c.dependencies.Table,
		hosts: task.NewMailbox[[]model.HostID](hostsMailboxSize), mover: messages,
		recorder: c.dependencies.Recorder, clock: c.clock, logger: c.logger, liveHosts: c.liveHosts,
	}
	mover := &moverTask{
		service: service, owner: c.owner, policy: c.policy, table: c.dependencies.Table, committer: c.dependencies.Committer,
		sender: c.dependencies.Sender, messages: messages, recorder: c.dependencies.Recorder, clock: c.clock, logger: c.logger,
		servers: make(map[model.ServerID]knownServer), lastOrders: make(map[model.ServerID]LastOrder),
	}
	return &serviceTasks{lease: lease, mover: mover}
}

func (s *serviceTasks) start(supervisor *suture.Supervisor) {
	s.tokens = [2]suture.ServiceToken{supervisor.Add(s.lease), supervisor.Add(s.mover)}
}

func (s *serviceTasks) stop(supervisor *suture.Supervisor) {
	for _, token := range s.tokens {
		_ = supervisor.Remove(token)
	}
}
