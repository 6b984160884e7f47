package mirror

import (
	"context"
	"errors"
	"maps"
	"math"
	"time"

	"github.com/lentilpoint/lentilpoint/eventcode"
)

// round is the input of one round of reading.
type round struct {
	snapshot    Snapshot
	hasSnapshot bool
	// failedRounds is the number of consecutive rounds in which the store did not
	// serve this host; above 0 the store is only probed.
	failedRounds int
	// reader is the peer that the round before read from, or "".
	reader string
	// probeDue is set if this host is to probe the store in an outage although peers
	// probe it.
	probeDue      bool
	excludedPeers map[string]time.Time
	partialRead   partialRead
}

// roundResult is the outcome of one round.
type roundResult struct {
	changes Changes
	// readFrom is the peer that the changes come from, or "" for the store, and
	// storeAge the age that it stated.
	readFrom string
	storeAge time.Duration
	// unreadable are the peers that were tried and cannot be read from.
	unreadable map[string]error
	// partialRead is the unfinished read of the table.
	partialRead partialRead
	// storeCalled reports whether the store was called, storeErr why the store does
	// not serve this host.
	storeCalled bool
	storeErr    error
	// isSent is set if storeErr was sent to lostStore before.
	isSent bool
}

// errPeersUnserved reports that the store serves none of the peers that come before
// this host.
var errPeersUnserved = Error.New("the store does not serve the hosts that read it for this one")

// runRound runs one round outside the task's goroutine. It reads from a peer that the
// store serves, otherwise from the store, and from any peer if the store fails.
func (f *Follower) runRound(ctx context.Context, current round) roundResult {
	var result roundResult
	if current.hasSnapshot {
		peersProbe := f.readFromPeer(ctx, current, &result)
		if result.readFrom != "" {
			return result
		}
		if peersProbe && current.failedRounds > 0 && !current.probeDue {
			result.storeErr = errPeersUnserved
			result.changes = f.queryAnyPeer(ctx, current)
			return result
		}
	}
	result.storeCalled = true
	result.changes, result.partialRead, result.storeErr = f.readStore(ctx, current)
	if result.storeErr != nil && !errors.Is(result.storeErr, ErrHistoryGone) {
		// The hosts that read from this one must not wait for the query.
		f.lostStore <- result.storeErr
		result.isSent = true
		result.changes = f.queryAnyPeer(ctx, current)
	}
	return result
}

// readFromPeer tries the peers that this host may read from, best first, until one
// that the store serves answers. It reports whether maxReadersTried peers answered
// that the store does not serve them, so that they probe the store.
func (f *Follower) readFromPeer(ctx context.Context, current round, result *roundResult) bool {
	result.unreadable = map[string]error{}
	skipped := maps.Clone(current.excludedPeers)
	started := f.Clock.Now()
	isLost, allUnserved := false, true
	for range maxReadersTried {
		reader := f.Peers.StoreReader(ctx, skipped)
		if reader == "" {
			return false
		}
		answer, err := f.queryReader(ctx, reader, current, isLost)
		switch {
		case errors.Is(err, errNotFresh):
			allUnserved = false
		case err != nil:
			result.unreadable[reader] = err
			allUnserved = false
		case !answer.Unserved:
			result.changes, result.readFrom, result.storeAge = answer.Changes, reader, answer.StoreAge
			return false
		}
		skipped[reader] = started
		isLost = isLost || reader == current.reader
		// A peer that held its reply before it was lost, or whose link is too slow for a large
		// change, has used the time up: this host reads the store itself.
		if f.Clock.Since(started) > maxReaderSearch {
			return false
		}
	}
	return allUnserved
}

// errNotFresh reports that a peer has had no contact with the store since this host has
// lost the peer that it read from. Both may have read from it.
var errNotFresh = Error.New("the peer has not been served by the store since the reader was lost")

// queryReader queries a peer that this host may read from. A peer other than that of the
// round before may be the next that does not answer, so it is asked for its status first.
// In the place of a peer that was lost in this round, it accepts only one that the store has
// served since.
func (f *Follower) queryReader(ctx context.Context, reader string, current round, isLost bool) (Answer, error) {
	if reader != current.reader {
		if status, err := f.awaitReader(ctx, reader, isLost); err != nil || status.Unserved {
			return status, err
		}
	}
	query := Query{Table: f.Table, Era: current.snapshot.Era, After: current.snapshot.Version}
	if current.failedRounds == 0 {
		query.Wait = peerPollTimeout
	}
	return f.queryPeer(ctx, reader, query)
}

// awaitReader returns the status of a peer, an answer without rows.
func (f *Follower) awaitReader(ctx context.Context, reader string, isLost bool) (Answer, error) {
	status, err := f.queryPeer(ctx, reader, Query{Table: f.Table, After: math.MaxUint64})
	if !isLost || err != nil || status.Unserved || status.StoreAge <= maxTakeOverAge {
		return status, err
	}
	select {
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	case <-f.Clock.After(takeOverRetryDelay):
	}
	status, err = f.queryPeer(ctx, reader, Query{Table: f.Table, After: math.MaxUint64})
	if err == nil && !status.Unserved && status.StoreAge > maxTakeOverAge {
		err = errNotFresh
	}
	return status, err
}

// queryPeer sends a query to a peer and checks how fresh its copy is.
func (f *Follower) queryPeer(ctx context.Context, host string, query Query) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, query.Wait+peerDeadlineMargin)
	defer cancel()
	answer, err := f.Peers.QueryHost(ctx, host, query)
	if err == nil && !answer.Unserved && answer.StoreAge > f.Pace.Hold+maxRelayedAge {
		err = Error.New("peer %s was last served by the store %d ms ago", host, answer.StoreAge.Milliseconds())
	}
	return answer, err
}

// readStore reads the changes, or the whole table if there is no snapshot.
func (f *Follower) readStore(ctx context.Context, current round) (Changes, partialRead, error) {
	timing := current.timing(f.Pace.Hold)
	if current.takesOver() {
		if err := f.probeStore(ctx); err != nil {
			return Changes{}, partialRead{}, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timing.timeout)
	defer cancel()
	if !current.hasSnapshot {
		read, err := f.readTable(ctx, current.partialRead)
		return read.changes, read, err
	}
	changes, err := f.readFeed(ctx, current.snapshot.Version, timing)
	if err == nil && changes.position().isOtherEra(current.snapshot.position()) {
		// The version has been given out again for other changes.
		err = ErrHistoryGone
	}
	return changes, partialRead{}, err
}

// afterAllKeys follows all keys of a table, so that a read from it returns no rows.
const afterAllKeys = "\U0010ffff"

// probeStore makes a call that returns no rows, and tells the task that the store has
// answered it.
func (f *Follower) probeStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	f.storeCalls.Inc()
	if _, err := f.Store.ReadPage(ctx, f.Table, afterAllKeys); err != nil {
		return err
	}
	select {
	case f.probed <- struct{}{}:
	default:
		// The task has not handled the last one yet.
	}
	return nil
}

// readFeed calls the feed. If the call goes on for longer than the store may hold it, the
// store is probed, to tell a store that does not answer from a large change.
func (f *Follower) readFeed(ctx context.Context, after uint64, timing callTiming) (Changes, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		changes Changes
		err     error
	}
	answers := make(chan answer, 1)
	f.storeCalls.Inc()
	go func() {
		changes, err := f.Store.ReadChanges(ctx, f.Table, after, timing.pollTimeout)
		answers <- answer{changes, err}
	}()
	if timing.pollTimeout > 0 {
		select {
		case got := <-answers:
			return got.changes, got.err
		case <-f.Clock.After(timing.pollTimeout + feedSilence):
		}
		if err := f.probeStore(ctx); err != nil && len(answers) == 0 {
			return Changes{}, err
		}
	}
	got := <-answers
	return got.changes, got.err
}

// readTable reads the missing pages of the table. On an error it returns the
// pages that it has read.
func (f *Follower) readTable(ctx context.Context, read partialRead) (partialRead, error) {
	for {
		f.storeCalls.Inc()
		page, err := f.Store.ReadPage(ctx, f.Table, read.nextKey)
		if err != nil {
			return read, err
		}
		var last bool
		if read, last, err = read.add(page); err != nil || last {
			return read, err
		}
	}
}

// queryAnyPeer returns newer changes from any peer, or none.
func (f *Follower) queryAnyPeer(ctx context.Context, current round) Changes {
	ctx, cancel := context.WithTimeout(ctx, backoff(initialAnyTimeout, current.failedRounds, maxAnyTimeout))
	defer cancel()
	query := Query{Table: f.Table, Era: current.snapshot.Era, After: current.snapshot.Version}
	if current.failedRounds == 0 && current.hasSnapshot {
		query.Wait = newsWait
	}
	answer, err := f.Peers.QueryAny(ctx, query)
	if err != nil {
		f.Logger.Debug("no peer returned changes of the table", eventcode.PeerCopyFailed.Attr(), "table", f.Table, "error", err)
		return Changes{}
	}
	return answer.Changes
}
