package mirror

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
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
	random      *rand.Rand
	logger      *slog.Logger
	subscribers []Subscriber
	mailbox     task.Mailbox[Question]
	storeCalls  *metrics.Counter
	failures    *metrics.Counter
	fromPeers   *metrics.Counter

	// The task alone touches the fields below.
	copy Snapshot
	have bool
	gone removals
	// partial is the table as far as it was read while there is no copy.
	partial partial
	// served is when the store last served this host, and outage when it
	// stopped; outage is zero while it serves.
	served time.Time
	outage time.Time
	failed int
	// avoid are peers that failed, until the time given.
	avoid   map[string]time.Time
	waiting []held
}

// held is a question that waits for a change.
type held struct {
	question Question
	until    time.Time
}

// NewFollower returns a follower of the table.
func NewFollower(table string, store Store, peers Peers, clock clockwork.Clock, random *rand.Rand, set *metrics.Set, logger *slog.Logger, subscribers ...Subscriber) *Follower {
	return &Follower{
		table: table, store: store, peers: peers, clock: clock, random: random, logger: logger, subscribers: subscribers,
		mailbox:    task.NewMailbox[Question](questionsSize),
		storeCalls: set.GetOrCreateCounter(`lentilpoint_store_reads_total{table="` + table + `"}`),
		failures:   set.GetOrCreateCounter(`lentilpoint_store_failures_total{table="` + table + `"}`),
		fromPeers:  set.GetOrCreateCounter(`lentilpoint_store_peer_copies_total{table="` + table + `"}`),
		copy:       Snapshot{Table: table},
		avoid:      map[string]time.Time{},
	}
}

// Mailbox is where other tasks ask for changes.
func (f *Follower) Mailbox() task.Mailbox[Question] { return f.mailbox }

// String names the task in the logs.
func (f *Follower) String() string { return "mirror-" + f.table }

// attempt is one round of reading: what it starts from and how patient it is.
type attempt struct {
	copy Snapshot
	have bool
	// failed is the number of rounds in a row that the store did not serve; it is
	// then only probed.
	failed  int
	avoid   map[string]time.Time
	partial partial
}

// result is what one round brought.
type result struct {
	changes Changes
	// reader is the peer that was asked instead of the store, or "".
	reader string
	// readerErr is why the reader was no use.
	readerErr error
	// partial is the whole table as far as it was read.
	partial partial
	// asked tells that the store was called, err how that failed.
	asked bool
	err   error
}

// Serve follows the table until the context ends. One round runs at a time; the
// task answers questions for the copy meanwhile.
func (f *Follower) Serve(ctx context.Context) error {
	results := make(chan result, 1)
	for {
		go func(from attempt) { results <- f.read(ctx, from) }(f.nextAttempt())
		if err := f.wait(ctx, results); err != nil {
			return nil
		}
	}
}

func (f *Follower) nextAttempt() attempt {
	now := f.clock.Now()
	maps.DeleteFunc(f.avoid, func(_ string, until time.Time) bool { return now.After(until) })
	return attempt{copy: f.copy, have: f.have, failed: f.failed, avoid: maps.Clone(f.avoid), partial: f.partial.continued(now)}
}

// wait answers questions until the running round ended and its pause is over.
func (f *Follower) wait(ctx context.Context, results <-chan result) error {
	var pause <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case question := <-f.mailbox.C():
			f.take(question)
		case <-f.nextExpiry():
			f.answerWaiting(false)
		case got := <-results:
			pause = f.clock.After(f.accept(ctx, got))
		case <-pause:
			return nil
		}
	}
}

// take answers a question, or holds it until there is a change.
func (f *Follower) take(question Question) {
	if f.copy.Version > question.Query.After || question.Query.Wait <= 0 {
		f.answer(question)
		return
	}
	f.waiting = append(f.waiting, held{question: question, until: f.clock.Now().Add(question.Query.Wait)})
}

func (f *Follower) answer(question Question) {
	question.Reply.Send(Answer{Changes: since(f.copy, f.gone, question.Query.After), StoreAge: f.clock.Since(f.served)})
}

// nextExpiry fires when the question that was held first has waited long enough.
func (f *Follower) nextExpiry() <-chan time.Time {
	if len(f.waiting) == 0 {
		return nil
	}
	return f.clock.After(f.waiting[0].until.Sub(f.clock.Now()))
}

// answerWaiting answers the held questions, all of them after a change.
func (f *Follower) answerWaiting(changed bool) {
	now := f.clock.Now()
	kept := f.waiting[:0]
	for _, waiting := range f.waiting {
		if changed || !now.Before(waiting.until) {
			f.answer(waiting.question)
			continue
		}
		kept = append(kept, waiting)
	}
	f.waiting = kept
}

// read runs one round beside the task: by the data centre's reader if that is another
// host, else by the store, and by any peer if the store does not serve.
func (f *Follower) read(ctx context.Context, from attempt) result {
	var got result
	if from.have && from.failed == 0 {
		if got.reader = f.peers.Reader(ctx, from.avoid); got.reader != "" {
			got.changes, got.readerErr = f.readPeer(ctx, got.reader, from.copy.Version)
			if got.readerErr == nil {
				return got
			}
		}
	}
	got.asked = true
	got.changes, got.partial, got.err = f.readStore(ctx, from)
	if got.err != nil && !errors.Is(got.err, ErrHistoryGone) {
		got.changes = f.readAny(ctx, from)
	}
	return got
}

func (f *Follower) readPeer(ctx context.Context, host string, after uint64) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, peerWait+peerSlack)
	defer cancel()
	answer, err := f.peers.Ask(ctx, host, Query{Table: f.table, After: after, Wait: peerWait})
	if err == nil && answer.StoreAge > peerAgeMax {
		err = Error.New("%s was last served by the store %d ms ago", host, answer.StoreAge.Milliseconds())
	}
	return answer.Changes, err
}

// readStore reads what changed, or the whole table where there is no copy.
func (f *Follower) readStore(ctx context.Context, from attempt) (Changes, partial, error) {
	timing := timingOf(from.have, from.failed)
	ctx, cancel := context.WithTimeout(ctx, timing.timeout)
	defer cancel()
	if !from.have {
		whole, err := f.readWhole(ctx, from.partial)
		return whole.changes, whole, err
	}
	f.storeCalls.Inc()
	changes, err := f.store.ReadChanges(ctx, f.table, from.copy.Version, timing.wait)
	return changes, partial{}, err
}

// readWhole reads the pages of the table that are missing. With an error it
// returns those that it got.
func (f *Follower) readWhole(ctx context.Context, read partial) (partial, error) {
	for {
		f.storeCalls.Inc()
		page, err := f.store.ReadPage(ctx, f.table, read.next)
		if err != nil {
			return read, err
		}
		var last bool
		if read, last = read.add(page); last {
			return read, nil
		}
	}
}

// readAny returns what peers know, or nothing.
func (f *Follower) readAny(ctx context.Context, from attempt) Changes {
	ctx, cancel := context.WithTimeout(ctx, doubled(anyTimeout, from.failed, anyLongest))
	defer cancel()
	answer, err := f.peers.AskAny(ctx, Query{Table: f.table, After: from.copy.Version})
	if err != nil {
		f.logger.Debug("no peer has a copy", eventcode.PeerCopyFailed.Attr(), "table", f.table, "error", err)
		return Changes{}
	}
	return answer.Changes
}

// accept takes the outcome of a round over and returns the pause before the next.
func (f *Follower) accept(ctx context.Context, got result) time.Duration {
	if got.readerErr != nil {
		f.avoid[got.reader] = f.clock.Now().Add(avoidTime)
		f.logger.Info("peer does not read the store for this host", eventcode.ReaderLeft.Attr(), "table", f.table, "peer", got.reader, "error", got.readerErr)
	}
	switch {
	case errors.Is(got.err, ErrHistoryGone):
		f.logger.Warn("history of the store is gone", eventcode.StoreHistoryGone.Attr(), "table", f.table, "version", f.copy.Version)
		f.have, f.partial = false, partial{}
		return 0
	case got.err != nil:
		f.lost(got.err)
		f.partial = got.partial
		f.fromPeer(ctx, got.changes)
		return retryAfter(f.failed, f.random.Float64())
	case got.asked:
		f.partial = partial{}
		f.regained()
	}
	// A read of the whole table never takes the copy back.
	if got.changes.Version < f.copy.Version {
		return retryAfter(0, f.random.Float64())
	}
	f.update(ctx, got.changes)
	return feedPause
}

// update applies changes and passes the new copy on.
func (f *Follower) update(ctx context.Context, changes Changes) {
	next, changed := apply(f.copy, changes)
	f.gone = f.gone.note(f.copy, next)
	f.copy, f.have = next, true
	if changed {
		f.publish(ctx)
		f.answerWaiting(true)
	}
}

// fromPeer takes what a peer knows while the store does not serve this host.
func (f *Follower) fromPeer(ctx context.Context, changes Changes) {
	if changes.Version <= f.copy.Version {
		return
	}
	f.fromPeers.Inc()
	f.logger.Info("changes of the table taken from a peer", eventcode.PeerCopyTaken.Attr(), "table", f.table, "version", changes.Version, "before", f.copy.Version, "rows", len(changes.Rows))
	f.update(ctx, changes)
}

func (f *Follower) lost(err error) {
	f.failures.Inc()
	f.failed++
	if f.outage.IsZero() {
		f.outage = f.clock.Now()
		f.logger.Warn("store does not serve this host", eventcode.StoreLost.Attr(), "table", f.table, "version", f.copy.Version, "error", err)
	}
}

// regained ends an outage and remembers its end if rows may have lapsed in it.
func (f *Follower) regained() {
	now := f.clock.Now()
	f.served = now
	f.failed = 0
	if f.outage.IsZero() {
		return
	}
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
