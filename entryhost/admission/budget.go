package admission

import (
	"math"
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// retryShare is the part of the traffic that resumed attempts may add.
	retryShare = 0.1
	// retryReserve lets the streams of one lost server resume at once when
	// there is little traffic. It refills over retryRefill.
	retryReserve = 32
	retryRefill  = 10 * time.Second
	// maxRetrySavings bounds what traffic saves up beyond the reserve. It equals
	// 10 s of retryShare at 70 requests/s, the rate of one entry host.
	maxRetrySavings = 70
)

// RetryBudget limits resumed attempts to a share of the traffic. An
// organisation may hold no more of the budget than is left for the others, so
// the first one to need it takes at most half.
type RetryBudget struct {
	reserve float64
	savings float64
	used    map[model.OrganisationID]float64
	at      time.Time
}

// NewRetryBudget returns a budget with a full reserve.
func NewRetryBudget(now time.Time) *RetryBudget {
	return &RetryBudget{reserve: retryReserve, used: make(map[model.OrganisationID]float64), at: now}
}

// Earn counts a first attempt.
func (b *RetryBudget) Earn() {
	b.savings = min(b.savings+retryShare, maxRetrySavings)
}

// Spend takes one resumed attempt from the budget and reports whether it was left.
func (b *RetryBudget) Spend(now time.Time, organisation model.OrganisationID) bool {
	b.refill(now)
	left := b.reserve + b.savings
	if left < 1 || b.used[organisation] >= left {
		return false
	}
	fromSavings := min(b.savings, 1)
	b.savings -= fromSavings
	b.reserve -= 1 - fromSavings
	b.used[organisation]++
	return true
}

// refill restores the reserve and forgets what organisations used, both over
// retryRefill.
func (b *RetryBudget) refill(now time.Time) {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return
	}
	b.at = now
	share := elapsed.Seconds() / retryRefill.Seconds()
	b.reserve = min(retryReserve, b.reserve+retryReserve*share)
	decay := math.Exp(-share)
	for organisation, used := range b.used {
		if used*decay < 0.01 {
			delete(b.used, organisation)
			continue
		}
		b.used[organisation] = used * decay
	}
}
