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
	// readTimeout bounds the read of a whole table, which is a few 4 ms calls.
	readTimeout = 1500 * time.Millisecond
	// feedPause gathers changes that come close together into one call; each
	// call to the store has a price.
	feedPause = 100 * time.Millisecond
	// retryPause is the wait after a failed call.
	retryPause = 300 * time.Millisecond
	// probeTimeout bounds a call during an outage, so that peers are asked again
	// soon; configuration has 2 s to come into force.
	probeTimeout = 500 * time.Millisecond
	// peerTimeout bounds one round of questions to peers.
	peerTimeout = 800 * time.Millisecond
	// outageMin is the shortest outage after which registrations may have
	// lapsed; servers register every 1.2 s and lapse after three misses.
	outageMin = time.Second
	// subscriberRetry is the wait before a copy is sent again to a subscriber
	// whose mailbox was full.
	subscriberRetry = 20 * time.Millisecond
)

// timing is how long one call may take and how long the store may hold it.
type timing struct {
	timeout time.Duration
	wait    time.Duration
}

// timingOf returns the timing of a call. During an outage the feed is only
// probed.
func timingOf(have, outage bool) timing {
	switch {
	case outage:
		return timing{timeout: probeTimeout}
	case !have:
		return timing{timeout: readTimeout}
	default:
		return timing{timeout: feedWait + feedSlack, wait: feedWait}
	}
}

// apply returns the snapshot with the changes applied, and whether any row
// differs. Changes that are older than a row of the copy are ignored.
func apply(old Snapshot, changes Changes) (Snapshot, bool) {
	next := old
	if changes.Version > next.Version {
		next.Version = changes.Version
	}
	if len(changes.Rows) == 0 {
		return next, false
	}
	next.Rows = make(map[string]Row, len(old.Rows)+len(changes.Rows))
	for key, row := range old.Rows {
		next.Rows[key] = row
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
