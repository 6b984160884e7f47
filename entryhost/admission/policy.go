package admission

// Policies selects the algorithms of a dispatcher, so that experiments can
// replace them by baselines. The daemon leaves all the switches false.
type Policies struct {
	Router Router
	// FirstComeFirstServed replaces the fair queue by arrival order and disables
	// refusals that rest on an estimated wait.
	FirstComeFirstServed bool
	// FixedLimits sets each server's limit to its reported capacity.
	FixedLimits bool
	// BlindRetry disables the retry budget and the isolation of suspect requests.
	BlindRetry bool
}

// DefaultPolicies returns the policies that the daemon runs with.
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
