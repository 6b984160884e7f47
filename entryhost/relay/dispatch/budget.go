package dispatch

import (
	"context"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/series"
	"github.com/lentilpoint/lentilpoint/eventcode"
)

// BudgetLimits limit the retries of a service, summed over all entry hosts.
type BudgetLimits struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Window is the period over which requests and retries are counted.
	Window time.Duration
	// Extra is the number of retries allowed in a window beyond the ratio.
	Extra float64
}

const (
	budgetSlotCount = 10
	// budgetShareUsed is the share of the budget that this host spends; the rest
	// covers windows that are not aligned between hosts.
	budgetShareUsed = 0.8
	// lendReserveRetries is the number of retries that a host keeps for itself
	// when it pays for those of others.
	lendReserveRetries = 1
	// borrowTimeout bounds the calls to other hosts, at most 3 ms away.
	borrowTimeout = 100 * time.Millisecond
)

// budget counts requests and retries of one service in slots of a tenth of the
// window. Each host applies the ratio to its own requests and takes an equal
// share of the extra, so that the total holds without coordination between
// hosts. Times are monotonic since the dispatcher was created, because a step of
// the wall clock would discard counted retries.
type budget struct {
	limits   BudgetLimits
	requests [budgetSlotCount]float64
	retries  [budgetSlotCount]float64
	slot     int64
}

func (b *budget) rotate(at time.Duration) {
	slot := int64(at / max(b.limits.Window/budgetSlotCount, time.Millisecond))
	if slot-b.slot > budgetSlotCount {
		b.requests, b.retries = [budgetSlotCount]float64{}, [budgetSlotCount]float64{}
		b.slot = slot
	}
	for b.slot < slot {
		b.slot++
		b.requests[b.slot%budgetSlotCount] = 0
		b.retries[b.slot%budgetSlotCount] = 0
	}
}

// countRequest counts the first attempt of a request.
func (b *budget) countRequest(at time.Duration) {
	b.rotate(at)
	b.requests[b.slot%budgetSlotCount]++
}

// spend counts a retry and returns true if the budget allows it and leaves the
// reserve. Hosts is the number of entry hosts that share the extra.
func (b *budget) spend(at time.Duration, hosts int, reserve float64) bool {
	b.rotate(at)
	var requests, retries float64
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	allowed := budgetShareUsed * (b.limits.Ratio*requests + b.limits.Extra/float64(max(hosts, 1)))
	if retries+1+reserve > allowed {
		return false
	}
	b.retries[b.slot%budgetSlotCount]++
	return true
}

// refund returns a retry that did not reach a server.
func (b *budget) refund(at time.Duration) {
	b.rotate(at)
	slot := b.slot % budgetSlotCount
	b.retries[slot] = max(b.retries[slot]-1, 0)
}

// borrowRetry asks other hosts to pay for the retry from their budgets. The loss
// of a data centre causes many retries at once on its hosts, while hosts
// elsewhere need few.
func (t *Task) borrowRetry(ctx context.Context, request Acquire) {
	peers := t.peers
	go func() {
		borrowContext, cancel := context.WithTimeout(ctx, borrowTimeout)
		defer cancel()
		granted, err := t.Borrower.Borrow(borrowContext, peers, request.Service)
		_ = t.mailbox.Send(ctx, borrowResult{request: request, granted: granted, err: err})
	}()
}

func (t *Task) handleBorrowResult(ctx context.Context, message borrowResult) {
	result := "refused"
	if message.granted {
		result = "granted"
	}
	t.Logger.Info("retry exceeds this host's retry budget", eventcode.BudgetBorrowed.Attr(), "service", message.request.Service, "route", message.request.Route,
		"result", result, "hosts", len(t.peers), "error", message.err)
	t.Metrics.GetOrCreateCounter(series.Name("lentilpoint_relay_budget_borrowed_total", "service", message.request.Service, "result", result)).Inc()
	if !message.granted {
		t.refuse(message.request, RefusedBudget)
		return
	}
	message.request.paidByPeer = true
	t.assignOrWait(ctx, message.request)
}

// handleLend pays for a retry of another host, which counts against this host's
// budget.
func (t *Task) handleLend(message LendRetry) {
	granted := t.budgetOf(message.Service).spend(t.uptime(), t.hostCount, lendReserveRetries)
	if granted {
		t.Metrics.GetOrCreateCounter(series.Name("lentilpoint_relay_budget_lent_total", "service", message.Service)).Inc()
	}
	message.Reply.Send(granted)
}
