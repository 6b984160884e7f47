package suspects

import "time"

const (
	// deathsToStop is the number of servers that die under a request before it
	// is stopped.
	deathsToStop = 3
	// deathWindow is how long a death counts. Crashed servers are back after
	// some seconds, so a repeated request reaches its next server within the
	// window.
	deathWindow = time.Minute
	// stopDuration is how long a fingerprint is stopped; afterwards a fixed
	// server may run the request again.
	stopDuration = 10 * time.Minute
	// maxFingerprints limits the fingerprints in the table, which stays below 1
	// MB with all their deaths. Deaths of further ones are not counted.
	maxFingerprints = 4096
	// maxTrackers is the number of hosts that count the deaths of a fingerprint or
	// a service, so that the loss of one host does not delay a stop.
	maxTrackers = 2
)

// record holds the deaths and the stop of one fingerprint. Times are monotonic
// since the task was created.
type record struct {
	deaths       map[string]time.Duration
	stoppedUntil time.Duration
}

// deathTable holds the records by fingerprint.
type deathTable map[Fingerprint]record

// addDeath counts a death and reports whether it stops the fingerprint.
func (t deathTable) addDeath(fingerprint Fingerprint, server string, now time.Duration) bool {
	entry, found := t[fingerprint]
	if !found && len(t) >= maxFingerprints {
		return false
	}
	recent := map[string]time.Duration{server: now}
	for id, at := range entry.deaths {
		if id != server && now-at < deathWindow {
			recent[id] = at
		}
	}
	entry.deaths = recent
	wasStopped := entry.isStopped(now)
	if len(recent) >= deathsToStop && !wasStopped {
		entry.stoppedUntil = now + stopDuration
	}
	t[fingerprint] = entry
	return entry.isStopped(now) && !wasStopped
}

// clear removes a fingerprint whose request ran to completion, because a server
// survived it. A stopped fingerprint stays. It reports whether a record was
// removed.
func (t deathTable) clear(fingerprint Fingerprint, now time.Duration) bool {
	entry, found := t[fingerprint]
	if !found || entry.isStopped(now) {
		return false
	}
	delete(t, fingerprint)
	return true
}

// stop stops a fingerprint, whose deaths another host counted, until a time.
func (t deathTable) stop(fingerprint Fingerprint, until time.Duration) {
	if entry, found := t[fingerprint]; found || len(t) < maxFingerprints {
		t[fingerprint] = record{stoppedUntil: max(until, entry.stoppedUntil)}
	}
}

// stopped returns the stopped fingerprints and the time for which they still are.
func (t deathTable) stopped(now time.Duration) map[Fingerprint]time.Duration {
	found := map[Fingerprint]time.Duration{}
	for fingerprint, entry := range t {
		if entry.isStopped(now) {
			found[fingerprint] = entry.stoppedUntil - now
		}
	}
	return found
}

func (t deathTable) isStopped(fingerprint Fingerprint, now time.Duration) bool {
	return t[fingerprint].isStopped(now)
}

func (r record) isStopped(now time.Duration) bool { return now < r.stoppedUntil }

// expire removes records that are neither stopped nor have a recent death.
func (t deathTable) expire(now time.Duration) {
	for fingerprint, entry := range t {
		latest := time.Duration(-deathWindow)
		for _, at := range entry.deaths {
			latest = max(latest, at)
		}
		if !entry.isStopped(now) && now-latest >= deathWindow {
			delete(t, fingerprint)
		}
	}
}
