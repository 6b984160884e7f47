package admission

import (
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

// EvidencePolicy holds the limits of the test that compares a new version with
// the old one.
type EvidencePolicy struct {
	// Off counts but never blames a version, as the fixed-steps baseline does.
	Off bool
	// Threshold is the log-likelihood ratio at which a version counts as bad:
	// ln(1/alpha) for the share alpha of good versions that may be withdrawn.
	Threshold float64
	// Suspicion is the part of the threshold from which a version does not
	// receive more traffic until good requests have cleared it.
	Suspicion float64
	// ServerShare bounds the part of the threshold that one server can
	// contribute, so that no version is blamed for one bad server.
	ServerShare float64
	// FailedFloor and SlowFloor are the least shares of failed and slow requests
	// that count as normal.
	FailedFloor float64
	SlowFloor   float64
	// Excess is by how much a bad version's share exceeds the normal one.
	Excess float64
	// SlowFactor is how much longer a slow request takes than the old version's
	// 90th percentile over the same period.
	SlowFactor float64
	// StaleSlowFactor replaces SlowFactor while the old version has had too few
	// requests within Recent.
	StaleSlowFactor float64
	Recent          time.Duration
	// Period is the time over which the old version is compared.
	Period time.Duration
	// LossWindow is the time within which losses of one server count as one.
	LossWindow time.Duration
}

// DefaultEvidencePolicy returns the policy of the daemon.
func DefaultEvidencePolicy() EvidencePolicy {
	return EvidencePolicy{
		Suspicion:       0.3,
		Threshold:       math.Log(1e4),
		ServerShare:     0.6,
		FailedFloor:     0.02,
		SlowFloor:       0.12,
		Excess:          0.25,
		SlowFactor:      1.5,
		StaleSlowFactor: 4,
		Recent:          2 * time.Second,
		Period:          5 * time.Second,
		LossWindow:      2 * time.Second,
	}
}

// Verdict is the result of the test. An empty reason means that the version is
// not known to be bad.
type Verdict struct {
	Reason string
}

// Bad reports whether the version must be withdrawn.
func (v Verdict) Bad() bool { return v.Reason != "" }

// ServerKey stands for a server in evidence, to keep shared facts small.
type ServerKey uint16

// KeyOfServer returns the key of a server.
func KeyOfServer(id model.ServerID) ServerKey {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	sum := hash.Sum32()
	return ServerKey(sum ^ sum>>16)
}

// Counts are the outcomes of one version on one route.
type Counts struct {
	OK     int
	Failed int
	Slow   int
}

// Total returns the number of finished requests.
func (c Counts) Total() int { return c.OK + c.Failed + c.Slow }

// ratioTest is a sequential probability ratio test that restarts at zero, so
// that a long good history does not delay the detection of a late fault.
type ratioTest struct {
	total   float64
	servers map[ServerKey]float64
}

// step adds one observation with the normal share of bad outcomes. It reports
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
	room := policy.Threshold*policy.ServerShare - t.servers[server]
	gain := max(0, min(room, math.Log(excess/normal)))
	t.servers[server] += gain
	t.total += gain
	return t.total >= policy.Threshold
}

// routeTests hold the tests of one route of the new version.
type routeTests struct {
	failed ratioTest
	slow   ratioTest
	counts Counts
}

// observe adds one outcome of the new version and returns the verdict. Normal
// shares come from the old version over the same period.
func (r *routeTests) observe(policy EvidencePolicy, route string, server ServerKey, sort outcomeSort, normal normalShares) Verdict {
	r.counts.add(sort)
	failed := r.failed.step(policy, server, sort == sortFailed, normal.failed)
	slow := false
	if sort != sortFailed {
		slow = r.slow.step(policy, server, sort == sortSlow, normal.slow)
	}
	switch {
	case policy.Off:
		return Verdict{}
	case failed:
		return Verdict{Reason: fmt.Sprintf("%d of %d requests on route %s failed, far more than on the old version over the same period", r.counts.Failed, r.counts.Total(), route)}
	case slow:
		return Verdict{Reason: fmt.Sprintf("%d of %d requests on route %s were slow compared with the old version over the same period", r.counts.Slow, r.counts.Total(), route)}
	}
	return Verdict{}
}

// suspicious reports whether a test is on the way to a verdict.
func (r *routeTests) suspicious(policy EvidencePolicy) bool {
	return max(r.failed.total, r.slow.total) >= policy.Suspicion*policy.Threshold
}

// outcomeSort is how an outcome counts as evidence.
type outcomeSort int

const (
	sortIgnored outcomeSort = iota
	sortOK
	sortFailed
	sortSlow
	// sortLost is a lost connection, which concerns the server more than the version.
	sortLost
)

func (c *Counts) add(sort outcomeSort) {
	switch sort {
	case sortOK:
		c.OK++
	case sortFailed, sortLost:
		c.Failed++
	case sortSlow:
		c.Slow++
	}
}

// sortOutcome sorts an outcome. Refusals and invalid requests say nothing about
// the version.
func sortOutcome(outcome Outcome) outcomeSort {
	switch outcome {
	case OutcomeDone:
		return sortOK
	case OutcomeError:
		return sortFailed
	case OutcomeBroken, OutcomeSilent, OutcomeConnect:
		return sortLost
	default:
		return sortIgnored
	}
}

// paceOf returns the time for one token, or for the whole answer of a plain service.
func paceOf(done Done) time.Duration {
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

// normalOf returns the normal shares for an old version's counts.
func normalOf(policy EvidencePolicy, old Counts) normalShares {
	total := float64(old.Total())
	if total == 0 {
		return normalShares{failed: policy.FailedFloor, slow: policy.SlowFloor}
	}
	return normalShares{
		failed: min(0.6, max(policy.FailedFloor, 1.5*float64(old.Failed)/total)),
		slow:   min(0.6, max(policy.SlowFloor, 1.5*float64(old.Slow)/total)),
	}
}

// ReduceShares returns the shares after the share of a bad version went to the
// old one.
func ReduceShares(shares []model.VersionShare, bad, old model.Version) []model.VersionShare {
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
