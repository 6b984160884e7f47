package control

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// moverMailboxSize bounds the messages that wait for a mover. A full mailbox
	// drops server states and evidence, which are repeated.
	moverMailboxSize = 1024
	// tableTimeout bounds one read or write of the mover.
	tableTimeout = time.Second
	// orderScanLimit bounds the order rows that are read at the start of a term.
	orderScanLimit = 4096
	// forgetServerAfter is the time without news after which a server's state is
	// no longer used.
	forgetServerAfter = 10 * time.Second
)

// moverTask owns the orders and the version move of one service. It acts only
// in a term of the lease.
type moverTask struct {
	service   model.ServiceName
	owner     Owner
	policy    Policy
	table     platform.Table
	committer Committer
	sender    OrderSender
	messages  task.Mailbox[moverMessage]
	recorder  events.Recorder
	clock     clockwork.Clock
	logger    *slog.Logger

	term          Term
	configuration *model.Configuration
	servers       map[model.ServerID]knownServer
	evidence      admission.EvidenceReport

	// The state of the present term.
	readBack    bool
	outstanding map[model.ServerID]Outstanding
	orderNo     int
	stage       stageMark
	// awaiting is the revision of the last commit; decisions wait until it is in
	// force on this host or the time has passed.
	awaiting      model.Revision
	awaitingUntil time.Time
}

type knownServer struct {
	state backends.ServerState
	seen  time.Time
}

// stageMark is when the present stage was first seen in force.
type stageMark struct {
	move    model.MoveID
	stage   int
	since   time.Time
	samples int
}

// String names the task in the logs.
func (m *moverTask) String() string { return "mover/" + string(m.service) }

// Serve carries out orders and moves until the context ends.
func (m *moverTask) Serve(ctx context.Context) error {
	ticker := m.clock.NewTicker(m.policy.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-m.messages.C():
			m.handle(message)
		case <-ticker.Chan():
			m.act(ctx)
		}
	}
}

func (m *moverTask) handle(message moverMessage) {
	switch message := message.(type) {
	case termChanged:
		m.changeTerm(message.term)
	case configurationChanged:
		m.configuration = message.configuration
	case evidenceChanged:
		m.evidence = message.report
	case serverChanged:
		m.applyServer(message.event)
	case orderFinished:
		m.finishOrder(message)
	}
}

// changeTerm forgets what an earlier term knew, as another holder may have
// acted in between.
func (m *moverTask) changeTerm(term Term) {
	if term.Fencing != m.term.Fencing {
		m.readBack = false
		m.outstanding = make(map[model.ServerID]Outstanding)
		m.stage = stageMark{}
		m.awaiting = 0
	}
	m.term = term
}

func (m *moverTask) applyServer(event backends.Event) {
	switch event := event.(type) {
	case backends.ServerChanged:
		m.servers[model.ServerID(event.State.Host.ID)] = knownServer{state: event.State, seen: m.clock.Now()}
	case backends.ServerRemoved:
		delete(m.servers, event.ID)
	}
}

// holds checks the lease by the monotonic clock. It is called before each write
// and each order.
func (m *moverTask) holds() bool { return m.term.Holds(m.clock.Now()) }

// act does what is due in the present term.
func (m *moverTask) act(ctx context.Context) {
	if !m.holds() || m.configuration == nil || (!m.readBack && !m.readOrders(ctx)) {
		return
	}
	service, found := m.configuration.Services[m.service]
	if !found {
		return
	}
	views := m.views()
	if service.Kind == model.ServiceEngine {
		m.order(ctx, service, views)
	}
	if move, running := m.configuration.RunningMove(m.service); running && m.settled() {
		m.step(ctx, service, move, views)
	}
}

// settled reports whether the last commit is in force on this host.
func (m *moverTask) settled() bool {
	return m.configuration.Revision >= m.awaiting || !m.clock.Now().Before(m.awaitingUntil)
}

// writeContext bounds a write by the end of the term.
func (m *moverTask) writeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, min(tableTimeout, m.term.Until.Sub(m.clock.Now())))
}

// readOrders reads the orders of earlier terms, which may still be under way.
func (m *moverTask) readOrders(ctx context.Context) bool {
	ctx, cancel := m.writeContext(ctx)
	defer cancel()
	rows, err := m.table.Scan(ctx, orderPrefix(m.service), "", orderScanLimit)
	if err != nil {
		return false
	}
	for _, row := range rows {
		var record OrderRecord
		if decode(row.Value, &record) == nil {
			m.outstanding[record.Server] = Outstanding{Order: record.Order, Sent: m.clock.Now()}
		}
	}
	m.readBack = true
	return true
}

// views returns the servers in a fixed order. A state read before the term
// began is not usable, because an earlier holder may have changed it since.
func (m *moverTask) views() []ServerView {
	now := m.clock.Now()
	views := make([]ServerView, 0, len(m.servers))
	for id, server := range m.servers {
		if now.Sub(server.seen) > forgetServerAfter {
			continue
		}
		state := server.state
		views = append(views, ServerView{
			ID:       id,
			Usable:   state.Reachable && !state.Host.Leaving && state.LoadAt.After(m.term.Since),
			Versions: state.Load.Versions, Incarnation: state.Load.Incarnation,
		})
	}
	slices.SortFunc(views, func(a, b ServerView) int { return cmp.Compare(a.ID, b.ID) })
	return views
}

// conditions make a write fail once another holder has taken the lease.
func (m *moverTask) conditions() []platform.Condition {
	if m.policy.Lease.Unsafe {
		return nil
	}
	return []platform.Condition{{Key: HolderKey(m.service), Version: m.term.Holder}}
}

// commitID identifies a commit of this term.
func (m *moverTask) commitID(base model.Revision) string {
	return fmt.Sprintf("%s-%d-%s-%d-%d", m.owner.Host, m.owner.Incarnation, m.service, m.term.Fencing, base)
}
