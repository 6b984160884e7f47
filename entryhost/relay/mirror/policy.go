package mirror

import (
	"maps"
	"time"
)

const (
	// feedSilence is how long after Pace.Hold a call to the feed may go on without an answer
	// until the store is probed; it answers in 4 ms. probeTimeout bounds the probe. If the
	// store answers it, the call may be transferring a large change, and has transferTimeout
	// in all; otherwise it has failed after Hold + feedDeadlineMargin.
	feedSilence        = 100 * time.Millisecond
	probeTimeout       = 300 * time.Millisecond
	feedDeadlineMargin = feedSilence + probeTimeout
	transferTimeout    = 2400 * time.Millisecond
	// maxTakeOverAge is the age of a peer's last contact with the store up to which it
	// takes the place of a lost one, and takeOverRetryDelay the delay before it is asked
	// once more: both may have lost the same reader at once.
	maxTakeOverAge     = 400 * time.Millisecond
	takeOverRetryDelay = 50 * time.Millisecond
	// newsWait is how long each peer may hold its reply to a host that the store has just
	// stopped to serve; the others find out at the same time and read the changes next.
	newsWait = 250 * time.Millisecond
	// tableReadTimeout bounds one round of reading a whole table, which makes a few
	// calls of 4 ms.
	tableReadTimeout = 1500 * time.Millisecond
	// peerPollTimeout is how long a peer may hold its reply, and
	// peerDeadlineMargin is added to it for the deadline. A frozen peer is
	// abandoned after their sum, within the 2 s in which configuration has to come
	// into force.
	peerPollTimeout    = time.Second
	peerDeadlineMargin = 250 * time.Millisecond
	// maxRelayedAge is added to Pace.Hold for the age of a peer's last contact with the
	// store above which it is not read from. A feed call takes at most Hold and its margin,
	// and two hosts may lie between the peer and the store. A peer that knows of an outage
	// says so at once; the age detects one whose calls hang.
	maxRelayedAge = 2*feedDeadlineMargin + 2*(peerPollTimeout+peerDeadlineMargin)
	// maxReadersTried and maxReaderSearch bound the search for a peer to read from
	// in one round: the number of peers, and the time after which no other is tried.
	// A host that is gone costs 200 ms.
	maxReadersTried = 3
	maxReaderSearch = 300 * time.Millisecond
	// unservedProbeInterval is how often a host calls the store in an outage while
	// maxReadersTried peers that come before it probe the store more often.
	unservedProbeInterval = 4 * time.Second
	// peerCooldown is how long a peer that failed is excluded. It doubles with each further
	// failure up to maxPeerCooldown, since a host that is gone for good stays in the list.
	peerCooldown    = 5 * time.Second
	maxPeerCooldown = time.Minute
	// initialRetryDelay is the delay after a failed call. It doubles up to
	// maxRetryDelay, below the 2 s in which configuration has to come into force,
	// and varies by the fraction retryJitter, so that hosts that failed together
	// do not retry together.
	initialRetryDelay = 300 * time.Millisecond
	maxRetryDelay     = 1200 * time.Millisecond
	retryJitter       = 0.25
	// maxPartialReadAge is how long the pages of an unfinished read stay usable.
	// The feed has to reach back to the first page; the store keeps 20 s of it.
	maxPartialReadAge = 10 * time.Second
	// initialProbeTimeout bounds the first call of an outage, so that peers are
	// queried soon; configuration has 2 s to come into force. It doubles with
	// each round, because a large configuration takes longer over a 10 Mbit/s
	// link, up to transferTimeout.
	initialProbeTimeout = 500 * time.Millisecond
	// initialAnyTimeout bounds the first round of queries to several peers and
	// doubles with each round up to maxAnyTimeout.
	initialAnyTimeout = 800 * time.Millisecond
	maxAnyTimeout     = 2400 * time.Millisecond
	// minLapseOutage is the shortest outage after which registrations may have
	// lapsed; servers register every 1.2 s and lapse after three missed
	// registrations.
	minLapseOutage = time.Second
	// subscriberRetryDelay is the delay before a snapshot is sent again to a
	// subscriber whose mailbox was full.
	subscriberRetryDelay = 20 * time.Millisecond
	// maxRemovals bounds the removed rows that a follower keeps for peers. A peer
	// that is further behind gets the keys of all rows.
	maxRemovals = 256
)

// Pace holds the delays between rounds, which batch changes that are close
// together.
type Pace struct {
	// Hold is how long the store may hold a request to the feed. An open request says
	// nothing about the store, so all hosts that read through this one learn up to
	// AfterStore + Hold + feedDeadlineMargin later that it gets no answer.
	Hold time.Duration
	// AfterStore is the delay after a call to the store, which has a price.
	AfterStore time.Duration
	// AfterPeer is the delay after a query to a peer.
	AfterPeer time.Duration
}

// callTiming holds the deadline of a call and how long the store may hold it.
type callTiming struct {
	timeout     time.Duration
	pollTimeout time.Duration
}

// timing returns the timing of the round's call to the store. During an outage the call only
// probes the feed and does not wait for changes.
func (r round) timing(hold time.Duration) callTiming {
	switch {
	case r.failedRounds > 0:
		return callTiming{timeout: backoff(initialProbeTimeout, r.failedRounds-1, transferTimeout)}
	case !r.hasSnapshot:
		return callTiming{timeout: tableReadTimeout}
	default:
		return callTiming{timeout: max(hold+feedDeadlineMargin, transferTimeout), pollTimeout: hold}
	}
}

// takesOver reports whether the host reads the store in the place of a peer that it has
// lost. Until the store answers, nobody knows whether it serves this host.
func (r round) takesOver() bool { return r.hasSnapshot && r.failedRounds == 0 && r.reader != "" }

// exclusions holds the peers that failed by their addresses.
type exclusions map[string]exclusion

// exclusion is what is known of a peer that failed.
type exclusion struct {
	until time.Time
	// failures is the number of consecutive ones.
	failures int
}

// fail excludes a peer.
func (e exclusions) fail(peer string, now time.Time) {
	entry := e[peer]
	entry.until = now.Add(backoff(peerCooldown, entry.failures, maxPeerCooldown))
	entry.failures++
	e[peer] = entry
}

// current returns the peers that are excluded now, and forgets failures of long ago.
func (e exclusions) current(now time.Time) map[string]time.Time {
	maps.DeleteFunc(e, func(_ string, entry exclusion) bool { return now.Sub(entry.until) > maxPeerCooldown })
	excluded := map[string]time.Time{}
	for peer, entry := range e {
		if !now.After(entry.until) {
			excluded[peer] = entry.until
		}
	}
	return excluded
}

// backoff returns initial doubled the given number of times, up to limit.
func backoff(initial time.Duration, doublings int, limit time.Duration) time.Duration {
	for range doublings {
		if initial *= 2; initial >= limit {
			return limit
		}
	}
	return initial
}

// retryDelay returns the delay before the next round after consecutive failed
// rounds; random is uniform in [0, 1).
func retryDelay(failedRounds int, random float64) time.Duration {
	delay := backoff(initialRetryDelay, max(failedRounds-1, 0), maxRetryDelay)
	return time.Duration(float64(delay) * (1 + retryJitter*(2*random-1)))
}

// partialRead holds the pages that an unfinished read of a table has fetched. The
// store rejects calls beyond its rate limit, so many hosts that start together
// would never reach the last page if each restarted from the first.
type partialRead struct {
	changes   Changes
	nextKey   string
	startedAt time.Time
}

// resumeOrRestart returns the read to continue in a new round: p, or an empty
// one if p has no page or is older than maxPartialReadAge.
func (p partialRead) resumeOrRestart(now time.Time) partialRead {
	if p.changes.Version == 0 || now.Sub(p.startedAt) > maxPartialReadAge {
		return partialRead{changes: Changes{Whole: true}, startedAt: now}
	}
	return p
}

// add appends a page and reports whether it was the last one. Pages of two eras are not
// of one table.
func (p partialRead) add(page Page) (partialRead, bool, error) {
	switch {
	case p.changes.Version == 0:
		p.changes.Era, p.changes.Version = page.Era, page.Version
	case p.changes.Era != page.Era:
		return partialRead{}, false, errNewEra
	}
	p.changes.Rows = append(p.changes.Rows, page.Rows...)
	p.nextKey = page.Next
	return p, page.Next == "", nil
}

// position is a version of the store in one of its eras. Hosts of earlier builds state no
// era, and their versions are taken for those of the same one.
type position struct{ era, version uint64 }

// isOtherEra reports whether the versions of two positions cannot be compared.
func (p position) isOtherEra(other position) bool {
	return p.era != other.era && p.era != 0 && other.era != 0
}

// isAfter reports whether the position is later than the other.
func (p position) isAfter(other position) bool {
	if p.isOtherEra(other) {
		return p.era > other.era
	}
	return p.version > other.version
}

func (s Snapshot) position() position { return position{s.Era, s.Version} }
func (c Changes) position() position  { return position{c.Era, c.Version} }
func (q Query) position() position    { return position{q.Era, q.After} }

// IsAfter reports whether the changes are newer than the copy that the query states.
func (c Changes) IsAfter(query Query) bool { return c.position().isAfter(query.position()) }

// applyChanges returns the snapshot with the changes applied, and false if the
// changes were empty. A change that is older than the row it replaces is ignored.
func applyChanges(old Snapshot, changes Changes) (Snapshot, bool) {
	next := old
	if changes.position().isAfter(old.position()) {
		next.Version = changes.Version
	}
	next.Era = max(old.Era, changes.Era)
	if len(changes.Rows) == 0 && !changes.isComplete() {
		return next, false
	}
	next.Rows = make(map[string]Row, len(old.Rows)+len(changes.Rows))
	if !changes.Whole {
		for key, row := range old.Rows {
			next.Rows[key] = row
		}
	}
	if len(changes.PresentKeys) > 0 {
		removeAbsent(next.Rows, changes)
	}
	for _, row := range changes.Rows {
		if present, found := next.Rows[row.Key]; found && present.Version > row.Version {
			continue
		}
		if row.Removed {
			delete(next.Rows, row.Key)
			continue
		}
		next.Rows[row.Key] = row
	}
	return next, true
}

// removeAbsent deletes the rows whose keys are not among the present ones. The later pages
// of a read of the whole table may hold rows that are newer than its version, of which
// changes as of an older version say nothing.
func removeAbsent(rows map[string]Row, changes Changes) {
	present := make(map[string]bool, len(changes.PresentKeys))
	for _, key := range changes.PresentKeys {
		present[key] = true
	}
	maps.DeleteFunc(rows, func(key string, row Row) bool { return !present[key] && row.Version <= changes.Version })
}

// removals holds the latest removed rows, oldest first, so that peers can be sent
// changes instead of all keys.
type removals struct {
	rows []Row
	// completeFrom is the version after which all removals are in rows. Those up to it
	// were discarded, or were never seen: a host that has just read the whole table does
	// not know which rows it held before.
	completeFrom uint64
}

// record returns the removals after the changes that led to the next snapshot.
func (r removals) record(changes Changes, next Snapshot) removals {
	if changes.isComplete() {
		// A row that was written and removed since the former snapshot is in neither.
		return removals{completeFrom: next.Version}
	}
	rows := r.rows
	for _, row := range changes.Rows {
		// Peers may hold a row that this host has never had.
		if row.Removed {
			rows = append(rows, Row{Key: row.Key, Version: next.Version, Removed: true})
		}
	}
	completeFrom := r.completeFrom
	if excess := len(rows) - maxRemovals; excess > 0 {
		completeFrom = rows[excess-1].Version
		rows = rows[excess:]
	}
	return removals{rows: rows, completeFrom: completeFrom}
}

// changesSince returns the changes for a peer whose copy has the version of the query. If
// not all removals since then are known, they are the changed rows and the keys of all
// rows, or the whole table for a peer that does not accept keys.
func changesSince(snapshot Snapshot, removed removals, query Query) Changes {
	after, own := query.After, snapshot.position()
	if !own.isAfter(query.position()) {
		return Changes{Era: snapshot.Era, Version: snapshot.Version}
	}
	isKnown := after >= removed.completeFrom
	changes := Changes{
		Era: snapshot.Era, Version: snapshot.Version,
		Whole: after == 0 || own.isOtherEra(query.position()) || len(snapshot.Rows) == 0 || !isKnown && !query.AcceptsKeys,
	}
	for key, row := range snapshot.Rows {
		if changes.Whole || row.Version > after {
			changes.Rows = append(changes.Rows, row)
		}
		if !changes.Whole && !isKnown {
			changes.PresentKeys = append(changes.PresentKeys, key)
		}
	}
	if changes.isComplete() {
		return changes
	}
	for _, row := range removed.rows {
		// The row may have been written again after it was removed.
		if _, present := snapshot.Rows[row.Key]; row.Version > after && !present {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes
}
