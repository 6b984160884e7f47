package admission

import "time"

const (
	// initialLimit is the limit of a server that has just joined or returned.
	initialLimit = 4
	// refusedFactor and failedFactor lower a limit after a refusal or a failure.
	refusedFactor = 0.7
	failedFactor  = 0.5
	// queueingFactor lowers a limit when work queues inside the server.
	queueingFactor = 0.85
	// queueingShare is the part of the capacity that may wait inside the server
	// before that counts as queueing. A few waiting requests keep its batch full.
	queueingShare = 1.0 / 8
	// nearMinimum and farAboveMinimum compare the time to the first token with
	// its minimum; latencySlack covers scheduling noise on small minima.
	nearMinimum     = 2
	farAboveMinimum = 6
	latencySlack    = 100 * time.Millisecond
	// minimumWindow is how long a minimum holds before it is measured again.
	minimumWindow = 30 * time.Second
)

// Limiter is the adaptive concurrency limit of one server: additive increase
// while latency is near its minimum, multiplicative decrease otherwise. Entry
// hosts that share a server converge to equal limits by this rule.
type Limiter struct {
	limit    float64
	capacity int
	// slowStart doubles the limit in each round until the first decrease.
	slowStart    bool
	lastDecrease time.Time
	minimum      windowedMinimum
	fixed        bool
}

// LimitSample is what the limiter learns from one finished attempt.
type LimitSample struct {
	Outcome Outcome
	Started time.Time
	// FirstToken is the time to the first token, or 0.
	FirstToken time.Duration
	// InFlight is the number of attempts of this entry host on the server.
	InFlight int
}

// NewLimiter returns the limiter of a server that has just joined.
func NewLimiter(capacity int) Limiter {
	limiter := Limiter{capacity: capacity}
	limiter.Restart()
	return limiter
}

// NewFixedLimiter returns a limit that always equals the capacity.
func NewFixedLimiter(capacity int) Limiter {
	return Limiter{capacity: capacity, limit: float64(capacity), fixed: true}
}

// Restart begins a slow start after the server returned.
func (l *Limiter) Restart() {
	if l.fixed {
		return
	}
	l.slowStart = true
	l.limit = float64(min(initialLimit, l.capacity))
	l.minimum = windowedMinimum{}
}

// Limit returns the number of attempts that may be in flight, at least 1.
func (l *Limiter) Limit() int { return max(1, int(l.limit)) }

// SetCapacity bounds the limit by the capacity that the server reports.
func (l *Limiter) SetCapacity(capacity int) {
	l.capacity = capacity
	if l.fixed {
		l.limit = float64(capacity)
	}
	l.limit = min(l.limit, float64(capacity))
}

// Report applies a load report. Reports move the limit also while generations
// run for minutes and none finishes. The limit falls again only once the last
// decrease took effect, that is, when no more than the limit is in flight.
//
// Hosts that share a server converge to limits in proportion to their weight:
// the limit rises by the step, and up to this host's part of the capacity it
// rises also while work queues, which the hosts beyond their part cause.
func (l *Limiter) Report(now time.Time, inFlight, waiting int, balance Balance) {
	beyondPart := l.limit > balance.Part*float64(l.capacity)
	queueing := float64(waiting) > queueingShare*float64(l.capacity)
	switch {
	case queueing && beyondPart:
		if inFlight > 0 && inFlight <= l.Limit() {
			l.decrease(now, now, queueingFactor)
		}
	case !l.inUse(inFlight):
	case l.slowStart && !queueing:
		l.raise(l.limit)
	default:
		l.raise(balance.Step)
	}
}

// Finish applies the end of an attempt.
func (l *Limiter) Finish(now time.Time, sample LimitSample) {
	switch sample.Outcome {
	case OutcomeRefused:
		l.decrease(now, sample.Started, refusedFactor)
	case OutcomeBroken, OutcomeSilent, OutcomeError, OutcomeConnect:
		l.decrease(now, sample.Started, failedFactor)
	case OutcomeDone:
		l.succeed(now, sample)
	}
}

func (l *Limiter) succeed(now time.Time, sample LimitSample) {
	near, far := true, false
	if sample.FirstToken > 0 {
		minimum := l.minimum.observe(now, sample.FirstToken)
		near = sample.FirstToken <= nearMinimum*minimum+latencySlack
		far = sample.FirstToken > farAboveMinimum*minimum+latencySlack
	}
	switch {
	case far:
		l.decrease(now, sample.Started, queueingFactor)
	case near && l.inUse(sample.InFlight) && l.slowStart:
		l.raise(1)
	case near && l.inUse(sample.InFlight):
		l.raise(1 / max(l.limit, 1))
	}
}

// inUse tells that the limit was tested; an unused limit is not raised.
func (l *Limiter) inUse(inFlight int) bool { return 2*inFlight >= l.Limit() }

func (l *Limiter) raise(by float64) {
	l.limit = min(l.limit+by, float64(l.capacity))
}

// decrease lowers the limit at most once for the work started before the last
// decrease, so that one event that many attempts see counts once.
func (l *Limiter) decrease(now, started time.Time, factor float64) {
	if l.fixed || started.Before(l.lastDecrease) {
		return
	}
	l.slowStart = false
	l.lastDecrease = now
	l.limit = max(1, l.limit*factor)
}

// windowedMinimum is the minimum of the present and the previous window, so
// that a minimum from an idle past does not hold for good.
type windowedMinimum struct {
	current, previous time.Duration
	began             time.Time
}

func (m *windowedMinimum) observe(now time.Time, sample time.Duration) time.Duration {
	if now.Sub(m.began) >= minimumWindow {
		m.previous, m.current = m.current, 0
		m.began = now
	}
	if m.current == 0 || sample < m.current {
		m.current = sample
	}
	if m.previous == 0 {
		return m.current
	}
	return min(m.current, m.previous)
}
