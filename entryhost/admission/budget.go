package admission

import (
	"math"
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// retryShare is the number of resumed attempts that each first attempt allows.
	retryShare = 0.1
	// retryReserve lets the streams of one lost server resume at once under low
	// traffic. It refills over retryRefillTime.
	retryReserve    = 32
	retryRefillTime = 10 * time.Second
	// maxEarnedRetries bounds the retries earned by traffic, beyond the reserve. It
	// equals 10 s of retryShare at 70 requests/s, the rate of one entry host.
	maxEarnedRetries = 70
)

// RetryBudget limits resumed attempts to a share of the traffic. The recent use
// of one organisation may not exceed what is left for the others, so that the
// first one to need the budget takes at most half.
type RetryBudget struct {
	reserve    float64
	earned     float64
	used       map[model.OrganisationID]float64
	refilledAt time.Time
}

// NewRetryBudget returns a budget with a full reserve.
func NewRetryBudget(now time.Time) *RetryBudget {
	return &RetryBudget{reserve: retryReserve, used: make(map[model.OrganisationID]float64), refilledAt: now}
}

// Earn adds the share of one first attempt to the budget.
func (b *RetryBudget) Earn() {
	b.earned = min(b.earned+retryShare, maxEarnedRetries)
}

// Spend takes one resumed attempt from the budget and reports whether the budget
// allowed it. Earned retries are spent before the reserve.
func (b *RetryBudget) Spend(now time.Time, organisation model.OrganisationID) bool {
	b.refill(now)
	left := b.reserve + b.earned
	if left < 1 || b.used[organisation] >= left {
		return false
	}
	fromEarned := min(b.earned, 1)
	b.earned -= fromEarned
	b.reserve -= 1 - fromEarned
	b.used[organisation]++
	return true
}

// refill restores the reserve linearly over retryRefillTime and decays the recorded
// use of the organisations with the same time constant.
func (b *RetryBudget) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	share := elapsed.Seconds() / retryRefillTime.Seconds()
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
