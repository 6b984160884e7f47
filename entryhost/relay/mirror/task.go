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
	table         string
	store         Store
	peers         Peers
	clock         clockwork.Clock
	random        *rand.Rand
	logger        *slog.Logger
	subscribers   []Subscriber
	mailbox       task.Mailbox[ChangesRequest]
	storeCalls    *metrics.Counter
	storeFailures *metrics.Counter
	peerSnapshots *metrics.Counter

	// The fields below are accessed only by the task's goroutine.
	snapshot    Snapshot
	hasSnapshot bool
	removed     removals
	// partialRead is the unfinished read of the table while there is no snapshot.
	partialRead partialRead
	// lastServed is when the store last served this host. outageStart is when it
	// stopped serving, or zero while it serves.
	lastServed   time.Time
	outageStart  time.Time
	failedRounds int
	// excludedPeers maps peers that failed to the end of their exclusion.
	excludedPeers map[string]time.Time
	heldRequests  []heldRequest
}

// heldRequest is a request that waits for a change.
type heldRequest struct {
	request   ChangesRequest
	expiresAt time.Time
}

// NewFollower returns a follower of the table. Subscribers receive each new
// snapshot.
func NewFollower(table string, store Store, peers Peers, clock clockwork.Clock, random *rand.Rand, set *metrics.Set, logger *slog.Logger, subscribers ...Subscriber) *Follower {
	return &Follower{
		table: table, store: store, peers: peers, clock: clock, random: random, logger: logger, subscribers: subscribers,
		mailbox:       task.NewMailbox[ChangesRequest](requestsCapacity),
		storeCalls:    set.GetOrCreateCounter(`lentilpoint_store_reads_total{table="` + table + `"}`),
		storeFailures: set.GetOrCreateCounter(`lentilpoint_store_failures_total{table="` + table + `"}`),
		peerSnapshots: set.GetOrCreateCounter(`lentilpoint_store_peer_copies_total{table="` + table + `"}`),
		snapshot:      Snapshot{Table: table},
		excludedPeers: map[string]time.Time{},
	}
}

// Mailbox receives requests for changes.
func (f *Follower) Mailbox() task.Mailbox[ChangesRequest] { return f.mailbox }

// String names the task in the logs.
func (f *Follower) String() string { return "mirror-" + f.table }

// round is the input of one round of reading.
type round struct {
	snapshot    Snapshot
	hasSnapshot bool
	// failedRounds is the number of consecutive rounds in which the store failed;
	// above 0 the store is only probed.
	failedRounds  int
	excludedPeers map[string]time.Time
	partialRead   partialRead
}

// roundResult is the outcome of one round.
type roundResult struct {
	changes Changes
	// reader is the peer that was queried instead of the store, or "".
	reader string
	// readerErr is why the reader's answer was not used.
	readerErr error
	// partialRead is the unfinished read of the table.
	partialRead partialRead
	// storeCalled reports whether the store was called, storeErr how that failed.
	storeCalled bool
	storeErr    error
}

// Serve follows the table until the context ends. One round runs at a time, in
// its own goroutine, while the task serves requests.
func (f *Follower) Serve(ctx context.Context) error {
	results := make(chan roundResult, 1)
	for {
		go func(current round) { results <- f.runRound(ctx, current) }(f.nextRound())
		if err := f.awaitRound(ctx, results); err != nil {
			return nil
		}
	}
}

func (f *Follower) nextRound() round {
	now := f.clock.Now()
	maps.DeleteFunc(f.excludedPeers, func(_ string, until time.Time) bool { return now.After(until) })
	return round{snapshot: f.snapshot, hasSnapshot: f.hasSnapshot, failedRounds: f.failedRounds, excludedPeers: maps.Clone(f.excludedPeers), partialRead: f.partialRead.resumeOrRestart(now)}
}

// awaitRound serves requests until the running round has ended and the next one is due.
func (f *Follower) awaitRound(ctx context.Context, results <-chan roundResult) error {
	var nextRound <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case request := <-f.mailbox.C():
			f.handleRequest(request)
		case <-f.nextExpiry():
			f.replyToHeld(false)
		case result := <-results:
			nextRound = f.clock.After(f.handleResult(ctx, result))
		case <-nextRound:
			return nil
		}
	}
}

// handleRequest replies to a request, or holds it until there is a change.
func (f *Follower) handleRequest(request ChangesRequest) {
	if f.snapshot.Version > request.Query.After || request.Query.Wait <= 0 {
		f.reply(request)
		return
	}
	f.heldRequests = append(f.heldRequests, heldRequest{request: request, expiresAt: f.clock.Now().Add(request.Query.Wait)})
}

func (f *Follower) reply(request ChangesRequest) {
	request.Reply.Send(Answer{Changes: changesSince(f.snapshot, f.removed, request.Query.After), StoreAge: f.clock.Since(f.lastServed)})
}

// nextExpiry returns a timer for the oldest held request.
func (f *Follower) nextExpiry() <-chan time.Time {
	if len(f.heldRequests) == 0 {
		return nil
	}
	return f.clock.After(f.heldRequests[0].expiresAt.Sub(f.clock.Now()))
}

// replyToHeld replies to the held requests: to all after a change, else to those
// that have expired.
func (f *Follower) replyToHeld(changed bool) {
	now := f.clock.Now()
	kept := f.heldRequests[:0]
	for _, held := range f.heldRequests {
		if changed || !now.Before(held.expiresAt) {
			f.reply(held.request)
			continue
		}
		kept = append(kept, held)
	}
	f.heldRequests = kept
}

// runRound runs one round outside the task's goroutine. It queries the reader of
// the data centre if that is another host, otherwise the store, and any peer if
// the store fails.
func (f *Follower) runRound(ctx context.Context, current round) roundResult {
	var result roundResult
	if current.hasSnapshot && current.failedRounds == 0 {
		if result.reader = f.peers.StoreReader(ctx, current.excludedPeers); result.reader != "" {
			result.changes, result.readerErr = f.queryPeer(ctx, result.reader, current.snapshot.Version)
			if result.readerErr == nil {
				return result
			}
		}
	}
	result.storeCalled = true
	result.changes, result.partialRead, result.storeErr = f.readStore(ctx, current)
	if result.storeErr != nil && !errors.Is(result.storeErr, ErrHistoryGone) {
		result.changes = f.queryAnyPeer(ctx, current)
	}
	return result
}

func (f *Follower) queryPeer(ctx context.Context, host string, after uint64) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, peerPollTimeout+peerDeadlineMargin)
	defer cancel()
	answer, err := f.peers.QueryHost(ctx, host, Query{Table: f.table, After: after, Wait: peerPollTimeout})
	if err == nil && answer.StoreAge > maxPeerStoreAge {
		err = Error.New("peer %s was last served by the store %d ms ago", host, answer.StoreAge.Milliseconds())
	}
	return answer.Changes, err
}

// readStore reads the changes, or the whole table if there is no snapshot.
func (f *Follower) readStore(ctx context.Context, current round) (Changes, partialRead, error) {
	timing := callTimingFor(current.hasSnapshot, current.failedRounds)
	ctx, cancel := context.WithTimeout(ctx, timing.timeout)
	defer cancel()
	if !current.hasSnapshot {
		read, err := f.readTable(ctx, current.partialRead)
		return read.changes, read, err
	}
	f.storeCalls.Inc()
	changes, err := f.store.ReadChanges(ctx, f.table, current.snapshot.Version, timing.pollTimeout)
	return changes, partialRead{}, err
}

// readTable reads the missing pages of the table. On an error it returns the
// pages that it has read.
func (f *Follower) readTable(ctx context.Context, read partialRead) (partialRead, error) {
	for {
		f.storeCalls.Inc()
		page, err := f.store.ReadPage(ctx, f.table, read.nextKey)
		if err != nil {
			return read, err
		}
		var last bool
		if read, last = read.add(page); last {
			return read, nil
		}
	}
}

// queryAnyPeer returns newer changes from any peer, or none.
func (f *Follower) queryAnyPeer(ctx context.Context, current round) Changes {
	ctx, cancel := context.WithTimeout(ctx, backoff(initialAnyTimeout, current.failedRounds, maxAnyTimeout))
	defer cancel()
	answer, err := f.peers.QueryAny(ctx, Query{Table: f.table, After: current.snapshot.Version})
	if err != nil {
		f.logger.Debug("no peer returned changes of the table", eventcode.PeerCopyFailed.Attr(), "table", f.table, "error", err)
		return Changes{}
	}
	return answer.Changes
}

// handleResult applies the outcome of a round and returns the delay before the next.
func (f *Follower) handleResult(ctx context.Context, result roundResult) time.Duration {
	if result.readerErr != nil {
		f.excludedPeers[result.reader] = f.clock.Now().Add(peerCooldown)
		f.logger.Info("peer cannot be used as reader of the store", eventcode.StoreReaderUnusable.Attr(), "table", f.table, "peer", result.reader, "error", result.readerErr)
	}
	switch {
	case errors.Is(result.storeErr, ErrHistoryGone):
		f.logger.Warn("change feed no longer reaches back to this copy; reading the whole table", eventcode.StoreHistoryGone.Attr(), "table", f.table, "version", f.snapshot.Version)
		f.hasSnapshot, f.partialRead = false, partialRead{}
		return 0
	case result.storeErr != nil:
		f.recordStoreFailure(result.storeErr)
		f.partialRead = result.partialRead
		f.applyPeerChanges(ctx, result.changes)
		return retryDelay(f.failedRounds, f.random.Float64())
	case result.storeCalled:
		f.partialRead = partialRead{}
		f.recordStoreSuccess()
	}
	// A read of the whole table must not replace a newer snapshot.
	if result.changes.Version < f.snapshot.Version {
		return retryDelay(0, f.random.Float64())
	}
	f.applyUpdate(ctx, result.changes)
	return feedBatchDelay
}

// applyUpdate applies changes and publishes the new snapshot.
func (f *Follower) applyUpdate(ctx context.Context, changes Changes) {
	next, changed := applyChanges(f.snapshot, changes)
	f.removed = f.removed.record(f.snapshot, next)
	f.snapshot, f.hasSnapshot = next, true
	if changed {
		f.publish(ctx)
		f.replyToHeld(true)
	}
}

// applyPeerChanges applies changes from a peer while the store does not serve this host.
func (f *Follower) applyPeerChanges(ctx context.Context, changes Changes) {
	if changes.Version <= f.snapshot.Version {
		return
	}
	f.peerSnapshots.Inc()
	f.logger.Info("changes applied from a peer", eventcode.PeerCopyApplied.Attr(), "table", f.table, "version", changes.Version, "before", f.snapshot.Version, "rows", len(changes.Rows))
	f.applyUpdate(ctx, changes)
}

func (f *Follower) recordStoreFailure(err error) {
	f.storeFailures.Inc()
	f.failedRounds++
	if f.outageStart.IsZero() {
		f.outageStart = f.clock.Now()
		f.logger.Warn("store does not serve this host", eventcode.StoreLost.Attr(), "table", f.table, "version", f.snapshot.Version, "error", err)
	}
}

// recordStoreSuccess ends an outage and records its end in the snapshot if rows may have
// lapsed during it.
func (f *Follower) recordStoreSuccess() {
	now := f.clock.Now()
	f.lastServed = now
	f.failedRounds = 0
	if f.outageStart.IsZero() {
		return
	}
	outage := now.Sub(f.outageStart)
	f.outageStart = time.Time{}
	if outage >= minLapseOutage {
		f.snapshot.StoreRecovered = now
	}
	f.logger.Info("store serves this host again after an outage", eventcode.StoreRecovered.Attr(), "table", f.table, "outage_ms", outage.Milliseconds())
}

// publish sends the snapshot to all subscribers, retrying while a mailbox is full.
// Subscribers receive without calling this task, so the wait is short.
func (f *Follower) publish(ctx context.Context) {
	for _, subscriber := range f.subscribers {
		for subscriber.TrySend(f.snapshot) != nil {
			select {
			case <-ctx.Done():
				return
			case <-f.clock.After(subscriberRetryDelay):
			}
		}
	}
}
