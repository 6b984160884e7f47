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
	// moverMailboxSize bounds the messages queued for a mover. A full mailbox drops
	// server states, which each read of a server's load sends again.
	moverMailboxSize = 1024
	// tableTimeout bounds one read or write of the table by a mover.
	tableTimeout = time.Second
	// orderScanLimit bounds the order rows that are read at the start of a term.
	orderScanLimit = 4096
	// serverStateExpiry is the time without an update after which a server's state
	// is no longer used.
	serverStateExpiry = 10 * time.Second
)

// moverTask owns the orders and the version move of one service. It writes and
// sends orders only within a term of the lease.
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

	// State of the current term; changeTerm resets it.

	// ordersRead is true once the orders of earlier terms were read.
	ordersRead    bool
	lastOrders    map[model.ServerID]LastOrder
	orderSequence int
	stage         stageProgress
	// awaitedRevision is the revision of the last commit. Move steps wait until it
	// is in force on this host or awaitDeadline has passed.
	awaitedRevision model.Revision
	awaitDeadline   time.Time
}

type knownServer struct {
	state   backends.ServerState
	updated time.Time
}

// stageProgress records when the current stage of a move was first seen in force
// and how many samples there were at that time.
type stageProgress struct {
	move         model.MoveID
	stage        int
	inForceSince time.Time
	samples      int
}

// String names the task in the logs.
func (m *moverTask) String() string { return "mover/" + string(m.service) }

// Serve plans orders and move steps at each tick until the context ends.
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
			m.reconcile(ctx)
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

// changeTerm sets the term. A new fencing number discards the state of the
// earlier term, because another holder may have sent orders in between.
func (m *moverTask) changeTerm(term Term) {
	if term.Fencing != m.term.Fencing {
		m.ordersRead = false
		m.lastOrders = make(map[model.ServerID]LastOrder)
		m.stage = stageProgress{}
		m.awaitedRevision = 0
	}
	m.term = term
}

func (m *moverTask) applyServer(event backends.Event) {
	switch event := event.(type) {
	case backends.ServerChanged:
		m.servers[model.ServerID(event.State.Host.ID)] = knownServer{state: event.State, updated: m.clock.Now()}
	case backends.ServerRemoved:
		delete(m.servers, event.ID)
	}
}

// holds reports whether this host is within its term. It is called before each
// write and each order.
func (m *moverTask) holds() bool { return m.term.Holds(m.clock.Now()) }

// reconcile sends the orders that are due and takes the next step of a running
// move, within a term only. The orders of earlier terms are read first.
func (m *moverTask) reconcile(ctx context.Context) {
	if !m.holds() || m.configuration == nil || (!m.ordersRead && !m.readOrders(ctx)) {
		return
	}
	service, found := m.configuration.Services[m.service]
	if !found {
		return
	}
	views := m.views()
	if service.Kind == model.ServiceEngine {
		m.sendDueOrders(ctx, service, views)
	}
	if move, running := m.configuration.RunningMove(m.service); running && m.lastCommitInForce() {
		m.decideMoveStep(ctx, service, move, views)
	}
}

// lastCommitInForce reports whether the last commit is in force on this host.
func (m *moverTask) lastCommitInForce() bool {
	return m.configuration.Revision >= m.awaitedRevision || !m.clock.Now().Before(m.awaitDeadline)
}

// writeContext returns a context that ends with the term, or after tableTimeout
// if that is earlier.
func (m *moverTask) writeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, min(tableTimeout, m.term.Until.Sub(m.clock.Now())))
}

// readOrders reads the orders of earlier terms, which may still be in flight, and
// reports whether it could.
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
			m.lastOrders[record.Server] = LastOrder{Order: record.Order, Sent: m.clock.Now()}
		}
	}
	m.ordersRead = true
	return true
}

// views returns the servers in order of their ids. A load report from before the
// term began makes a server unusable, because an earlier holder may have changed
// the server since.
func (m *moverTask) views() []ServerView {
	now := m.clock.Now()
	views := make([]ServerView, 0, len(m.servers))
	for id, server := range m.servers {
		if now.Sub(server.updated) > serverStateExpiry {
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

// conditions returns the conditions that make a write fail once another holder
// has taken the lease.
func (m *moverTask) conditions() []platform.Condition {
	if m.policy.Lease.Unsafe {
		return nil
	}
	return []platform.Condition{{Key: HolderKey(m.service), Version: m.term.HolderVersion}}
}

// commitID returns a unique id for the commit of this term on top of base.
func (m *moverTask) commitID(base model.Revision) string {
	return fmt.Sprintf("%s-%d-%s-%d-%d", m.owner.Host, m.owner.Incarnation, m.service, m.term.Fencing, base)
}
