package scenario

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/control"
	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/settings"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// historySize bounds the actions recorded in one run; further ones are dropped.
	historySize = 1 << 16
)

// gate blocks calls of an entry host while it is paused. The zero value is open.
type gate struct {
	closed atomic.Pointer[chan struct{}]
}

func (g *gate) pause() {
	closed := make(chan struct{})
	g.closed.Store(&closed)
}

func (g *gate) resume() {
	if closed := g.closed.Swap(nil); closed != nil {
		close(*closed)
	}
}

func (g *gate) isPaused() bool { return g.closed.Load() != nil }

func (g *gate) wait() {
	for closed := g.closed.Load(); closed != nil; closed = g.closed.Load() {
		<-*closed
	}
}

// hostGates are the gates of one entry host: for its calls of the table and for
// its orders to engines.
type hostGates struct {
	table  gate
	orders gate
}

func (h *hostGates) pause() {
	h.table.pause()
	h.orders.pause()
}

func (h *hostGates) resume() {
	h.table.resume()
	h.orders.resume()
}

// gatedTable blocks the calls of a paused entry host before they are sent and
// after their answers arrive.
type gatedTable struct {
	platform.Table
	gate *gate
}

// Transact implements platform.Table.
func (t gatedTable) Transact(ctx context.Context, transaction platform.Transaction) (platform.TransactResult, error) {
	t.gate.wait()
	defer t.gate.wait()
	return t.Table.Transact(ctx, transaction)
}

// Read implements platform.Table.
func (t gatedTable) Read(ctx context.Context, key string) (platform.Row, error) {
	t.gate.wait()
	defer t.gate.wait()
	return t.Table.Read(ctx, key)
}

// gatedSender records the orders of an entry host, and blocks them while the
// host is paused.
type gatedSender struct {
	host    int
	gate    *gate
	history task.Mailbox[check.LeaseAction]
	next    control.OrderSender
	// delayInNetwork delays an order after it was sent: the order arrives even if
	// its context has ended. Otherwise the sender itself is paused.
	delayInNetwork bool
	// delayed receives the servers of the orders that are delayed in the network.
	delayed task.Mailbox[model.ServerID]
}

// Send implements control.OrderSender.
func (s gatedSender) Send(ctx context.Context, server backends.ServerState, order enginewire.Order) backends.OrderOutcome {
	called := time.Now()
	if s.delayInNetwork {
		_ = s.history.TrySend(check.LeaseAction{Host: s.host, Fencing: order.Fencing, Called: called, Returned: called})
		if s.gate.isPaused() {
			_ = s.delayed.TrySend(model.ServerID(server.Host.ID))
		}
		s.gate.wait()
		sendContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		return s.next.Send(sendContext, server, order)
	}
	s.gate.wait()
	if ctx.Err() != nil {
		return backends.OrderOutcome{Err: context.Cause(ctx)}
	}
	called = time.Now()
	outcome := s.next.Send(ctx, server, order)
	_ = s.history.TrySend(check.LeaseAction{Host: s.host, Fencing: order.Fencing, Called: called, Returned: time.Now()})
	return outcome
}

// controlPolicy returns the control policy with times so short that a move fits
// into a run.
func controlPolicy(baseline string) control.Policy {
	policy := control.DefaultPolicy()
	policy.Lease = control.LeasePolicy{
		Duration: 1200 * time.Millisecond, Margin: 300 * time.Millisecond, Stagger: 150 * time.Millisecond,
		Unsafe: baseline == BaselineNoFencing,
	}
	policy.Orders = control.OrderPolicy{MaxLoading: 4, RepeatAfter: 600 * time.Millisecond, MinServers: 3, Headroom: 1.25}
	policy.Plan.StageHold = time.Second
	policy.Plan.MinStageHold = 300 * time.Millisecond
	policy.Plan.MinSamples = 4
	policy.Plan.OldVersionHold = 2 * time.Second
	policy.Plan.FixedSteps = baseline == BaselineFixedSteps
	policy.Tick = 50 * time.Millisecond
	policy.OrderTimeout = 500 * time.Millisecond
	policy.SettleTimeout = time.Second
	return policy
}

// controlHosts holds the gates of the entry hosts of one run, the history of
// their actions, and the options that install both.
type controlHosts struct {
	gates   map[string]*hostGates
	history task.Mailbox[check.LeaseAction]
	delayed task.Mailbox[model.ServerID]
	options []fx.Option
}

func newControlHosts(ctx context.Context, count int, baseline string, delayInNetwork bool) *controlHosts {
	hosts := &controlHosts{gates: make(map[string]*hostGates), history: task.NewMailbox[check.LeaseAction](historySize), delayed: task.NewMailbox[model.ServerID](historySize)}
	numbers := make(map[string]int)
	for i := range count {
		id := fmt.Sprintf("entry-%d", i)
		hosts.gates[id] = &hostGates{}
		numbers[id] = i
	}
	hosts.options = []fx.Option{
		fx.Decorate(func() control.Policy { return controlPolicy(baseline) }),
		fx.Decorate(func(policy admission.EvidencePolicy) admission.EvidencePolicy {
			policy.CountOnly = baseline == BaselineFixedSteps
			return policy
		}),
		fx.Decorate(func(values settings.Settings, table platform.Table) platform.Table {
			return gatedTable{Table: table, gate: &hosts.gates[values.HostID].table}
		}),
		fx.Decorate(func(values settings.Settings, sender control.OrderSender) control.OrderSender {
			return gatedSender{host: numbers[values.HostID], gate: &hosts.gates[values.HostID].orders, history: hosts.history, next: sender, delayInNetwork: delayInNetwork, delayed: hosts.delayed}
		}),
	}
	return hosts
}

// takeLeaseActions removes and returns the recorded actions.
func (h *controlHosts) takeLeaseActions() []check.LeaseAction {
	var actions []check.LeaseAction
	for h.history.Len() > 0 {
		actions = append(actions, <-h.history.C())
	}
	return actions
}

// takeDelayed adds the servers of the orders that were delayed since the last call.
func (h *controlHosts) takeDelayed(servers map[string]bool) {
	for h.delayed.Len() > 0 {
		servers[string(<-h.delayed.C())] = true
	}
}

// resume ends all pauses, so that the entry hosts can stop.
func (h *controlHosts) resume() {
	for _, gate := range h.gates {
		gate.resume()
	}
}
