package admission

import "time"

const (
	// initialLimit is the limit of a server that has just joined or recovered.
	initialLimit = 4
	// refusedFactor and failedFactor multiply a limit after a refusal or a failure.
	refusedFactor = 0.7
	failedFactor  = 0.5
	// queueingFactor multiplies a limit when requests queue inside the server.
	queueingFactor = 0.85
	// queueingShare is the share of the capacity that may wait inside the server
	// without counting as queueing. A few waiting requests keep its batch full.
	queueingShare = 1.0 / 8
	// nearMinimumFactor and farAboveMinimumFactor are multiples of the minimum time
	// to the first token; latencySlack is added to both, to cover scheduling noise
	// on small minima.
	nearMinimumFactor     = 2
	farAboveMinimumFactor = 6
	latencySlack          = 100 * time.Millisecond
	// minimumWindow is the length of one window of windowedMinimum.
	minimumWindow = 30 * time.Second
)

// Limiter is the adaptive concurrency limit of one server: additive increase
// while the time to the first token is near its minimum, multiplicative decrease
// when it is far above, requests queue inside the server or an attempt fails. This
// makes entry hosts that share a server converge; see ApplyReport for the
// proportions.
type Limiter struct {
	limit    float64
	capacity int
	// slowStart doubles the limit with each load report until the first decrease.
	slowStart    bool
	lastDecrease time.Time
	// minimum is the minimum time to the first token.
	minimum windowedMinimum
	// fixed keeps the limit equal to the capacity.
	fixed bool
}

// LimitSample holds the properties of one finished attempt that move the limit.
type LimitSample struct {
	Outcome Outcome
	Started time.Time
	// FirstToken is the time to the first token, or 0.
	FirstToken time.Duration
	// InFlight is the number of attempts of this entry host on the server,
	// including this one.
	InFlight int
}

// NewLimiter returns the limiter of a server that has just joined, in slow start.
func NewLimiter(capacity int) Limiter {
	limiter := Limiter{capacity: capacity}
	limiter.Restart()
	return limiter
}

// NewFixedLimiter returns a limit that always equals the capacity.
func NewFixedLimiter(capacity int) Limiter {
	return Limiter{capacity: capacity, limit: float64(capacity), fixed: true}
}

// Restart begins a slow start, after the server recovered.
func (l *Limiter) Restart() {
	if l.fixed {
		return
	}
	l.slowStart = true
	l.limit = float64(min(initialLimit, l.capacity))
	l.minimum = windowedMinimum{}
}

// Limit returns the number of attempts of this entry host that may be in flight,
// at least 1.
func (l *Limiter) Limit() int { return max(1, int(l.limit)) }

// SetCapacity sets the capacity that the server reports, the upper bound of the
// limit.
func (l *Limiter) SetCapacity(capacity int) {
	l.capacity = capacity
	if l.fixed {
		l.limit = float64(capacity)
	}
	l.limit = min(l.limit, float64(capacity))
}

// ApplyReport applies a load report. Reports move the limit even while generations
// run for minutes and none finishes. The limit decreases again only after the
// last decrease took effect, that is, when no more than the limit is in flight.
//
// Entry hosts that share a server converge to limits in proportion to their
// weight: each raises its limit by its own step. Below its share of the capacity a
// host raises the limit even while requests queue in the server, as the hosts
// above their share cause that queue.
func (l *Limiter) ApplyReport(now time.Time, inFlight, waiting int, balance Balance) {
	aboveShare := l.limit > balance.Share*float64(l.capacity)
	queueing := float64(waiting) > queueingShare*float64(l.capacity)
	switch {
	case queueing && aboveShare:
		if inFlight > 0 && inFlight <= l.Limit() {
			l.decrease(now, now, queueingFactor)
		}
	case !l.inUse(inFlight):
	case l.slowStart && !queueing:
		l.increase(l.limit)
	default:
		l.increase(balance.Step)
	}
}

// ApplyOutcome applies the end of an attempt. Cancelled and invalid attempts leave
// the limit as it is.
func (l *Limiter) ApplyOutcome(now time.Time, sample LimitSample) {
	switch sample.Outcome {
	case OutcomeRefused:
		l.decrease(now, sample.Started, refusedFactor)
	case OutcomeBroken, OutcomeSilent, OutcomeError, OutcomeConnect:
		l.decrease(now, sample.Started, failedFactor)
	case OutcomeDone:
		l.applySuccess(now, sample)
	}
}

func (l *Limiter) applySuccess(now time.Time, sample LimitSample) {
	near, far := true, false
	if sample.FirstToken > 0 {
		minimum := l.minimum.observe(now, sample.FirstToken)
		near = sample.FirstToken <= nearMinimumFactor*minimum+latencySlack
		far = sample.FirstToken > farAboveMinimumFactor*minimum+latencySlack
	}
	switch {
	case far:
		l.decrease(now, sample.Started, queueingFactor)
	case near && l.inUse(sample.InFlight) && l.slowStart:
		l.increase(1)
	case near && l.inUse(sample.InFlight):
		l.increase(1 / max(l.limit, 1))
	}
}

// inUse reports whether at least half of the limit is in flight. A limit that is
// not in use is untested, and so is not raised.
func (l *Limiter) inUse(inFlight int) bool { return 2*inFlight >= l.Limit() }

func (l *Limiter) increase(by float64) {
	l.limit = min(l.limit+by, float64(l.capacity))
}

// decrease multiplies the limit by the factor, except for an attempt that started
// before the last decrease, so that one incident that fails many attempts counts
// once.
func (l *Limiter) decrease(now, started time.Time, factor float64) {
	if l.fixed || started.Before(l.lastDecrease) {
		return
	}
	l.slowStart = false
	l.lastDecrease = now
	l.limit = max(1, l.limit*factor)
}

// windowedMinimum is the minimum over the current and the previous window, so
// that a minimum from a long-past idle period expires.
type windowedMinimum struct {
	current, previous time.Duration
	windowStart       time.Time
}

// observe adds a sample and returns the minimum.
func (m *windowedMinimum) observe(now time.Time, sample time.Duration) time.Duration {
	if now.Sub(m.windowStart) >= minimumWindow {
		m.previous, m.current = m.current, 0
		m.windowStart = now
	}
	if m.current == 0 || sample < m.current {
		m.current = sample
	}
	if m.previous == 0 {
		return m.current
	}
	return min(m.current, m.previous)
}
