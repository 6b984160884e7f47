package dispatch

import (
	"context"
	"time"

	"github.com/lentilpoint/lentilpoint/eventcode"
)

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
	// lendReserve is the number of repeats that a host keeps for itself.
	lendReserve = 1
	// borrowTimeout bounds the questions to other hosts, at most 3 ms away.
	borrowTimeout = 100 * time.Millisecond
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

// spend counts a repeat if the budget has room for it and a reserve. Hosts is
// the number of entry hosts that share the extra.
func (b *budget) spend(at time.Duration, hosts int, reserve float64) bool {
	b.advance(at)
	var requests, repeats float64
	for i := range b.requests {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	allowed := budgetMargin * (b.terms.Ratio*requests + b.terms.Extra/float64(max(hosts, 1)))
	if repeats+1+reserve > allowed {
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

// borrow asks other hosts to pay for the repeat. A lost data centre costs its
// hosts many repeats at once while others have no use for theirs.
func (t *Task) borrow(ctx context.Context, request Acquire) {
	peers := t.peers
	go func() {
		borrowContext, cancel := context.WithTimeout(ctx, borrowTimeout)
		defer cancel()
		granted, err := t.Lender.Borrow(borrowContext, peers, request.Service)
		_ = t.mailbox.Send(ctx, borrowed{request: request, granted: granted, err: err})
	}()
}

func (t *Task) takeBorrowed(ctx context.Context, message borrowed) {
	result := "refused"
	if message.granted {
		result = "granted"
	}
	t.Logger.Info("repeat beyond the own retry budget", eventcode.BudgetBorrowed.Attr(), "service", message.request.Service, "route", message.request.Route,
		"result", result, "hosts", len(t.peers), "error", message.err)
	t.Metrics.GetOrCreateCounter(`lentilpoint_relay_budget_borrowed_total{service="` + message.request.Service + `",result="` + result + `"}`).Inc()
	if !message.granted {
		t.refuse(message.request, RefusedBudget)
		return
	}
	message.request.paid = true
	if !t.assign(ctx, message.request) {
		t.waiting = append(t.waiting, message.request)
	}
}

// lend pays for a repeat of another host, which counts as one of this host.
func (t *Task) lend(message Lend) {
	granted := t.budgetOf(message.Service).spend(t.uptime(), t.sharers, lendReserve)
	if granted {
		t.Metrics.GetOrCreateCounter(`lentilpoint_relay_budget_lent_total{service="` + message.Service + `"}`).Inc()
	}
	message.Reply.Send(granted)
}
