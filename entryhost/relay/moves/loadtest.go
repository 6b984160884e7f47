package moves

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

// LoadTest is a period, counted from the order, in which all traffic of the service goes to the
// target. A version that is faulty under load only answers well in the trial, and the handover
// shows its faults late: by then it has had more requests than the limits of the exposure allow.
type LoadTest struct {
	From, Until time.Duration
}

const (
	// maxLoadTest suffices for a rate over a second to rise, and for failures after that. Less
	// than minLoadTest shows nothing, as hosts differ by some 100 ms in their start of a move.
	maxLoadTest = 2 * time.Second
	minLoadTest = 800 * time.Millisecond
	// loadTestNotice is the time from the decision to the start. All hosts that the store
	// serves have read the state by then.
	loadTestNotice = roundInterval + 250*time.Millisecond
	// loadTestRoundDelay is the time from the end of a test to the round in which hosts report
	// what it has shown. The holder decides on it loadTestReading after the end.
	loadTestRoundDelay = 50 * time.Millisecond
	loadTestReading    = roundInterval
	// loadTestFraction is the fraction of the allowed exposure that may be used after a test.
	loadTestFraction = 0.85
)

// isPlanned reports whether there is or was a test.
func (t LoadTest) isPlanned() bool { return t.Until > 0 }

// isPending reports whether the test is planned and its evidence not complete.
func (t LoadTest) isPending(elapsed time.Duration) bool {
	return t.isPlanned() && elapsed < t.Until+loadTestReading
}

// period returns the times of the test of a move that was ordered at a time.
func (t LoadTest) period(orderedAt time.Time) routing.Period {
	if !t.isPlanned() {
		return routing.Period{}
	}
	return routing.Period{From: orderedAt.Add(t.From), Until: orderedAt.Add(t.Until)}
}

// latestLoadTest returns the time after the order by which the longest test must be decided, so
// that the handover can follow before the move is withdrawn.
func (p progress) latestLoadTest() time.Duration {
	handover := time.Duration(withdrawalFraction*float64(p.duration)) - handoverRounds*roundInterval
	return handover - loadTestReading - maxLoadTest - loadTestNotice
}

// timeForLoadTest returns the length of the longest test that can be decided now.
func (p progress) timeForLoadTest() time.Duration {
	return min(p.latestLoadTest()+maxLoadTest-p.elapsed, maxLoadTest)
}

// perSecond returns the rate of the service's requests since the order.
func (p progress) perSecond() float64 {
	total := p.seen.total()
	return float64(total.Target.sent()+total.Other.sent()) / max(p.elapsed, roundInterval).Seconds()
}

// planLoadTest returns the test of a proven target, or a zero LoadTest if there is no time for
// it, the limits do not allow it, or a later one can be longer.
func planLoadTest(p progress, limits ExposureLimits) LoadTest {
	from := p.elapsed + loadTestNotice
	perSecond := p.perSecond()
	if perSecond == 0 {
		return LoadTest{}
	}
	// The traffic counts as steady for as long again as it has been seen.
	steady := min(p.duration, 2*from)
	room := loadTestFraction*(limits.Share*perSecond*steady.Seconds()+limits.Slack) - float64(p.seen.total().Target.sent()) - initialShare*perSecond*loadTestNotice.Seconds()
	affordable := time.Duration(room / perSecond * float64(time.Second))
	length := min(p.timeForLoadTest(), affordable)
	if length < minLoadTest {
		return LoadTest{}
	}
	next := p
	next.elapsed += roundInterval
	if length < maxLoadTest && next.timeForLoadTest() >= length {
		return LoadTest{}
	}
	return LoadTest{From: from, Until: from + length}
}

// loadTestReserve returns the part of the allowed exposure that the trial leaves to a test.
func loadTestReserve(p progress, test LoadTest, allowed float64) float64 {
	switch {
	case test.isPending(p.elapsed):
		return p.perSecond() * (test.Until - max(test.From, min(p.elapsed, test.Until))).Seconds()
	case test.isPlanned() || p.timeForLoadTest() < minLoadTest:
		return 0
	}
	// The trial comes first: without it there is no test.
	return min(p.perSecond()*maxLoadTest.Seconds(), allowed/2)
}
