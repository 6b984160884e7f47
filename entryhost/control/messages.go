package control

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("control")

// ErrConflict reports that another revision was committed first or that another
// host has taken the lease.
var ErrConflict = errs.Class("control conflict")

// Term is a period in which this host holds a lease. The zero value means that
// it holds none.
type Term struct {
	// Fencing is the fencing number of the lease; it grows with each new holder.
	Fencing uint64
	// Since is when the host became the holder.
	Since time.Time
	// Until is when the host must stop writing and sending orders. It carries a
	// monotonic reading.
	Until time.Time
	// HolderVersion is the version of the holder row, a condition of each write.
	HolderVersion platform.RowVersion
}

// Holds reports whether the term covers the time. The end is compared by the
// monotonic clock and by the wall clock, because the monotonic clock stops while
// the host is suspended.
func (t Term) Holds(now time.Time) bool {
	return t.Fencing != 0 && now.Before(t.Until) && now.Round(0).Before(t.Until.Round(0))
}

// Commit is a configuration revision that a mover wants to commit.
type Commit struct {
	// Current is the configuration that the changes were decided on.
	Current *model.Configuration
	// ID identifies the commit when its answer was lost. It must be unique.
	ID      string
	Author  string
	Note    string
	Changes []config.Change
	// Conditions must hold in addition to those of the commit itself.
	Conditions []platform.Condition
}

// Committer commits configuration revisions. It returns ErrConflict when
// Commit.Current is no longer the newest revision or a condition does not hold.
// After any other error the outcome is unknown until the configuration in force
// shows it.
type Committer interface {
	Commit(ctx context.Context, commit Commit) error
}

// OrderSender sends an order to a backend server and waits for its outcome. It
// sends nothing once the context has ended.
type OrderSender interface {
	Send(ctx context.Context, server backends.ServerState, order enginewire.Order) backends.OrderOutcome
}

// moverMessage is a message to a mover task.
type moverMessage interface{ moverMessage() }

// orderFinished is the outcome of an order.
type orderFinished struct {
	server  model.ServerID
	order   enginewire.Order
	outcome backends.OrderOutcome
}

type (
	termChanged          struct{ term Term }
	serverChanged        struct{ event backends.Event }
	configurationChanged struct{ configuration *model.Configuration }
	evidenceChanged      struct{ report admission.EvidenceReport }
)

func (termChanged) moverMessage()          {}
func (serverChanged) moverMessage()        {}
func (configurationChanged) moverMessage() {}
func (evidenceChanged) moverMessage()      {}
func (orderFinished) moverMessage()        {}

// MailboxSender sends orders through the mailbox of the backend server's task.
type MailboxSender struct{}

// Send implements OrderSender.
func (MailboxSender) Send(ctx context.Context, server backends.ServerState, order enginewire.Order) backends.OrderOutcome {
	outcome, err := task.Call(ctx, server.Commands, func(reply task.Reply[backends.OrderOutcome]) backends.Command {
		return backends.SendOrder{Context: ctx, Order: order, Reply: reply}
	})
	if err != nil {
		return backends.OrderOutcome{Err: err}
	}
	return outcome
}
