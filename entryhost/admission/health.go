package admission

import "time"

const (
	// ejectAfter is the number of consecutive failures that eject a server.
	ejectAfter = 5
	// firstEjection doubles with each ejection up to longestEjection.
	firstEjection   = 2 * time.Second
	longestEjection = time.Minute
	// maxEjectedShare caps the servers of a service that are ejected at once;
	// beyond it the fault is more likely on this side.
	maxEjectedShare = 1.0 / 3
	// probeTime is how long a probe must run to count as a success when it has
	// not finished; generations may run for minutes.
	probeTime = time.Second
	// firstHold is the pause after a refusal. A server that drains refuses all
	// work; it doubles up to longestHold.
	firstHold   = 250 * time.Millisecond
	longestHold = 8 * time.Second
)

// HealthState says whether a server may take work.
type HealthState int

// The states of a server's health.
const (
	HealthGood HealthState = iota
	// HealthProbing allows one request.
	HealthProbing
	// HealthHeld takes no work for a short time, after a refusal or a failed connection.
	HealthHeld
	// HealthEjected takes no work until the ejection ends.
	HealthEjected
)

// Health judges a server by the outcomes of this entry host's attempts.
type Health struct {
	failures     int
	refusals     int
	ejections    int
	ejectedUntil time.Time
	heldUntil    time.Time
	probing      bool
	// downSince is set by a failed connection until a newer load report arrives.
	downSince time.Time
}

// Record applies an outcome and reports whether it ejected the server.
func (h *Health) Record(now time.Time, outcome Outcome, mayEject bool) bool {
	switch outcome {
	case OutcomeDone:
		h.succeed()
		return false
	case OutcomeRefused:
		h.hold(now)
		return false
	case OutcomeConnect:
		h.downSince = now
	case OutcomeBroken, OutcomeSilent, OutcomeError:
	default:
		return false
	}
	h.failures++
	if !mayEject || now.Before(h.ejectedUntil) || (h.failures < ejectAfter && !h.probing) {
		return false
	}
	h.eject(now)
	return true
}

func (h *Health) succeed() {
	h.failures, h.refusals = 0, 0
	h.probing = false
}

func (h *Health) hold(now time.Time) {
	h.heldUntil = now.Add(min(firstHold<<min(h.refusals, 10), longestHold))
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

// Returned ends an ejection because the server restarted; it is probed first
// if it failed before.
func (h *Health) Returned() {
	h.probing = h.probing || h.failures > 0
	h.failures, h.refusals = 0, 0
	h.ejectedUntil, h.heldUntil, h.downSince = time.Time{}, time.Time{}, time.Time{}
}

// Reported applies a successful load report read at this time.
func (h *Health) Reported(at time.Time) {
	if at.After(h.downSince) {
		h.downSince = time.Time{}
	}
}

// Probed ends probing when the probe has run for probeTime without a failure.
func (h *Health) Probed(now, probeStarted time.Time) {
	if h.probing && now.Sub(probeStarted) >= probeTime && !h.Ejected(now) {
		h.probing = false
		h.failures = 0
	}
}

// State returns the state at this time.
func (h *Health) State(now time.Time) HealthState {
	switch {
	case h.Ejected(now):
		return HealthEjected
	case now.Before(h.heldUntil) || !h.downSince.IsZero():
		return HealthHeld
	case h.probing || h.refusals > 0:
		return HealthProbing
	default:
		return HealthGood
	}
}

// mayEjectAnother tells whether one more server may be ejected: the first one,
// and others within maxEjectedShare, but never the only server of a service.
func mayEjectAnother(ejected, servers int) bool {
	if servers < 2 {
		return false
	}
	return ejected == 0 || float64(ejected+1) <= maxEjectedShare*float64(servers)
}
