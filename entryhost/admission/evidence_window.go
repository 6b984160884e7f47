package admission

import (
	"slices"
	"time"
)

const (
	// maxLatencySamples bounds the latencies of the old version kept for one route.
	maxLatencySamples = 256
	// recentLatencySamples is the number of newest latencies that set slowLimit.
	recentLatencySamples = 40
	// minLatencySamples is the number of latencies without which no request counts
	// as slow.
	minLatencySamples = 8
	// windowBuckets is the number of buckets in the period of comparison.
	windowBuckets = 10
)

// oldWindow holds the outcomes of the old version on one route over the period of
// comparison, in a ring of buckets, and its newest latencies.
type oldWindow struct {
	buckets   [windowBuckets]windowBucket
	latencies []latencySample
}

type windowBucket struct {
	number int64
	counts Counts
}

type latencySample struct {
	at      time.Time
	latency time.Duration
}

func bucketNumber(period time.Duration, now time.Time) int64 {
	return now.UnixNano() / max(int64(period)/windowBuckets, 1)
}

// add counts one outcome in the current bucket.
func (w *oldWindow) add(period time.Duration, now time.Time, class outcomeClass) {
	number := bucketNumber(period, now)
	bucket := &w.buckets[number%windowBuckets]
	if bucket.number != number {
		*bucket = windowBucket{number: number}
	}
	bucket.counts.add(class)
}

// counts returns the sum of the buckets of the period that ends now.
func (w *oldWindow) counts(period time.Duration, now time.Time) Counts {
	number := bucketNumber(period, now)
	var sum Counts
	for _, bucket := range w.buckets {
		if number-bucket.number < windowBuckets {
			sum.OK += bucket.counts.OK
			sum.Failed += bucket.counts.Failed
			sum.Slow += bucket.counts.Slow
		}
	}
	return sum
}

// addLatency adds the latency of one successful request.
func (w *oldWindow) addLatency(now time.Time, latency time.Duration) {
	w.latencies = append(w.latencies, latencySample{at: now, latency: latency})
	if len(w.latencies) > maxLatencySamples {
		w.latencies = slices.Delete(w.latencies, 0, maxLatencySamples/4)
	}
}

// slowLimit returns the latency above which a request counts as slow, or 0 while
// there are too few samples. It follows the newest latencies, so that a short
// stall of all servers raises the limit before it counts against the new version.
// If too few are newer than policy.RecentAge, as when all traffic is on the new
// version, older ones are used with a larger factor.
func (w *oldWindow) slowLimit(policy EvidencePolicy, now time.Time) time.Duration {
	if len(w.latencies) < minLatencySamples {
		return 0
	}
	newest := w.latencies[max(0, len(w.latencies)-recentLatencySamples):]
	fresh := slices.IndexFunc(newest, func(p latencySample) bool { return now.Sub(p.at) <= policy.RecentAge })
	factor := policy.SlowFactor
	if fresh >= 0 && len(newest)-fresh >= minLatencySamples {
		newest = newest[fresh:]
	} else {
		factor = policy.StaleSlowFactor
	}
	latencies := make([]time.Duration, len(newest))
	for i, sample := range newest {
		latencies[i] = sample.latency
	}
	slices.Sort(latencies)
	return time.Duration(factor * float64(latencies[len(latencies)*9/10]))
}
