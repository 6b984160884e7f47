package suspects

import (
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

const (
	// deathsMax is the number of servers that a request may kill.
	deathsMax = 3
	// deathMemory is how long a death counts. Crashed servers are back after some
	// seconds, so a request that comes again finds its next server within it.
	deathMemory = time.Minute
	// stopTime is how long a fingerprint is stopped; a server that was mended
	// gets the request again after it.
	stopTime = 10 * time.Minute
	// fingerprintsMax bounds the fingerprints remembered; with all deaths on them
	// that is below 1 MB. Beyond, new ones are not counted.
	fingerprintsMax = 4096
	// keepersMax is the number of hosts that count the deaths of a fingerprint,
	// so that the loss of one forgets none.
	keepersMax = 2
)

// record is what is known of one fingerprint. Times are on the steady clock
// since the task was built.
type record struct {
	deaths  map[string]time.Duration
	stopped time.Duration
}

// table counts the deaths of servers by fingerprint.
type table map[Fingerprint]record

// died counts a death and reports whether the fingerprint is stopped by it.
func (t table) died(fingerprint Fingerprint, server string, now time.Duration) bool {
	entry, found := t[fingerprint]
	if !found && len(t) >= fingerprintsMax {
		return false
	}
	recent := map[string]time.Duration{server: now}
	for id, at := range entry.deaths {
		if id != server && now-at < deathMemory {
			recent[id] = at
		}
	}
	entry.deaths = recent
	wasStopped := entry.isStopped(now)
	if len(recent) >= deathsMax && !wasStopped {
		entry.stopped = now + stopTime
	}
	t[fingerprint] = entry
	return entry.isStopped(now) && !wasStopped
}

// clear forgets a fingerprint whose request ran to its end, unless it is
// stopped: a server lived through it. It reports whether anything was known.
func (t table) clear(fingerprint Fingerprint, now time.Duration) bool {
	entry, found := t[fingerprint]
	if !found || entry.isStopped(now) {
		return false
	}
	delete(t, fingerprint)
	return true
}

// stop stops a fingerprint that another host counted.
func (t table) stop(fingerprint Fingerprint, now time.Duration) {
	if _, found := t[fingerprint]; found || len(t) < fingerprintsMax {
		t[fingerprint] = record{stopped: now + stopTime}
	}
}

func (t table) isStopped(fingerprint Fingerprint, now time.Duration) bool {
	return t[fingerprint].isStopped(now)
}

func (r record) isStopped(now time.Duration) bool { return now < r.stopped }

// expire forgets what no longer counts.
func (t table) expire(now time.Duration) {
	for fingerprint, entry := range t {
		latest := time.Duration(-deathMemory)
		for _, at := range entry.deaths {
			latest = max(latest, at)
		}
		if !entry.isStopped(now) && now-latest >= deathMemory {
			delete(t, fingerprint)
		}
	}
}

// keepers returns the addresses of the hosts that count the deaths of a
// fingerprint; all hosts with the same list choose the same ones.
func keepers(fingerprint Fingerprint, self string, hosts []routing.Host) []string {
	addresses := []string{self}
	for _, host := range hosts {
		addresses = append(addresses, host.Address)
	}
	key := fingerprint.String()
	slices.SortFunc(addresses, func(a, b string) int {
		if routing.Rendezvous(a, key) > routing.Rendezvous(b, key) {
			return -1
		}
		return 1
	})
	return addresses[:min(len(addresses), keepersMax)]
}
