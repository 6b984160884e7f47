package moves

import (
	"maps"
	"math"
	"time"
)

const (
	// bucketsPerOctave sets the resolution of a histogram: the bounds of its buckets
	// are 19 % apart, far less than the factor by which a slow version differs.
	bucketsPerOctave = 4
	// histogramBuckets covers 1 ms to 131 s; the longest time budget of a request is
	// below a minute.
	histogramBuckets = 17 * bucketsPerOctave
)

// Histogram counts durations. Bucket i holds those from 2^(i/bucketsPerOctave) ms up
// to the bound of the next bucket; the first and the last one hold also what lies
// beyond them.
type Histogram [histogramBuckets]int

// bucketOf returns the bucket of a duration.
func bucketOf(d time.Duration) int {
	if d <= time.Millisecond {
		return 0
	}
	return min(int(bucketsPerOctave*math.Log2(float64(d)/float64(time.Millisecond))), histogramBuckets-1)
}

// bucketStart returns the lowest duration in a bucket.
func bucketStart(bucket float64) time.Duration {
	return time.Duration(math.Exp2(bucket/bucketsPerOctave) * float64(time.Millisecond))
}

// Add counts a duration.
func (h *Histogram) Add(d time.Duration) { h[bucketOf(d)]++ }

// Count returns the number of durations.
func (h *Histogram) Count() int {
	var count int
	for _, n := range h {
		count += n
	}
	return count
}

// median returns the middle of the bucket of the median, or 0 if the histogram is empty.
func (h *Histogram) median() time.Duration {
	half, seen := (h.Count()+1)/2, 0
	for bucket, n := range h {
		if seen += n; n > 0 && seen >= half {
			return bucketStart(float64(bucket) + 0.5)
		}
	}
	return 0
}

// countOver returns how many durations are certainly not below the limit.
func (h *Histogram) countOver(limit time.Duration) int {
	var count int
	for bucket, n := range h {
		if bucketStart(float64(bucket)) >= limit {
			count += n
		}
	}
	return count
}

// Step holds how long attempts took for one step of their responses.
type Step struct {
	// Done holds the times of the attempts that have completed the step.
	Done Histogram
	// Waiting holds how long attempts in progress have waited for the step so far. A
	// slow version completes its steps last, so without them it would look unused.
	Waiting Histogram
	// Left holds how long attempts had waited that ended before the step without
	// evidence about the server, for example because the caller left.
	Left Histogram
}

// Sample sums up the responses of one version.
type Sample struct {
	// Sent is the number of attempts that were sent, including those in progress. Hosts
	// of builds that do not count it report 0. Retried of them repeat a request after
	// another attempt.
	Sent    int
	Retried int
	// Count is the number of first attempts of requests that have ended, of which Failed
	// failed. A request that fails often fails on each server, so its further attempts
	// are no evidence of their own.
	Count  int
	Failed int
	// Reported holds the first attempts that ended with a complete response in which the
	// server reports a failure, by server. Those of versions other than the target are under
	// AnyServer. Unlike responses that break off or never come, they say nothing about the
	// network or the process.
	Reported map[string]int
	// LatencySum is the sum of the response times of attempts that did not fail.
	LatencySum time.Duration
	// Answers are the times to the complete response or the first event of a stream,
	// Pace the times that each further EventsPerPace events of a stream took.
	Answers Step
	Pace    Step
}

// AnyServer stands for all servers in Sample.Reported, and for those beyond
// maxReportingServers.
const AnyServer = "any"

// maxReportingServers bounds the servers that are told apart in a sample, and with them the
// row of a host's evidence.
const maxReportingServers = 8

// AddReported counts a failure that a server has reported.
func (s *Sample) AddReported(server string) {
	if _, found := s.Reported[server]; !found && len(s.Reported) >= maxReportingServers {
		server = AnyServer
	}
	if s.Reported == nil {
		s.Reported = map[string]int{}
	}
	s.Reported[server]++
}

// reported returns the number of failures that servers have reported.
func (s Sample) reported() int {
	total := 0
	for _, count := range s.Reported {
		total += count
	}
	return total
}

// addCounts returns the sums of two sets of counts, and subtractCounts the differences, of
// which none is below 0. Both leave out zeros.
func addCounts(a, b map[string]int) map[string]int {
	if len(a)+len(b) == 0 {
		return nil
	}
	sums := maps.Clone(a)
	if sums == nil {
		sums = map[string]int{}
	}
	for key, count := range b {
		sums[key] += count
	}
	return sums
}

func subtractCounts(a, b map[string]int) map[string]int {
	var differences map[string]int
	for key, count := range a {
		if left := count - b[key]; left > 0 {
			differences = addCounts(differences, map[string]int{key: left})
		}
	}
	return differences
}

// EventsPerPace is the number of events over which the pace of a stream is measured.
// It is enough for the pauses that other prompts on the engine cause to even out, and
// a normal stream takes about a second for it.
const EventsPerPace = 16

// Versions holds the samples of both sides of a move.
type Versions struct {
	// Target is the sample of the version that the traffic moves to, Other that of all
	// other versions.
	Target Sample
	Other  Sample
}

// Evidence holds the samples that one host took during a move.
type Evidence struct {
	Host  string
	Order uint64
	// Routes holds the samples by route. Hosts of builds that do not tell routes apart
	// report Total alone.
	Routes map[string]Versions
	// Total sums up the counts, failures and latencies of all routes.
	Total Versions
}

// NewEvidence returns the evidence of a host.
func NewEvidence(host string, order uint64, routes map[string]Versions) Evidence {
	evidence := Evidence{Host: host, Order: order, Routes: routes}
	for _, versions := range routes {
		evidence.Total = evidence.Total.add(versions)
	}
	return evidence
}

// Observation is the evidence of all hosts by route. The samples of hosts that do not
// tell routes apart are those of the route "".
type Observation map[string]Versions

// sumEvidence adds up the evidence of all hosts on one order.
func sumEvidence(evidence []Evidence, order uint64) Observation {
	seen := Observation{}
	for _, report := range evidence {
		if report.Order != order {
			continue
		}
		if len(report.Routes) == 0 {
			seen[""] = seen[""].add(report.Total)
		}
		for route, versions := range report.Routes {
			seen[route] = seen[route].add(versions)
		}
	}
	return seen
}

// total returns the sums over all routes.
func (o Observation) total() Versions {
	var total Versions
	for _, versions := range o {
		total = total.add(versions)
	}
	return total
}

// since returns what was observed after an earlier observation. Attempts in progress
// are those of now.
func (o Observation) since(earlier Observation) Observation {
	recent := make(Observation, len(o))
	for route, versions := range o {
		before := earlier[route]
		recent[route] = Versions{Target: versions.Target.since(before.Target), Other: versions.Other.since(before.Other)}
	}
	return recent
}

// Clone returns a copy that shares nothing with the samples.
func (v Versions) Clone() Versions {
	v.Target.Reported, v.Other.Reported = maps.Clone(v.Target.Reported), maps.Clone(v.Other.Reported)
	return v
}

func (v Versions) add(other Versions) Versions {
	return Versions{Target: v.Target.add(other.Target), Other: v.Other.add(other.Other)}
}

func (s Sample) add(other Sample) Sample {
	return Sample{
		Sent: s.sent() + other.sent(), Retried: s.Retried + other.Retried, Count: s.Count + other.Count, Failed: s.Failed + other.Failed, LatencySum: s.LatencySum + other.LatencySum,
		Reported: addCounts(s.Reported, other.Reported),
		Answers:  s.Answers.add(other.Answers), Pace: s.Pace.add(other.Pace),
	}
}

// since returns the difference to an earlier sample. A host that restarted counts from
// 0 again, so no difference is below 0.
func (s Sample) since(earlier Sample) Sample {
	return Sample{
		Sent: max(s.sent()-earlier.sent(), 0), Retried: max(s.Retried-earlier.Retried, 0), Count: max(s.Count-earlier.Count, 0), Failed: max(s.Failed-earlier.Failed, 0),
		Reported:   subtractCounts(s.Reported, earlier.Reported),
		LatencySum: max(s.LatencySum-earlier.LatencySum, 0), Answers: s.Answers.since(earlier.Answers), Pace: s.Pace.since(earlier.Pace),
	}
}

// sent returns the number of attempts that were sent, as far as it is known.
func (s Sample) sent() int { return max(s.Sent, s.Count) }

// first returns the number of first attempts that were sent, as far as it is known.
func (s Sample) first() int { return max(s.Sent-s.Retried, s.Count) }

// answered returns the number of attempts that sent a first answer, as far as it is
// known.
func (s Sample) answered() int { return max(s.Answers.Done.Count(), s.succeeded()) }

// answersOf returns how many of so many requests are usually answered: on some routes
// most requests fail, or their callers leave.
func (s Sample) answersOf(requests int) int {
	share := 1.0
	if s.sent() > 0 {
		share = min(float64(s.answered())/float64(s.sent()), 1)
	}
	return int(share*float64(requests) + 0.5)
}

func (s Sample) succeeded() int { return s.Count - s.Failed }

func (s Sample) failureRate() float64 {
	if s.Count == 0 {
		return 0
	}
	return float64(s.Failed) / float64(s.Count)
}

func (s Sample) meanLatency() time.Duration {
	if s.succeeded() == 0 {
		return 0
	}
	return s.LatencySum / time.Duration(s.succeeded())
}

func (s Step) add(other Step) Step {
	return Step{Done: s.Done.add(other.Done), Waiting: s.Waiting.add(other.Waiting), Left: s.Left.add(other.Left)}
}

func (s Step) since(earlier Step) Step {
	return Step{Done: s.Done.since(earlier.Done), Waiting: s.Waiting, Left: s.Left.since(earlier.Left)}
}

func (h Histogram) add(other Histogram) Histogram {
	for bucket, n := range other {
		h[bucket] += n
	}
	return h
}

func (h Histogram) since(earlier Histogram) Histogram {
	for bucket, n := range earlier {
		h[bucket] = max(h[bucket]-n, 0)
	}
	return h
}
