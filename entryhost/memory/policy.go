package memory

import (
	"cmp"
	"slices"
	"time"
)

// holding is what one holder has claimed.
type holding struct {
	holder *Holder
	bytes  int64
	// since is when the holder first claimed.
	since time.Time
	// counted is what the holder was last seen to have received, and progressed when that
	// last changed.
	counted    int64
	progressed time.Time
	// settled holders have received all and cannot give way any more; yielding ones were
	// asked to.
	settled, yielding bool
}

// ledger decides on claims. It has no clock, goroutine or log.
type ledger struct {
	limits   Limits
	used     int64
	holdings map[*Holder]*holding
}

func newLedger(limits Limits) *ledger {
	return &ledger{limits: limits, holdings: map[*Holder]*holding{}}
}

// fits reports whether the holder may keep further bytes. Small holders may use the
// reserve. While others hold little, one large holder may take more than the budget, so
// that every request that the configuration allows is served in calm.
func (l *ledger) fits(holder *Holder, bytes int64) bool {
	own := l.bytesOf(holder)
	others := l.used - own
	switch {
	case own+bytes <= SmallClaim:
		return l.used+bytes <= l.limits.Budget+l.limits.Reserve
	case others <= l.limits.Budget/4 && holder.yield != nil:
		return l.used+bytes <= l.limits.Memory*2/5
	default:
		return l.used+bytes <= l.limits.Budget
	}
}

func (l *ledger) bytesOf(holder *Holder) int64 {
	if held, found := l.holdings[holder]; found {
		return held.bytes
	}
	return 0
}

func (l *ledger) add(holder *Holder, bytes int64, now time.Time) {
	held, found := l.holdings[holder]
	if !found {
		held = &holding{holder: holder, since: now, progressed: now}
		l.holdings[holder] = held
	}
	held.bytes += bytes
	l.used += bytes
}

// remove returns bytes of the holder, or all of them if bytes is negative.
func (l *ledger) remove(holder *Holder, bytes int64) {
	held, found := l.holdings[holder]
	if !found {
		return
	}
	if bytes < 0 || bytes > held.bytes {
		bytes = held.bytes
	}
	held.bytes -= bytes
	l.used -= bytes
	if held.bytes == 0 {
		delete(l.holdings, holder)
	}
}

// observe records which holders have received bytes since the last call.
func (l *ledger) observe(now time.Time) {
	for _, held := range l.holdings {
		if received := held.holder.received.Load(); received != held.counted {
			held.counted, held.progressed = received, now
		}
	}
}

// yieldingBytes returns the bytes that holders which were asked to give way still hold.
func (l *ledger) yieldingBytes() int64 {
	var sum int64
	for _, held := range l.holdings {
		if held.yielding {
			sum += held.bytes
		}
	}
	return sum
}

// nextToYield returns the holder that gives way to a claim, or nil. Holders that stall or are
// slower than BodyRate come first, the largest of them first. Only a small claim takes the
// room of other holders, the slowest first; otherwise the newest claim is refused.
func (l *ledger) nextToYield(claimant *Holder, bytes int64, now time.Time) *holding {
	small := l.bytesOf(claimant)+bytes <= SmallClaim
	var slow, others []*holding
	for _, held := range l.holdings {
		switch {
		case held.holder == claimant || held.settled || held.yielding:
		case l.isSlow(held, now):
			slow = append(slow, held)
		case small:
			others = append(others, held)
		}
	}
	if len(slow) > 0 {
		return slices.MaxFunc(slow, func(a, b *holding) int { return cmp.Compare(a.bytes, b.bytes) })
	}
	if len(others) > 0 {
		return slices.MinFunc(others, func(a, b *holding) int { return cmp.Compare(rate(a, now), rate(b, now)) })
	}
	return nil
}

func (l *ledger) isSlow(held *holding, now time.Time) bool {
	return now.Sub(held.progressed) >= l.limits.StallTime ||
		now.Sub(held.since) >= l.limits.StallTime && rate(held, now) < float64(l.limits.BodyRate)
}

// rate returns the bytes per second that a holder has received.
func rate(held *holding, now time.Time) float64 {
	return float64(held.holder.received.Load()) / max(now.Sub(held.since), time.Millisecond).Seconds()
}
