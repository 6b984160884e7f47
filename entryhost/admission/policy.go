package admission

// Policies are the decisions of a dispatcher that experiments replace by
// baselines. The zero value of each switch is the daemon's behaviour.
type Policies struct {
	Router Router
	// FirstComeFirstServed replaces the fair order and the refusals by estimate.
	FirstComeFirstServed bool
	// FixedLimits replaces adaptive limits by the reported capacity.
	FixedLimits bool
	// BlindRetry drops the retry budget and the isolation of suspect requests.
	BlindRetry bool
}

// DefaultPolicies returns the policies of the daemon.
func DefaultPolicies() Policies { return Policies{Router: DefaultRouter()} }

func (p Policies) newQueue() *FairQueue {
	if p.FirstComeFirstServed {
		return NewSharedQueue()
	}
	return NewFairQueue()
}

func (p Policies) newLimiter(capacity int) Limiter {
	if p.FixedLimits {
		return NewFixedLimiter(capacity)
	}
	return NewLimiter(capacity)
}
