// Package roster owns the list of entry hosts. Each host writes one row for
// itself and reads the others' now and then; they are asked for copies while
// the store does not serve this host, and share the retry budget.
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

// Store keeps the rows of the entry hosts.
type Store interface {
	// WriteHost writes the row of the host unless it is there unchanged.
	WriteHost(ctx context.Context, host routing.Host) error
	ReadHosts(ctx context.Context) ([]routing.Host, error)
}

// Current asks for the known hosts without this one.
type Current struct {
	Reply task.Reply[[]routing.Host]
}

const (
	// currentSize is the capacity of the mailbox; a full one delays a question.
	currentSize = 16
	// firstPause is the time until the list is read again after the start, when
	// other hosts have written their rows. It doubles up to longestPause, which
	// keeps the calls of 360 hosts below 20 a second.
	firstPause   = 2 * time.Second
	longestPause = 20 * time.Second
	// callTimeout bounds one call to the store, which answers in 4 to 10 ms.
	callTimeout = time.Second
)

// Task owns the list.
type Task struct {
	self        routing.Host
	store       Store
	clock       clockwork.Clock
	logger      *slog.Logger
	mailbox     task.Mailbox[Current]
	subscribers []task.Mailbox[[]routing.Host]

	hosts   []routing.Host
	written bool
}

// NewTask returns the list for this host. Subscribers receive each list read.
func NewTask(self routing.Host, store Store, clock clockwork.Clock, logger *slog.Logger, subscribers ...task.Mailbox[[]routing.Host]) *Task {
	return &Task{self: self, store: store, clock: clock, logger: logger, mailbox: task.NewMailbox[Current](currentSize), subscribers: subscribers}
}

// Mailbox is where other tasks ask for the hosts.
func (t *Task) Mailbox() task.Mailbox[Current] { return t.mailbox }

// String names the task in the logs.
func (t *Task) String() string { return "roster" }

// Serve keeps the list until the context ends.
func (t *Task) Serve(ctx context.Context) error {
	pause := firstPause
	results := make(chan round, 1)
	go t.refresh(ctx, t.written, results)
	var next <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case question := <-t.mailbox.C():
			question.Reply.Send(t.hosts)
		case got := <-results:
			t.take(got)
			next = t.clock.After(pause)
			if got.err == nil {
				pause = min(2*pause, longestPause)
			}
		case <-next:
			go t.refresh(ctx, t.written, results)
		}
	}
}

// round is the outcome of one refresh.
type round struct {
	hosts   []routing.Host
	written bool
	err     error
}

// refresh writes the row of this host once and reads all rows.
func (t *Task) refresh(ctx context.Context, written bool, results chan<- round) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	got := round{written: written}
	if !written {
		got.err = t.store.WriteHost(ctx, t.self)
		got.written = got.err == nil
	}
	if got.err == nil {
		got.hosts, got.err = t.store.ReadHosts(ctx)
	}
	results <- got
}

func (t *Task) take(got round) {
	t.written = got.written
	if got.err != nil {
		t.logger.Warn("list of entry hosts not read; the last one stays", eventcode.RosterNotRead.Attr(), "hosts", len(t.hosts), "error", got.err)
		return
	}
	t.hosts = nil
	for _, host := range got.hosts {
		if host.Address != t.self.Address {
			t.hosts = append(t.hosts, host)
		}
	}
	for _, subscriber := range t.subscribers {
		if subscriber.TrySend(t.hosts) != nil {
			t.logger.Warn("a subscriber gets the list of entry hosts with the next read", eventcode.RosterNotRead.Attr(), "hosts", len(t.hosts))
		}
	}
}
