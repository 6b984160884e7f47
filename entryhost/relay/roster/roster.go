// Package roster owns the list of entry hosts. Each host writes one row for itself
// and periodically reads those of the others. The listed hosts provide copies of
// tables while the store does not serve this host, and share the retry budget.
package roster

import (
	"context"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("roster")

// Store persists the rows of the entry hosts.
type Store interface {
	// WriteHost writes the row of the host unless the store already holds it.
	WriteHost(ctx context.Context, host routing.Host) error
	// ReadHosts returns the rows of all hosts.
	ReadHosts(ctx context.Context) ([]routing.Host, error)
}

// HostsRequest asks for the known hosts other than this one.
type HostsRequest struct {
	Reply task.Reply[[]routing.Host]
}

const (
	// requestsCapacity is the capacity of the mailbox. A full mailbox blocks callers.
	requestsCapacity = 16
	// initialRefreshInterval is the time from the first read to the second, when
	// other hosts that start at the same time have written their rows. The interval
	// doubles up to maxRefreshInterval, which keeps the calls of 360 hosts below 20
	// per second.
	initialRefreshInterval = 2 * time.Second
	maxRefreshInterval     = 20 * time.Second
	// callTimeout bounds one call to the store, which answers in 4 to 10 ms.
	callTimeout = time.Second
)

// Task is the task that owns the list of hosts.
type Task struct {
	self        routing.Host
	store       Store
	clock       clockwork.Clock
	logger      *slog.Logger
	mailbox     task.Mailbox[HostsRequest]
	subscribers []task.Mailbox[[]routing.Host]

	// The fields below are accessed only by the task's goroutine.
	hosts      []routing.Host
	rowWritten bool
}

// NewTask returns a task with an empty list for host self. Subscribers receive each
// list that is read.
func NewTask(self routing.Host, store Store, clock clockwork.Clock, logger *slog.Logger, subscribers ...task.Mailbox[[]routing.Host]) *Task {
	return &Task{self: self, store: store, clock: clock, logger: logger, mailbox: task.NewMailbox[HostsRequest](requestsCapacity), subscribers: subscribers}
}

// Mailbox receives requests for the known hosts.
func (t *Task) Mailbox() task.Mailbox[HostsRequest] { return t.mailbox }

// String names the task in the logs.
func (t *Task) String() string { return "roster" }

// Serve refreshes the list until the context ends.
func (t *Task) Serve(ctx context.Context) error {
	interval := initialRefreshInterval
	results := make(chan refreshResult, 1)
	go t.refresh(ctx, t.rowWritten, results)
	var next <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case request := <-t.mailbox.C():
			request.Reply.Send(t.hosts)
		case result := <-results:
			t.handleResult(result)
			next = t.clock.After(interval)
			if result.err == nil {
				interval = min(2*interval, maxRefreshInterval)
			}
		case <-next:
			go t.refresh(ctx, t.rowWritten, results)
		}
	}
}

// refreshResult is the outcome of one refresh.
type refreshResult struct {
	hosts      []routing.Host
	rowWritten bool
	err        error
}

// refresh writes the row of this host unless that was done, and reads all rows.
func (t *Task) refresh(ctx context.Context, rowWritten bool, results chan<- refreshResult) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result := refreshResult{rowWritten: rowWritten}
	if !rowWritten {
		result.err = t.store.WriteHost(ctx, t.self)
		result.rowWritten = result.err == nil
	}
	if result.err == nil {
		result.hosts, result.err = t.store.ReadHosts(ctx)
	}
	results <- result
}

func (t *Task) handleResult(result refreshResult) {
	t.rowWritten = result.rowWritten
	if result.err != nil {
		t.logger.Warn("list of entry hosts could not be read; keeping the last one", eventcode.RosterNotRead.Attr(), "hosts", len(t.hosts), "error", result.err)
		return
	}
	t.hosts = nil
	for _, host := range result.hosts {
		if host.Address != t.self.Address {
			t.hosts = append(t.hosts, host)
		}
	}
	for _, subscriber := range t.subscribers {
		if subscriber.TrySend(t.hosts) != nil {
			t.logger.Warn("mailbox of a subscriber is full; it receives the list of entry hosts after the next read", eventcode.RosterNotRead.Attr(), "hosts", len(t.hosts))
		}
	}
}
