package control

import (
	"context"
	"fmt"
	"slices"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
)

// sendDueOrders plans the orders that are due and sends them. New orders are
// written to the table first, so that a later holder reads them.
func (m *moverTask) sendDueOrders(ctx context.Context, service model.Service, views []ServerView) {
	input := DeriveOrderInput(m.policy.Orders, m.policy.Plan, m.configuration, service, views)
	input.Now = m.clock.Now()
	m.lastOrders = SettleOrders(m.lastOrders, views)
	input.LastOrders = m.lastOrders
	orders := make(map[model.ServerID]enginewire.Order)
	writes := m.departedServerDeletes()
	for _, wanted := range PlanOrders(m.policy.Orders, input) {
		order, repeated := m.prepareOrder(wanted)
		orders[wanted.Server] = order
		if repeated {
			continue
		}
		value, err := encode(OrderRecord{Server: wanted.Server, Order: order})
		if err != nil {
			continue
		}
		writes = append(writes, platform.Write{Key: orderKey(m.service, wanted.Server), Value: value})
	}
	if len(writes) > 0 && !m.writeOrders(ctx, writes) {
		return
	}
	for server, order := range orders {
		m.sendOrder(ctx, server, order)
	}
}

// maxOrderRowDeletes bounds the order rows deleted in one transaction.
const maxOrderRowDeletes = 64

// departedServerDeletes returns the writes that delete the order rows of servers
// that have left, so that the number of rows stays bounded by that of the servers.
func (m *moverTask) departedServerDeletes() []platform.Write {
	var writes []platform.Write
	if m.clock.Now().Sub(m.term.Since) < serverStateExpiry {
		// The servers may not all be known yet at the start of a term.
		return nil
	}
	for server, last := range m.lastOrders {
		if _, known := m.servers[server]; known || last.InFlight || len(writes) == maxOrderRowDeletes {
			continue
		}
		writes = append(writes, platform.Write{Key: orderKey(m.service, server), Delete: true})
	}
	return writes
}

// prepareOrder returns the order to send. It repeats the last order, with its id,
// if that asked for the same state in this term and is not settled.
func (m *moverTask) prepareOrder(wanted WantedOrder) (order enginewire.Order, repeated bool) {
	last := m.lastOrders[wanted.Server]
	same := last.Order.Kind == wanted.Kind && last.Order.Version == string(wanted.Version)
	if same && !last.Settled && last.Order.Fencing == m.term.Fencing {
		return last.Order, true
	}
	m.orderSequence++
	return enginewire.Order{
		ID:      fmt.Sprintf("%s/%s/%d-%d", m.service, wanted.Server, m.term.Fencing, m.orderSequence),
		Kind:    wanted.Kind,
		Version: string(wanted.Version),
		Fencing: m.term.Fencing,
	}, false
}

func (m *moverTask) writeOrders(ctx context.Context, writes []platform.Write) bool {
	ctx, cancel := m.writeContext(ctx)
	defer cancel()
	// After an unknown outcome no order is sent; the next tick plans and writes again.
	result, err := m.table.Transact(ctx, platform.Transaction{Conditions: m.conditions(), Writes: writes})
	if err != nil || !result.Committed {
		return false
	}
	for server := range m.lastOrders {
		if slices.ContainsFunc(writes, func(w platform.Write) bool { return w.Delete && w.Key == orderKey(m.service, server) }) {
			delete(m.lastOrders, server)
		}
	}
	return true
}

// sendOrder sends one order in the background. Its context ends with the term, so
// that nothing is sent afterwards.
func (m *moverTask) sendOrder(ctx context.Context, server model.ServerID, order enginewire.Order) {
	known, found := m.servers[server]
	if !found || !m.holds() {
		return
	}
	m.lastOrders[server] = LastOrder{Order: order, Sent: m.clock.Now(), InFlight: true, Incarnation: known.state.Load.Incarnation}
	m.logger.Info("order sent", eventcode.OrderSent.Attr(), "server", server, "order", order.ID, "kind", order.Kind, "version", order.Version)
	m.recorder.Record(events.Event{Code: eventcode.OrderSent, Service: m.service, Server: server, Version: model.Version(order.Version),
		Cause: fmt.Sprintf("Server %s was told to %s version %s.", server, order.Kind, order.Version)})
	remaining := min(m.policy.OrderTimeout, m.term.Until.Sub(m.clock.Now()))
	go func() {
		orderContext, cancel := context.WithTimeout(ctx, remaining)
		defer cancel()
		outcome := m.sender.Send(orderContext, known.state, order)
		_ = m.messages.Send(ctx, orderFinished{server: server, order: order, outcome: outcome})
	}()
}

// finishOrder marks the order as no longer in flight and records a refusal.
// Whether the order took effect is read from the server's load report.
func (m *moverTask) finishOrder(finished orderFinished) {
	last, found := m.lastOrders[finished.server]
	if !found || last.Order.ID != finished.order.ID {
		return
	}
	last.InFlight = false
	m.lastOrders[finished.server] = last
	if refusal := refusalCause(finished.outcome); refusal != "" {
		m.logger.Warn("order refused", eventcode.OrderRefused.Attr(), "server", finished.server, "order", finished.order.ID, "cause", refusal)
		m.recorder.Record(events.Event{Code: eventcode.OrderRefused, Service: m.service, Server: finished.server,
			Cause: fmt.Sprintf("Server %s did not carry out an order: %s.", finished.server, refusal)})
	}
}

func refusalCause(outcome backends.OrderOutcome) string {
	switch {
	case outcome.Err != nil:
		return outcome.Err.Error()
	case !outcome.Result.Accepted:
		return outcome.Result.Message
	}
	return ""
}
