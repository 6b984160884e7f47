package admission

import (
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

// EvidencePolicy holds the parameters of the test that compares a new version with
// the old one.
type EvidencePolicy struct {
	// CountOnly disables verdicts but keeps the counts, as in the fixed-steps
	// baseline.
	CountOnly bool
	// Threshold is the log-likelihood ratio at which a version counts as bad:
	// ln(1/alpha) for the share alpha of good versions that may be withdrawn.
	Threshold float64
	// SuspicionShare is the share of the threshold from which the traffic of a
	// version is not increased until successful requests have lowered the ratio.
	SuspicionShare float64
	// ServerShare bounds the share of the threshold that one server can contribute,
	// so that one bad server does not make a version bad.
	ServerShare float64
	// FailedFloor and SlowFloor are lower bounds of the normal shares of failed and
	// slow requests.
	FailedFloor float64
	SlowFloor   float64
	// Excess is how much higher than the normal share the share of bad outcomes of a
	// bad version is assumed to be.
	Excess float64
	// SlowFactor is the multiple of the old version's recent 90th percentile of
	// latency above which a request counts as slow.
	SlowFactor float64
	// StaleSlowFactor replaces SlowFactor while the old version has too few samples
	// that are newer than RecentAge.
	StaleSlowFactor float64
	// RecentAge is the age up to which a latency of the old version counts as recent.
	RecentAge time.Duration
	// Period is the time over which the normal shares of the old version are taken.
	Period time.Duration
	// LossWindow is the time within which streams lost on one server count as one
	// failure.
	LossWindow time.Duration
}

// DefaultEvidencePolicy returns the policy that the daemon runs with.
func DefaultEvidencePolicy() EvidencePolicy {
	return EvidencePolicy{
		SuspicionShare:  0.3,
		Threshold:       math.Log(1e4),
		ServerShare:     0.6,
		FailedFloor:     0.02,
		SlowFloor:       0.12,
		Excess:          0.25,
		SlowFactor:      1.5,
		StaleSlowFactor: 4,
		RecentAge:       2 * time.Second,
		Period:          5 * time.Second,
		LossWindow:      2 * time.Second,
	}
}

// Verdict is the result of the test on a version.
type Verdict struct {
	// Reason says why the version is bad; it is empty if the version is not known
	// to be bad.
	Reason string
}

// Bad reports whether the version must be withdrawn.
func (v Verdict) Bad() bool { return v.Reason != "" }

// ServerKey identifies a server in evidence by a 2-byte hash, to keep facts small.
type ServerKey uint16

// NewServerKey returns the key of a server. Different servers may share a key.
func NewServerKey(id model.ServerID) ServerKey {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	sum := hash.Sum32()
	return ServerKey(sum ^ sum>>16)
}

// Counts holds the numbers of outcomes of one version on one route.
type Counts struct {
	OK     int
	Failed int
	Slow   int
}

// Total returns the number of finished requests.
func (c Counts) Total() int { return c.OK + c.Failed + c.Slow }

// ratioTest is a sequential probability ratio test whose log-likelihood ratio does
// not fall below zero, so that a long good history does not delay the detection of
// a late fault.
type ratioTest struct {
	total   float64
	servers map[ServerKey]float64
}

// step adds one observation, given the normal share of bad outcomes, and reports
// whether the test has reached the threshold.
func (t *ratioTest) step(policy EvidencePolicy, server ServerKey, bad bool, normal float64) bool {
	excess := min(normal+policy.Excess, 0.95)
	if !bad {
		t.total += math.Log((1 - excess) / (1 - normal))
		if t.total <= 0 {
			t.total = 0
			t.servers = nil
		}
		return false
	}
	if t.servers == nil {
		t.servers = make(map[ServerKey]float64)
	}
	remaining := policy.Threshold*policy.ServerShare - t.servers[server]
	gain := max(0, min(remaining, math.Log(excess/normal)))
	t.servers[server] += gain
	t.total += gain
	return t.total >= policy.Threshold
}

// routeTests holds the tests of the new version on one route.
type routeTests struct {
	failed ratioTest
	slow   ratioTest
	counts Counts
}

// observe adds one outcome of the new version and returns the verdict. The normal
// shares are those of the old version over the same period.
func (r *routeTests) observe(policy EvidencePolicy, route string, server ServerKey, class outcomeClass, normal normalShares) Verdict {
	r.counts.add(class)
	failed := r.failed.step(policy, server, class == classFailed, normal.failed)
	slow := false
	if class != classFailed {
		slow = r.slow.step(policy, server, class == classSlow, normal.slow)
	}
	switch {
	case policy.CountOnly:
		return Verdict{}
	case failed:
		return Verdict{Reason: fmt.Sprintf("%d of %d requests on route %s failed, far more than on the old version over the same period", r.counts.Failed, r.counts.Total(), route)}
	case slow:
		return Verdict{Reason: fmt.Sprintf("%d of %d requests on route %s were slow compared with the old version over the same period", r.counts.Slow, r.counts.Total(), route)}
	}
	return Verdict{}
}

// suspicious reports whether a test has reached the suspicion level.
func (r *routeTests) suspicious(policy EvidencePolicy) bool {
	return max(r.failed.total, r.slow.total) >= policy.SuspicionShare*policy.Threshold
}

// outcomeClass is how an outcome counts as evidence.
type outcomeClass int

const (
	classIgnored outcomeClass = iota
	classOK
	classFailed
	classSlow
	// classLost is a lost connection, which is more likely a fault of the server
	// than of the version.
	classLost
)

func (c *Counts) add(class outcomeClass) {
	switch class {
	case classOK:
		c.OK++
	case classFailed, classLost:
		c.Failed++
	case classSlow:
		c.Slow++
	}
}

// classifyOutcome returns the class of an outcome. Refusals, cancellations and
// invalid requests are no evidence about the version.
func classifyOutcome(outcome Outcome) outcomeClass {
	switch outcome {
	case OutcomeDone:
		return classOK
	case OutcomeError:
		return classFailed
	case OutcomeBroken, OutcomeSilent, OutcomeConnect:
		return classLost
	default:
		return classIgnored
	}
}

// latencyOf returns the time per token, or the total time of a call to a plain
// service.
func latencyOf(done Done) time.Duration {
	if done.Tokens > 0 {
		return done.Duration / time.Duration(done.Tokens)
	}
	return done.Duration
}

// normalShares are the shares of bad outcomes that count as normal.
type normalShares struct {
	failed float64
	slow   float64
}

// normalSharesOf returns the normal shares for the counts of the old version: 1.5
// times the measured ones, at least the floors and at most 0.6.
func normalSharesOf(policy EvidencePolicy, old Counts) normalShares {
	total := float64(old.Total())
	if total == 0 {
		return normalShares{failed: policy.FailedFloor, slow: policy.SlowFloor}
	}
	return normalShares{
		failed: min(0.6, max(policy.FailedFloor, 1.5*float64(old.Failed)/total)),
		slow:   min(0.6, max(policy.SlowFloor, 1.5*float64(old.Slow)/total)),
	}
}

// RedirectShare returns the shares with the share of the bad version moved to the
// old one.
func RedirectShare(shares []model.VersionShare, bad, old model.Version) []model.VersionShare {
	reduced := make([]model.VersionShare, 0, len(shares)+1)
	moved := 0
	for _, share := range shares {
		if share.Version == bad {
			moved += share.Share
			share.Share = 0
		}
		reduced = append(reduced, share)
	}
	for i := range reduced {
		if reduced[i].Version == old {
			reduced[i].Share += moved
			return reduced
		}
	}
	return append(reduced, model.VersionShare{Version: old, Share: moved})
}
