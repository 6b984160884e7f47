package admission

import "time"

const (
	// ejectAfterFailures is the number of consecutive failures that eject a server.
	ejectAfterFailures = 5
	// firstEjection is the duration of the first ejection; it doubles with each
	// further one up to longestEjection.
	firstEjection   = 2 * time.Second
	longestEjection = time.Minute
	// maxEjectedShare bounds the share of a service's servers that are ejected at
	// once; if more fail, the fault is more likely on this entry host.
	maxEjectedShare = 1.0 / 3
	// minProbeTime is how long an unfinished probe must run to count as a success;
	// generations may run for minutes.
	minProbeTime = time.Second
	// firstBackoff is the pause after a refusal; it doubles with each further one up
	// to longestBackoff, as a draining server refuses all work.
	firstBackoff   = 250 * time.Millisecond
	longestBackoff = 8 * time.Second
)

// HealthState is whether a server may get work.
type HealthState int

// The states of a server's health.
const (
	HealthGood HealthState = iota
	// HealthProbing allows one request at a time.
	HealthProbing
	// HealthBackoff allows none until the pause after a refusal ends or, after a
	// failed connection, until the next load report.
	HealthBackoff
	// HealthEjected allows none until the ejection ends.
	HealthEjected
)

// Health is the health of a server as seen from the attempts of this entry host.
// The zero value is a healthy server.
type Health struct {
	// failures and refusals count since the last success or restart; an ejection
	// resets failures.
	failures     int
	refusals     int
	ejections    int
	ejectedUntil time.Time
	backoffUntil time.Time
	probing      bool
	// downSince is the time of the last failed connection, or zero if a load report
	// was read since.
	downSince time.Time
}

// Record applies an outcome and reports whether it ejected the server, which
// mayEject allows or prevents.
func (h *Health) Record(now time.Time, outcome Outcome, mayEject bool) bool {
	switch outcome {
	case OutcomeDone:
		h.recordSuccess()
		return false
	case OutcomeRefused:
		h.backOff(now)
		return false
	case OutcomeConnect:
		h.downSince = now
	case OutcomeBroken, OutcomeSilent, OutcomeError:
	default:
		return false
	}
	h.failures++
	if !mayEject || now.Before(h.ejectedUntil) || (h.failures < ejectAfterFailures && !h.probing) {
		return false
	}
	h.eject(now)
	return true
}

func (h *Health) recordSuccess() {
	h.failures, h.refusals = 0, 0
	h.probing = false
}

func (h *Health) backOff(now time.Time) {
	h.backoffUntil = now.Add(min(firstBackoff<<min(h.refusals, 10), longestBackoff))
	h.refusals++
}

func (h *Health) eject(now time.Time) {
	h.ejectedUntil = now.Add(min(firstEjection<<min(h.ejections, 10), longestEjection))
	h.ejections++
	h.failures = 0
	h.probing = true
}

// Ejected reports whether the server is ejected at this time.
func (h *Health) Ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// Reinstate ends an ejection and a pause because the server recovered. If the
// server failed before, it is probed first.
func (h *Health) Reinstate() {
	h.probing = h.probing || h.failures > 0
	h.failures, h.refusals = 0, 0
	h.ejectedUntil, h.backoffUntil, h.downSince = time.Time{}, time.Time{}, time.Time{}
}

// ApplyReport applies a load report that was read at this time.
func (h *Health) ApplyReport(at time.Time) {
	if at.After(h.downSince) {
		h.downSince = time.Time{}
	}
}

// ApplyProbe ends probing when the probe has run for minProbeTime without a
// failure.
func (h *Health) ApplyProbe(now, probeStarted time.Time) {
	if h.probing && now.Sub(probeStarted) >= minProbeTime && !h.Ejected(now) {
		h.probing = false
		h.failures = 0
	}
}

// State returns the health state at this time.
func (h *Health) State(now time.Time) HealthState {
	switch {
	case h.Ejected(now):
		return HealthEjected
	case now.Before(h.backoffUntil) || !h.downSince.IsZero():
		return HealthBackoff
	case h.probing || h.refusals > 0:
		return HealthProbing
	default:
		return HealthGood
	}
}

// mayEjectAnother reports whether one more server may be ejected: the first one
// always, others within maxEjectedShare, and never the only server of a service.
func mayEjectAnother(ejected, servers int) bool {
	if servers < 2 {
		return false
	}
	return ejected == 0 || float64(ejected+1) <= maxEjectedShare*float64(servers)
}
