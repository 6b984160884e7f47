package suspects

import (
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

const (
	// initialReportRetry is the delay before a host that did not take a report is tried
	// again. It doubles up to maxReportRetry, as a host that is gone for good stays in the
	// list.
	initialReportRetry = time.Second
	maxReportRetry     = 4 * time.Second
	// maxPendingReports limits the reports that are kept for a host that does not take them,
	// 1 KB each. Of more, the newest are kept.
	maxPendingReports = 64
	// firstWave is the number of hosts that get a report at once. Each further wave is
	// twice as large, so that a report passes 60 hosts that do not answer in five of them.
	firstWave = maxTrackers
	// catchUpInterval is the least time between two rounds in which a host asks all others
	// for the deaths of a service.
	catchUpInterval = 250 * time.Millisecond
	// maxKnownReports limits the reports in the answer to such a question, to some 400 KB.
	maxKnownReports = 512
)

// trackerOrder returns the addresses of all hosts in the order in which they count the deaths of
// a fingerprint or a service, the key. All hosts with the same host list have the same order.
func trackerOrder(key, self string, hosts []routing.Host) []string {
	addresses := []string{self}
	for _, host := range hosts {
		addresses = append(addresses, host.Address)
	}
	slices.SortFunc(addresses, func(a, b string) int {
		if routing.RendezvousWeight(a, key) > routing.RendezvousWeight(b, key) {
			return -1
		}
		return 1
	})
	return addresses
}

// trackers returns the hosts that count the deaths, the first ones in the order. While one of
// them does not take reports, the next one in the order does.
func trackers(key, self string, hosts []routing.Host) []string {
	order := trackerOrder(key, self, hosts)
	return order[:min(len(order), maxTrackers)]
}

// sentDeath is a report of a death, and when this host saw the death.
type sentDeath struct {
	report PromptDeath
	seenAt time.Duration
}

// asOf returns the report as it is to be sent at a time.
func (d sentDeath) asOf(now time.Duration) PromptDeath {
	report := d.report
	report.Told = true
	report.Ago += now - d.seenAt
	return report
}

// absence is what this host knows of another one that does not take reports.
type absence struct {
	retryDelay time.Duration
	retryAt    time.Duration
	// isTried is set while the pending reports are being sent.
	isTried bool
	// pending are the reports that the host is to get once it takes them, oldest first.
	pending []sentDeath
}

// absences holds the hosts that do not take reports by their addresses.
type absences map[string]*absence

// present returns the hosts in order that are not known to be absent.
func (a absences) present(order []string) []string {
	return slices.DeleteFunc(slices.Clone(order), func(host string) bool { return a[host] != nil })
}

// fail notes that a host did not take a report.
func (a absences) fail(host string, now time.Duration) *absence {
	entry := a[host]
	if entry == nil {
		entry = &absence{}
		a[host] = entry
	}
	entry.retryDelay = min(max(2*entry.retryDelay, initialReportRetry), maxReportRetry)
	entry.retryAt = now + entry.retryDelay
	return entry
}

// keep keeps a report for an absent host. It reports whether an older one had to yield.
func (a absences) keep(host string, death sentDeath) bool {
	entry := a[host]
	entry.pending = append(entry.pending, death)
	// While the first ones are being sent, they stay where settle expects them.
	if excess := len(entry.pending) - maxPendingReports; excess > 0 && !entry.isTried {
		entry.pending = slices.Clone(entry.pending[excess:])
		return true
	}
	return false
}

// takeDue returns the reports to be sent now by host, and forgets what no longer counts: reports
// of deaths before the window, and hosts for which no report is kept.
func (a absences) takeDue(now time.Duration) map[string][]sentDeath {
	due := map[string][]sentDeath{}
	for host, entry := range a {
		if entry.isTried || now < entry.retryAt {
			continue
		}
		entry.pending = slices.DeleteFunc(entry.pending, func(death sentDeath) bool { return now-death.seenAt >= deathWindow })
		if len(entry.pending) == 0 {
			delete(a, host)
			continue
		}
		entry.isTried = true
		due[host] = slices.Clone(entry.pending)
	}
	return due
}

// settle notes how many of the due reports a host took, and whether it took all.
func (a absences) settle(host string, taken int, tookAll bool, now time.Duration) {
	entry := a[host]
	if entry == nil {
		return
	}
	entry.isTried = false
	entry.pending = entry.pending[min(taken, len(entry.pending)):]
	switch {
	case !tookAll:
		a.fail(host, now)
	case len(entry.pending) == 0:
		delete(a, host)
	default:
		// Reports that came while the others were sent.
		entry.retryAt = now
	}
}

// catchUps decides when a host that counts deaths asks the others for those that they know,
// since reports may have gone to other hosts before.
type catchUps struct {
	// changedAt is when this host started or the list of hosts last changed.
	changedAt time.Duration
	// askedAt is when the others were last asked by service.
	askedAt map[string]time.Duration
}

// isDue reports whether the others are to be asked about a service now that a report has come.
// isTracker is set if this host is a tracker of the service by the list, and isFailover if the
// sender has just found that a host before this one takes no reports.
func (c catchUps) isDue(service string, isTracker, isFailover bool, now time.Duration) bool {
	last, asked := c.askedAt[service]
	switch {
	case asked && now-last < catchUpInterval:
		return false
	case isTracker:
		return now-c.changedAt < deathWindow && (!asked || last < c.changedAt)
	default:
		return isFailover || !asked || now-last >= deathWindow
	}
}

// expire forgets rounds that no longer matter.
func (c catchUps) expire(now time.Duration) {
	for service, at := range c.askedAt {
		if now-at >= deathWindow {
			delete(c.askedAt, service)
		}
	}
}
