// Package roster owns the list of entry hosts. Each host writes one row for itself
// into a table that all hosts follow. The listed hosts provide copies of tables
// while the store does not serve this host, and share the retry budget.
package roster

import (
	"context"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/mirror"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("roster")

// Store persists the row of an entry host.
type Store interface {
	// WriteHost writes the row of the host unless the store already holds it.
	WriteHost(ctx context.Context, host routing.Host) error
}

// Decoder decodes the row of an entry host.
type Decoder interface {
	Host(row mirror.Row) (routing.Host, error)
}

// HostsRequest asks for the known hosts other than this one.
type HostsRequest struct {
	Reply task.Reply[[]routing.Host]
}

const (
	// requestsCapacity is the capacity of the mailbox. A full mailbox blocks callers.
	requestsCapacity = 16
	// snapshotsCapacity is the capacity for snapshots of the table of hosts; the
	// follower sends one again that did not fit.
	snapshotsCapacity = 4
	// initialRetryDelay is the delay before this host's row is written again after a
	// failure. It doubles up to maxRetryDelay.
	initialRetryDelay = 500 * time.Millisecond
	maxRetryDelay     = 8 * time.Second
	// callTimeout bounds one call to the store, which answers in 4 to 10 ms.
	callTimeout = time.Second
)

// Task is the task that owns the list of hosts.
type Task struct {
	self        routing.Host
	store       Store
	decoder     Decoder
	clock       clockwork.Clock
	logger      *slog.Logger
	mailbox     task.Mailbox[HostsRequest]
	snapshots   task.Mailbox[mirror.Snapshot]
	subscribers []task.Mailbox[[]routing.Host]

	// The fields below are accessed only by the task's goroutine.
	hosts []routing.Host
	// era is that of the store in the last copy of the table.
	era uint64
	// rejectedRows maps the keys of undecodable rows to the version that was logged.
	rejectedRows map[string]uint64
}

// NewTask returns a task with an empty list for host self. Subscribers receive each
// list that is read.
func NewTask(self routing.Host, store Store, decoder Decoder, clock clockwork.Clock, logger *slog.Logger, subscribers ...task.Mailbox[[]routing.Host]) *Task {
	return &Task{
		self: self, store: store, decoder: decoder, clock: clock, logger: logger, subscribers: subscribers, rejectedRows: map[string]uint64{},
		mailbox: task.NewMailbox[HostsRequest](requestsCapacity), snapshots: task.NewMailbox[mirror.Snapshot](snapshotsCapacity),
	}
}

// Mailbox receives requests for the known hosts.
func (t *Task) Mailbox() task.Mailbox[HostsRequest] { return t.mailbox }

// Snapshots receives copies of the table of hosts.
func (t *Task) Snapshots() mirror.Subscriber { return t.snapshots }

// String names the task in the logs.
func (t *Task) String() string { return "roster" }

// Serve writes the row of this host and maintains the list until the context ends.
func (t *Task) Serve(ctx context.Context) error {
	delay := initialRetryDelay
	results := make(chan error, 1)
	go t.writeRow(ctx, results)
	var retry <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case request := <-t.mailbox.C():
			request.Reply.Send(t.hosts)
		case snapshot := <-t.snapshots.C():
			if t.applySnapshot(snapshot) {
				go t.writeRow(ctx, results)
			}
		case err := <-results:
			if err != nil {
				t.logger.Warn("row of this host could not be written; other hosts may not know it", eventcode.RosterNotRead.Attr(), "retry_ms", delay.Milliseconds(), "error", err)
				retry = t.clock.After(delay)
				delay = min(2*delay, maxRetryDelay)
			}
		case <-retry:
			go t.writeRow(ctx, results)
		}
	}
}

func (t *Task) writeRow(ctx context.Context, results chan<- error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	results <- t.store.WriteHost(ctx, t.self)
}

// applySnapshot decodes the rows of the other hosts. A row that cannot be decoded is
// skipped and logged once for each version of the row. It reports whether the store may
// have lost the row of this host, as it came back from an older copy.
func (t *Task) applySnapshot(snapshot mirror.Snapshot) bool {
	lostWrites := t.era != 0 && snapshot.Era > t.era
	t.era = max(t.era, snapshot.Era)
	t.hosts = make([]routing.Host, 0, len(snapshot.Rows))
	for key, row := range snapshot.Rows {
		host, err := t.decoder.Host(row)
		switch {
		case err != nil && t.rejectedRows[key] != row.Version:
			t.rejectedRows[key] = row.Version
			t.logger.Warn("row of an entry host cannot be decoded; ignoring it", eventcode.RosterNotRead.Attr(), "key", key, "row_version", row.Version, "error", err)
		case err == nil && host.Address != t.self.Address:
			t.hosts = append(t.hosts, host)
		}
	}
	for key := range t.rejectedRows {
		if _, found := snapshot.Rows[key]; !found {
			delete(t.rejectedRows, key)
		}
	}
	for _, subscriber := range t.subscribers {
		if subscriber.TrySend(t.hosts) != nil {
			t.logger.Warn("mailbox of a subscriber is full; it receives the list of entry hosts after the next change", eventcode.RosterNotRead.Attr(), "hosts", len(t.hosts))
		}
	}
	return lostWrites
}
