package requests

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// managerMailboxSize bounds the commands that wait for the manager. A full
// mailbox makes the caller task wait until its deadline.
const managerMailboxSize = 1024

// Manager is the task that starts request tasks. It owns the number of open
// requests and the measured latencies, and refuses new requests while the entry
// host drains.
type Manager struct {
	commands         task.Mailbox[Command]
	dispatches       task.Mailbox[admission.Dispatch]
	servers          task.Mailbox[backends.ServerLookup]
	recovery         Recovery
	callDependencies CallDependencies
	recorder         events.Recorder
	metrics          *metrics.Set
	clock            clockwork.Clock
	logger           *slog.Logger

	openRequests int
	draining     bool
	idleWaiters  []chan<- struct{}
	// latencies holds the measured latencies of each service, from which the
	// silence limits of its generations follow.
	latencies map[model.ServiceName]LatencyStats
}

// NewManager returns the manager task.
func NewManager(parameters Parameters) *Manager {
	return &Manager{
		commands:         task.NewMailbox[Command](managerMailboxSize),
		dispatches:       parameters.Dispatches,
		servers:          parameters.Servers,
		recovery:         parameters.Recovery,
		callDependencies: parameters.Calls,
		recorder:         parameters.Recorder,
		metrics:          parameters.Metrics,
		clock:            parameters.Clock,
		logger:           parameters.Logger,
		latencies:        make(map[model.ServiceName]LatencyStats),
	}
}

// Commands returns the mailbox to which caller tasks send their requests.
func (m *Manager) Commands() task.Mailbox[Command] { return m.commands }

// String names the task in the logs.
func (m *Manager) String() string { return "requests" }

// Serve starts request tasks until the context ends.
func (m *Manager) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case command := <-m.commands.C():
			m.handleCommand(ctx, command)
		}
	}
}

func (m *Manager) handleCommand(ctx context.Context, command Command) {
	switch command := command.(type) {
	case StartGeneration:
		m.startGeneration(ctx, command)
	case StartCall:
		m.startCall(ctx, command)
	case requestEnded:
		m.openRequests--
		m.notifyIdle()
	case latencyObserved:
		m.latencies[command.service] = m.latencies[command.service].Merge(command.latency)
	case Drain:
		m.draining = true
		m.idleWaiters = append(m.idleWaiters, command.Idle)
		m.notifyIdle()
	}
}

func (m *Manager) notifyIdle() {
	if m.openRequests > 0 || !m.draining {
		return
	}
	for _, idle := range m.idleWaiters {
		close(idle)
	}
	m.idleWaiters = nil
}

func drainingFault() *model.Fault {
	return model.NotRun(model.KindUnavailable, model.ReasonDraining,
		"this entry host is stopping", "send the request again; the balancer picks another entry host")
}

func (m *Manager) startGeneration(ctx context.Context, start StartGeneration) {
	if m.draining {
		start.Updates <- Update{Fault: drainingFault()}
		return
	}
	generation := &generationTask{
		start: start, manager: m.commands, dispatches: m.dispatches, servers: m.servers, recovery: m.recovery, clock: m.clock,
		recorder: m.recorder, metrics: m.metrics, logger: m.logger, serviceLatency: m.latencies[start.Generation.Service],
	}
	m.startTask(ctx, generation.run, func(fault *model.Fault) { generation.sendLast(Update{Fault: fault}) })
}

func (m *Manager) startCall(ctx context.Context, start StartCall) {
	if m.draining {
		start.Reply.Send(Answer{Fault: drainingFault()})
		return
	}
	call := &callTask{start: start, dispatches: m.dispatches, dependencies: m.callDependencies, clock: m.clock, logger: m.logger}
	run := func() { call.run(ctx) }
	m.startTask(ctx, run, func(fault *model.Fault) { start.Reply.Send(Answer{Fault: fault}) })
}

// startTask runs a request task in a goroutine. A panic ends only that request,
// and its caller receives a fault.
func (m *Manager) startTask(ctx context.Context, run func(), fail func(*model.Fault)) {
	m.openRequests++
	go func() {
		defer func() {
			if cause := recover(); cause != nil {
				m.logger.Error("request task failed", eventcode.RequestTaskFailed.Attr(), "cause", cause)
				fail(model.AsFault(Error.New("request task failed: %s", fmt.Sprint(cause))))
			}
			_ = m.commands.Send(ctx, requestEnded{})
		}()
		run()
	}()
}
