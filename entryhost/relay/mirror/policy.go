package mirror

import "time"

const (
	// feedWait is how long the store may hold an answer of the feed. It bounds
	// how long a silent connection goes unnoticed, below the 3 s after which a
	// host whose connections were reset counts as in touch again.
	feedWait = 2 * time.Second
	// feedSlack is added to feedWait for the deadline of a call; the store
	// answers in 4 ms.
	feedSlack = 400 * time.Millisecond
	// readTimeout bounds one round of reading a whole table, a few 4 ms calls.
	readTimeout = 1500 * time.Millisecond
	// feedPause gathers changes that come close together into one call; each
	// call to the store has a price.
	feedPause = 100 * time.Millisecond
	// peerWait is how long a peer may hold its answer, and peerSlack what is
	// added for the deadline. A frozen peer is left after their sum, within the
	// 2 s in which configuration has to come into force.
	peerWait  = time.Second
	peerSlack = 250 * time.Millisecond
	// peerAgeMax is the age of a peer's last contact with the store from which
	// this host reads the store itself; a feed call takes feedWait at most.
	peerAgeMax = feedWait + 2*feedSlack
	// avoidTime is how long a peer that failed is passed over.
	avoidTime = 5 * time.Second
	// retryPause is the wait after a failed call. It doubles up to retryLongest,
	// below the 2 s in which configuration has to come into force, and varies by
	// retrySpread of itself, so that hosts that failed together do not call
	// together again.
	retryPause   = 300 * time.Millisecond
	retryLongest = 1200 * time.Millisecond
	retrySpread  = 0.25
	// partialKept is how long the pages of a table that was read in part count;
	// the feed has to reach back to the first one, and the store keeps 20 s.
	partialKept = 10 * time.Second
	// probeTimeout bounds the first call of an outage, so that peers are asked
	// soon; configuration has 2 s to come into force. It doubles with each round,
	// since a large configuration takes longer over a link of 10 Mbit/s.
	probeTimeout = 500 * time.Millisecond
	// anyTimeout bounds the first round of questions to several peers, and
	// doubles with each round up to anyLongest.
	anyTimeout = 800 * time.Millisecond
	anyLongest = 2400 * time.Millisecond
	// outageMin is the shortest outage after which registrations may have
	// lapsed; servers register every 1.2 s and lapse after three misses.
	outageMin = time.Second
	// subscriberRetry is the wait before a copy is sent again to a subscriber
	// whose mailbox was full.
	subscriberRetry = 20 * time.Millisecond
	// removalsKept bounds the removed rows that a follower remembers for peers;
	// peers that are further behind get the whole table.
	removalsKept = 256
)

// timing is how long one call may take and how long the store may hold it.
type timing struct {
	timeout time.Duration
	wait    time.Duration
}

// timingOf returns the timing of a call after a number of failed rounds. During
// an outage the feed is only probed.
func timingOf(have bool, failed int) timing {
	switch {
	case failed > 0:
		return timing{timeout: doubled(probeTimeout, failed-1, feedWait+feedSlack)}
	case !have:
		return timing{timeout: readTimeout}
	default:
		return timing{timeout: feedWait + feedSlack, wait: feedWait}
	}
}

// doubled returns the time doubled so many times, up to the longest.
func doubled(first time.Duration, times int, longest time.Duration) time.Duration {
	for range times {
		if first *= 2; first >= longest {
			return longest
		}
	}
	return first
}

// retryAfter returns the pause after so many failed rounds in a row; random is
// uniform in [0, 1).
func retryAfter(failed int, random float64) time.Duration {
	pause := doubled(retryPause, max(failed-1, 0), retryLongest)
	return time.Duration(float64(pause) * (1 + retrySpread*(2*random-1)))
}

// partial is a whole table as far as it was read. The store turns calls away
// beyond its rate, and many hosts that start together would never get to the
// last page if each began anew.
type partial struct {
	changes Changes
	next    string
	began   time.Time
}

// continued returns what a new round starts from.
func (p partial) continued(now time.Time) partial {
	if p.changes.Version == 0 || now.Sub(p.began) > partialKept {
		return partial{changes: Changes{Whole: true}, began: now}
	}
	return p
}

// add appends a page and reports whether it was the last one.
func (p partial) add(page Page) (partial, bool) {
	if p.changes.Version == 0 {
		p.changes.Version = page.Version
	}
	p.changes.Rows = append(p.changes.Rows, page.Rows...)
	p.next = page.Next
	return p, page.Next == ""
}

// apply returns the snapshot with the changes applied, and whether any row
// differs. Changes that are older than a row of the copy are ignored.
func apply(old Snapshot, changes Changes) (Snapshot, bool) {
	next := old
	next.Version = max(next.Version, changes.Version)
	if len(changes.Rows) == 0 && !changes.Whole {
		return next, false
	}
	next.Rows = make(map[string]Row, len(old.Rows)+len(changes.Rows))
	if !changes.Whole {
		for key, row := range old.Rows {
			next.Rows[key] = row
		}
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

// removals remembers which rows were removed, oldest first, so that peers get
// changes instead of whole tables.
type removals struct {
	rows []Row
	// floor is the version up to which removals were forgotten.
	floor uint64
}

// note returns the removals with those between two copies added.
func (r removals) note(old, next Snapshot) removals {
	rows := r.rows
	for key := range old.Rows {
		if _, found := next.Rows[key]; !found {
			rows = append(rows, Row{Key: key, Version: next.Version, Removed: true})
		}
	}
	floor := r.floor
	if excess := len(rows) - removalsKept; excess > 0 {
		floor = rows[excess-1].Version
		rows = rows[excess:]
	}
	return removals{rows: rows, floor: floor}
}

// since returns what a peer with a copy of the version lacks.
func since(copy Snapshot, gone removals, after uint64) Changes {
	if copy.Version <= after {
		return Changes{Version: copy.Version}
	}
	changes := Changes{Version: copy.Version, Whole: after < gone.floor || after == 0}
	for _, row := range copy.Rows {
		if changes.Whole || row.Version > after {
			changes.Rows = append(changes.Rows, row)
		}
	}
	if changes.Whole {
		return changes
	}
	for _, row := range gone.rows {
		// The row may have been written again after it was removed.
		if _, present := copy.Rows[row.Key]; row.Version > after && !present {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes
}
