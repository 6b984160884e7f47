package dispatch

import "time"

// BudgetTerms bound the repeated arrivals at a service, summed over all hosts.
type BudgetTerms struct {
	// Ratio is the number of repeats for each request.
	Ratio float64
	// Window is the time over which both are counted.
	Window time.Duration
	// Extra is the number of repeats in a window beyond the ratio.
	Extra float64
}

const (
	budgetSlots = 10
	// budgetMargin is the part of the budget that this host uses; the rest
	// covers windows that do not line up between hosts.
	budgetMargin = 0.8
)

// budget counts requests and repeats of one service in slots of a tenth of the
// window. Each host holds to the ratio of its own requests and to its share of
// the extra, so that the sum holds without talk between hosts. Times are on the
// steady clock since the host started, since steps of the time of day would
// make the budget forget its repeats.
type budget struct {
	terms    BudgetTerms
	requests [budgetSlots]float64
	repeats  [budgetSlots]float64
	slot     int64
}

func (b *budget) advance(at time.Duration) {
	slot := int64(at / max(b.terms.Window/budgetSlots, time.Millisecond))
	if slot-b.slot > budgetSlots {
		b.requests, b.repeats = [budgetSlots]float64{}, [budgetSlots]float64{}
		b.slot = slot
	}
	for b.slot < slot {
		b.slot++
		b.requests[b.slot%budgetSlots] = 0
		b.repeats[b.slot%budgetSlots] = 0
	}
}

// earn counts a request's first arrival.
func (b *budget) earn(at time.Duration) {
	b.advance(at)
	b.requests[b.slot%budgetSlots]++
}

// spend counts a repeat if the budget has room for it. Hosts is the number of
// entry hosts that share the extra.
func (b *budget) spend(at time.Duration, hosts int) bool {
	b.advance(at)
	var requests, repeats float64
	for i := range b.requests {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	allowed := budgetMargin * (b.terms.Ratio*requests + b.terms.Extra/float64(max(hosts, 1)))
	if repeats+1 > allowed {
		return false
	}
	b.repeats[b.slot%budgetSlots]++
	return true
}

// refund takes a repeat back that did not reach a server.
func (b *budget) refund(at time.Duration) {
	b.advance(at)
	slot := b.slot % budgetSlots
	b.repeats[slot] = max(b.repeats[slot]-1, 0)
}
