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
// requests and refuses new ones while the entry host drains.
type Manager struct {
	commands   task.Mailbox[Command]
	dispatches task.Mailbox[admission.Dispatch]
	servers    task.Mailbox[backends.ServerLookup]
	recovery   Recovery
	calls      CallParts
	recorder   events.Recorder
	metrics    *metrics.Set
	clock      clockwork.Clock
	logger     *slog.Logger

	open     int
	draining bool
	idle     []chan<- struct{}
	// observed is the speed of each service, from which progress limits follow.
	observed map[model.ServiceName]Observed
}

// NewManager returns the manager task.
func NewManager(parameters Parameters) *Manager {
	return &Manager{
		commands:   task.NewMailbox[Command](managerMailboxSize),
		dispatches: parameters.Dispatches,
		servers:    parameters.Servers,
		recovery:   parameters.Recovery,
		calls:      parameters.Calls,
		recorder:   parameters.Recorder,
		metrics:    parameters.Metrics,
		clock:      parameters.Clock,
		logger:     parameters.Logger,
		observed:   make(map[model.ServiceName]Observed),
	}
}

// Commands is where caller tasks send their requests.
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
			m.handle(ctx, command)
		}
	}
}

func (m *Manager) handle(ctx context.Context, command Command) {
	switch command := command.(type) {
	case StartGeneration:
		m.startGeneration(ctx, command)
	case StartCall:
		m.startCall(ctx, command)
	case requestEnded:
		m.open--
		m.reportIdle()
	case speedObserved:
		m.observed[command.service] = m.observed[command.service].Merge(command.observed)
	case Drain:
		m.draining = true
		m.idle = append(m.idle, command.Idle)
		m.reportIdle()
	}
}

func (m *Manager) reportIdle() {
	if m.open > 0 || !m.draining {
		return
	}
	for _, idle := range m.idle {
		close(idle)
	}
	m.idle = nil
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
		recorder: m.recorder, metrics: m.metrics, logger: m.logger, service: m.observed[start.Generation.Service],
	}
	m.spawn(ctx, generation.run, func(fault *model.Fault) { generation.sendLast(Update{Fault: fault}) })
}

func (m *Manager) startCall(ctx context.Context, start StartCall) {
	if m.draining {
		start.Reply.Send(Answer{Fault: drainingFault()})
		return
	}
	call := &callTask{start: start, dispatches: m.dispatches, parts: m.calls, clock: m.clock, logger: m.logger}
	run := func() { call.run(ctx) }
	m.spawn(ctx, run, func(fault *model.Fault) { start.Reply.Send(Answer{Fault: fault}) })
}

// spawn runs a request task. A panic ends only that request, with a typed fault.
func (m *Manager) spawn(ctx context.Context, run func(), fail func(*model.Fault)) {
	m.open++
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
