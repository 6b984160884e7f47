package mirror

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/series"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/task"
)

// Parameters are the dependencies and settings of a follower.
type Parameters struct {
	Table   string
	Pace    Pace
	Store   Store
	Peers   Peers
	Clock   clockwork.Clock
	Random  *rand.Rand
	Metrics *metrics.Set
	Logger  *slog.Logger
}

// Follower is the task that owns this host's copy of one table.
type Follower struct {
	Parameters

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
	// lastServed is when the store last served this host, directly or through peers.
	// outageStart is when it stopped serving, or zero while it serves.
	lastServed  time.Time
	outageStart time.Time
	// lastStoreCall is when this host last called the store itself.
	lastStoreCall time.Time
	failedRounds  int
	// reader is the peer that the last round read from, or "" if that was the store.
	reader string
	// lostStore receives the failure of the store in a round that goes on.
	lostStore chan error
	// probed receives a value when the store has answered a probe in a round that goes on.
	probed        chan struct{}
	excludedPeers exclusions
	heldRequests  []heldRequest
}

// heldRequest is a request that waits for a change.
type heldRequest struct {
	request   ChangesRequest
	expiresAt time.Time
}

// NewFollower returns a follower of the table. Subscribers receive each new
// snapshot.
func NewFollower(parameters Parameters, subscribers ...Subscriber) *Follower {
	table, set := parameters.Table, parameters.Metrics
	return &Follower{
		Parameters:    parameters,
		subscribers:   subscribers,
		mailbox:       task.NewMailbox[ChangesRequest](requestsCapacity),
		storeCalls:    set.GetOrCreateCounter(series.Name("lentilpoint_store_reads_total", "table", table)),
		storeFailures: set.GetOrCreateCounter(series.Name("lentilpoint_store_failures_total", "table", table)),
		peerSnapshots: set.GetOrCreateCounter(series.Name("lentilpoint_store_peer_copies_total", "table", table)),
		snapshot:      Snapshot{Table: table},
		excludedPeers: exclusions{},
		lostStore:     make(chan error, 1),
		probed:        make(chan struct{}, 1),
	}
}

// Mailbox receives requests for changes.
func (f *Follower) Mailbox() task.Mailbox[ChangesRequest] { return f.mailbox }

// String names the task in the logs.
func (f *Follower) String() string { return "mirror-" + f.Table }

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
	now := f.Clock.Now()
	return round{
		snapshot: f.snapshot, hasSnapshot: f.hasSnapshot, failedRounds: f.failedRounds, reader: f.reader, probeDue: now.Sub(f.lastStoreCall) >= unservedProbeInterval,
		excludedPeers: f.excludedPeers.current(now), partialRead: f.partialRead.resumeOrRestart(now),
	}
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
		case err := <-f.lostStore:
			f.recordStoreFailure(err)
		case <-f.probed:
			f.lastServed = f.Clock.Now()
		case result := <-results:
			nextRound = f.Clock.After(f.handleResult(ctx, result))
		case <-nextRound:
			return nil
		}
	}
}

// handleRequest replies to a request, or holds it until there is a change or an
// outage of the store.
func (f *Follower) handleRequest(request ChangesRequest) {
	if f.snapshot.position().isAfter(request.Query.position()) || request.Query.Wait <= 0 || f.isUnserved() {
		f.reply(request)
		return
	}
	f.heldRequests = append(f.heldRequests, heldRequest{request: request, expiresAt: f.Clock.Now().Add(request.Query.Wait)})
}

// isUnserved reports whether other hosts cannot rely on this host's copy.
func (f *Follower) isUnserved() bool { return !f.hasSnapshot || !f.outageStart.IsZero() }

func (f *Follower) reply(request ChangesRequest) {
	request.Reply.Send(Answer{
		Changes: changesSince(f.snapshot, f.removed, request.Query), StoreAge: f.Clock.Since(f.lastServed),
		Unserved: f.isUnserved(),
	})
}

// nextExpiry returns a timer for the oldest held request.
func (f *Follower) nextExpiry() <-chan time.Time {
	if len(f.heldRequests) == 0 {
		return nil
	}
	return f.Clock.After(f.heldRequests[0].expiresAt.Sub(f.Clock.Now()))
}

// replyToHeld replies to all held requests, or to those that have expired.
func (f *Follower) replyToHeld(all bool) {
	now := f.Clock.Now()
	kept := f.heldRequests[:0]
	for _, held := range f.heldRequests {
		if all || !now.Before(held.expiresAt) {
			f.reply(held.request)
			continue
		}
		kept = append(kept, held)
	}
	f.heldRequests = kept
}

// handleResult applies the outcome of a round and returns the delay before the next.
func (f *Follower) handleResult(ctx context.Context, result roundResult) time.Duration {
	for peer, err := range result.unreadable {
		f.excludedPeers.fail(peer, f.Clock.Now())
		f.Logger.Info("peer cannot be used as reader of the store", eventcode.StoreReaderUnusable.Attr(), "table", f.Table, "peer", peer, "error", err)
	}
	if result.storeCalled {
		f.lastStoreCall = f.Clock.Now()
	}
	switch {
	case errors.Is(result.storeErr, ErrHistoryGone):
		f.Logger.Warn("change feed does not reach back to this copy; reading the whole table", eventcode.StoreHistoryGone.Attr(), "table", f.Table, "version", f.snapshot.Version)
		f.hasSnapshot, f.partialRead, f.reader = false, partialRead{}, ""
		return 0
	case result.storeErr != nil:
		f.recordFailureOf(result)
		f.reader = ""
		f.partialRead = result.partialRead
		f.applyPeerChanges(ctx, result.changes)
		return retryDelay(f.failedRounds, f.Random.Float64())
	}
	f.partialRead, f.reader = partialRead{}, result.readFrom
	delete(f.excludedPeers, result.readFrom)
	f.recordServed(result.storeAge)
	// A peer may be behind this host, and a read of the whole table must not replace
	// a newer snapshot.
	if f.snapshot.position().isAfter(result.changes.position()) {
		return retryDelay(0, f.Random.Float64())
	}
	f.applyUpdate(ctx, result.changes)
	if result.storeCalled {
		return f.Pace.AfterStore
	}
	return f.Pace.AfterPeer
}

// recordFailureOf records the failure of the store in a round, unless it was recorded while
// the round went on.
func (f *Follower) recordFailureOf(result roundResult) {
	if !result.isSent {
		f.recordStoreFailure(result.storeErr)
		return
	}
	select {
	case err := <-f.lostStore:
		f.recordStoreFailure(err)
	default:
	}
}

// applyUpdate applies changes and publishes the new snapshot.
func (f *Follower) applyUpdate(ctx context.Context, changes Changes) {
	next, changed := applyChanges(f.snapshot, changes)
	if next.position().isOtherEra(f.snapshot.position()) {
		// Rows that were written since the copy was made are missing until they are written again.
		next.StoreRecovered = f.Clock.Now()
		f.Logger.Warn("store came back from an older copy", eventcode.StoreEraBegan.Attr(), "table", f.Table, "era", next.Era, "version", next.Version, "version_before", f.snapshot.Version)
	}
	f.removed = f.removed.record(changes, next)
	f.snapshot, f.hasSnapshot = next, true
	if changed {
		f.publish(ctx)
		f.replyToHeld(true)
	}
}

// applyPeerChanges applies changes from a peer while the store does not serve this host.
func (f *Follower) applyPeerChanges(ctx context.Context, changes Changes) {
	if !changes.position().isAfter(f.snapshot.position()) {
		return
	}
	f.peerSnapshots.Inc()
	f.Logger.Info("changes applied from a peer", eventcode.PeerCopyApplied.Attr(), "table", f.Table, "version", changes.Version, "before", f.snapshot.Version, "rows", len(changes.Rows))
	f.applyUpdate(ctx, changes)
}

// recordStoreFailure starts an outage unless one is in progress, and tells the peers
// that wait for changes.
func (f *Follower) recordStoreFailure(err error) {
	f.storeFailures.Inc()
	f.failedRounds++
	if f.outageStart.IsZero() {
		f.outageStart = f.Clock.Now()
		f.replyToHeld(true)
		f.Logger.Warn("store does not serve this host", eventcode.StoreLost.Attr(), "table", f.Table, "version", f.snapshot.Version, "error", err)
	}
}

// recordServed records that the store served this host, storeAge ago if that was
// through a peer. It ends an outage and records its end in the snapshot if rows may
// have lapsed during it.
func (f *Follower) recordServed(storeAge time.Duration) {
	now := f.Clock.Now()
	f.lastServed = now.Add(-storeAge)
	f.failedRounds = 0
	if f.outageStart.IsZero() {
		return
	}
	outage := now.Sub(f.outageStart)
	f.outageStart = time.Time{}
	if outage >= minLapseOutage {
		f.snapshot.StoreRecovered = now
	}
	f.Logger.Info("store serves this host again after an outage", eventcode.StoreRecovered.Attr(), "table", f.Table, "outage_ms", outage.Milliseconds())
}

// publish sends the snapshot to all subscribers, retrying while a mailbox is full.
// Subscribers receive without calling this task, so the wait is short.
func (f *Follower) publish(ctx context.Context) {
	for _, subscriber := range f.subscribers {
		for subscriber.TrySend(f.snapshot) != nil {
			select {
			case <-ctx.Done():
				return
			case <-f.Clock.After(subscriberRetryDelay):
			}
		}
	}
}
