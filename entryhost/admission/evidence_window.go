package admission

import (
	"slices"
	"time"
)

const (
	// paceSamples bounds the paces of the old version that are kept for one route.
	paceSamples = 256
	// recentPaces is the number of newest paces that set the limit.
	recentPaces = 40
	// minPaces is the number of paces needed before a request counts as slow.
	minPaces = 8
	// windowParts is the number of parts in the period of comparison.
	windowParts = 10
)

// oldWindow holds the outcomes of the old version on one route over the period
// of comparison.
type oldWindow struct {
	parts [windowParts]windowPart
	paces []timedPace
}

type windowPart struct {
	number int64
	counts Counts
}

type timedPace struct {
	at   time.Time
	pace time.Duration
}

func partNumber(period time.Duration, now time.Time) int64 {
	return now.UnixNano() / max(int64(period)/windowParts, 1)
}

// add counts one outcome.
func (w *oldWindow) add(period time.Duration, now time.Time, sort outcomeSort) {
	number := partNumber(period, now)
	part := &w.parts[number%windowParts]
	if part.number != number {
		*part = windowPart{number: number}
	}
	part.counts.add(sort)
}

// counts sums up the period that ends now.
func (w *oldWindow) counts(period time.Duration, now time.Time) Counts {
	number := partNumber(period, now)
	var sum Counts
	for _, part := range w.parts {
		if number-part.number < windowParts {
			sum.OK += part.counts.OK
			sum.Failed += part.counts.Failed
			sum.Slow += part.counts.Slow
		}
	}
	return sum
}

// addPace keeps the pace of one good request.
func (w *oldWindow) addPace(now time.Time, pace time.Duration) {
	w.paces = append(w.paces, timedPace{at: now, pace: pace})
	if len(w.paces) > paceSamples {
		w.paces = slices.Delete(w.paces, 0, paceSamples/4)
	}
}

// limit returns the pace above which a request counts as slow, or 0 while too
// little is known. It follows the newest paces, so that a short stall of all
// servers raises the limit before the new version is blamed. Older paces are
// used with a wider factor when there are no newer ones, as when all traffic is
// on the new version.
func (w *oldWindow) limit(policy EvidencePolicy, now time.Time) time.Duration {
	if len(w.paces) < minPaces {
		return 0
	}
	newest := w.paces[max(0, len(w.paces)-recentPaces):]
	fresh := slices.IndexFunc(newest, func(p timedPace) bool { return now.Sub(p.at) <= policy.Recent })
	factor := policy.SlowFactor
	if fresh >= 0 && len(newest)-fresh >= minPaces {
		newest = newest[fresh:]
	} else {
		factor = policy.StaleSlowFactor
	}
	paces := make([]time.Duration, len(newest))
	for i, sample := range newest {
		paces[i] = sample.pace
	}
	slices.Sort(paces)
	return time.Duration(factor * float64(paces[len(paces)*9/10]))
}
