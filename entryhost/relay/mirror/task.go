package mirror

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/task"
)

// Follower is the task that owns this host's copy of one table.
type Follower struct {
	table       string
	store       Store
	peers       Peers
	clock       clockwork.Clock
	logger      *slog.Logger
	subscribers []Subscriber
	mailbox     task.Mailbox[Current]
	failures    *metrics.Counter
	fromPeers   *metrics.Counter

	// The task alone touches the fields below.
	copy Snapshot
	have bool
	// outage is when the store stopped serving this host; zero while it serves.
	outage time.Time
}

// NewFollower returns a follower of the table. Peers may be nil.
func NewFollower(table string, store Store, peers Peers, clock clockwork.Clock, set *metrics.Set, logger *slog.Logger, subscribers ...Subscriber) *Follower {
	return &Follower{
		table: table, store: store, peers: peers, clock: clock, logger: logger, subscribers: subscribers,
		mailbox:   task.NewMailbox[Current](currentSize),
		failures:  set.GetOrCreateCounter(`lentilpoint_store_failures_total{table="` + table + `"}`),
		fromPeers: set.GetOrCreateCounter(`lentilpoint_store_peer_copies_total{table="` + table + `"}`),
	}
}

// Mailbox is where other tasks ask for the copy.
func (f *Follower) Mailbox() task.Mailbox[Current] { return f.mailbox }

// String names the task in the logs.
func (f *Follower) String() string { return "mirror-" + f.table }

// attempt is one round of reading: what it starts from and how patient it is.
type attempt struct {
	copy Snapshot
	have bool
	// outage tells that the last round failed; the store is then only probed.
	outage bool
}

// result is what one round brought. A failed round may hold a peer's copy.
type result struct {
	snapshot Snapshot
	changed  bool
	err      error
	peer     bool
}

// Serve follows the table until the context ends. One round runs at a time; the
// task answers questions for the copy meanwhile.
func (f *Follower) Serve(ctx context.Context) error {
	results := make(chan result, 1)
	for {
		go f.read(ctx, attempt{copy: f.copy, have: f.have, outage: !f.outage.IsZero()}, results)
		if err := f.wait(ctx, results); err != nil {
			return nil
		}
	}
}

// wait answers questions until the running round ended and its pause is over.
func (f *Follower) wait(ctx context.Context, results <-chan result) error {
	var pause <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case question := <-f.mailbox.C():
			question.Reply.Send(f.copy)
		case got := <-results:
			pause = f.clock.After(f.accept(ctx, got))
		case <-pause:
			return nil
		}
	}
}

// read runs one round beside the task, with copies of what it needs.
func (f *Follower) read(ctx context.Context, from attempt, results chan<- result) {
	got := f.readStore(ctx, from)
	if got.err != nil && !errors.Is(got.err, ErrHistoryGone) && f.peers != nil {
		got = f.readPeers(ctx, from, got)
	}
	results <- got
}

func (f *Follower) readStore(ctx context.Context, from attempt) result {
	timing := timingOf(from.have, from.outage)
	ctx, cancel := context.WithTimeout(ctx, timing.timeout)
	defer cancel()
	if !from.have {
		snapshot, err := f.store.ReadTable(ctx, f.table)
		return result{snapshot: snapshot, changed: true, err: err}
	}
	changes, err := f.store.ReadChanges(ctx, f.table, from.copy.Version, timing.wait)
	snapshot, changed := apply(from.copy, changes)
	return result{snapshot: snapshot, changed: changed, err: err}
}

// readPeers adds a newer copy of a peer to a failed round.
func (f *Follower) readPeers(ctx context.Context, from attempt, failed result) result {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	snapshot, err := f.peers.FetchNewer(ctx, f.table, from.copy.Version)
	if err != nil {
		f.logger.Debug("no peer has a copy", eventcode.PeerCopyFailed.Attr(), "table", f.table, "error", err)
		return failed
	}
	failed.snapshot, failed.peer = snapshot, true
	return failed
}

// accept takes the outcome of a round over and returns the pause before the next.
func (f *Follower) accept(ctx context.Context, got result) time.Duration {
	switch {
	case got.err == nil:
		f.regained()
		// A read of the whole table never takes the copy back.
		if got.snapshot.Version < f.copy.Version {
			return retryPause
		}
		f.take(ctx, got.snapshot, got.changed)
		return feedPause
	case errors.Is(got.err, ErrHistoryGone):
		f.logger.Warn("history of the store is gone", eventcode.StoreHistoryGone.Attr(), "table", f.table, "version", f.copy.Version)
		f.have = false
		return 0
	default:
		f.lost(got.err)
		f.takePeer(ctx, got)
		return retryPause
	}
}

func (f *Follower) take(ctx context.Context, snapshot Snapshot, changed bool) {
	returned := f.copy.StoreReturned
	f.copy = snapshot
	f.copy.StoreReturned = returned
	f.have = true
	if changed {
		f.publish(ctx)
	}
}

// takePeer takes a newer copy of a peer over.
func (f *Follower) takePeer(ctx context.Context, got result) {
	if !got.peer || got.snapshot.Version <= f.copy.Version {
		return
	}
	f.fromPeers.Inc()
	f.logger.Info("copy of the table taken from a peer", eventcode.PeerCopyTaken.Attr(), "table", f.table, "version", got.snapshot.Version, "before", f.copy.Version)
	f.take(ctx, got.snapshot, true)
}

func (f *Follower) lost(err error) {
	f.failures.Inc()
	if f.outage.IsZero() {
		f.outage = f.clock.Now()
		f.logger.Warn("store does not serve this host", eventcode.StoreLost.Attr(), "table", f.table, "version", f.copy.Version, "error", err)
	}
}

// regained ends an outage and remembers its end if rows may have lapsed in it.
func (f *Follower) regained() {
	if f.outage.IsZero() {
		return
	}
	now := f.clock.Now()
	lasted := now.Sub(f.outage)
	f.outage = time.Time{}
	if lasted >= outageMin {
		f.copy.StoreReturned = now
	}
	f.logger.Info("store serves this host again", eventcode.StoreRegained.Attr(), "table", f.table, "outage_ms", lasted.Milliseconds())
}

// publish sends the copy to all subscribers. They drain their mailboxes without
// calling this task, so waiting for room cannot block for long.
func (f *Follower) publish(ctx context.Context) {
	for _, subscriber := range f.subscribers {
		for subscriber.TrySend(f.copy) != nil {
			select {
			case <-ctx.Done():
				return
			case <-f.clock.After(subscriberRetry):
			}
		}
	}
}
