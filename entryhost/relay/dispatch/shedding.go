package dispatch

import (
	"math"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/loads"
)

const (
	// The parts of the time between the fastest answer and the latency objective that answers
	// may take on average: beyond longShare queues are long, beyond lateShare first attempts
	// are shed, and up to shortShare queues are short. A queue that takes the whole time
	// fills within the 600 ms after which a data centre knows of it.
	shortShare = 0.1
	longShare  = 0.35
	lateShare  = 0.6
	// minLongTime is how long queues are long before calls are shed. A burst that is shorter
	// is over when a data centre knows of it.
	minLongTime = 400 * time.Millisecond
	// minAnswers is the number of recent answers of a server without which its delay is not
	// known.
	minAnswers = 3
	// sheddingDelay is the time in which rates follow most of a change. A data centre has
	// some 30 calls in a window, so that rates vary by a fifth, and shares that follow
	// faster swing: servers idle and are full in turns.
	sheddingDelay = time.Second
	// capacityGrowth is how much higher the rate of answers is assumed each second while the
	// queue is not long, so that one that was estimated too low is corrected.
	capacityGrowth = 0.02
	// maxShortQueueTime is how long calls are shed while the queue is short. It is short for
	// a moment where the share is right, and for longer where servers have room.
	maxShortQueueTime = time.Second
	// sheddingLifetime is how long the calls of the data centre are used after they were
	// received; hosts report two to three times a second.
	sheddingLifetime = time.Second
	// minShedShare is the share below which nothing is shed, and maxShedShare leaves calls
	// that show whether servers have room again.
	minShedShare = 0.03
	maxShedShare = 0.9
	// returnedShare is the part of the time limit that callers usually state below which a
	// call counts as one that has returned. Callers return after up to a third of their time.
	returnedShare = 0.85
)

// shedding is the state of load shedding for calls of a service with one objective.
type shedding struct {
	// active is set while queues are long, and until they have become short. Share is the
	// part of the first attempts that is refused.
	active bool
	share  float64
	// capacity and offered are the answers and the first attempts in a window, smoothed.
	capacity, offered float64
	delay             time.Duration
	updatedAt         time.Time
	// longAt is when the queue was last not short.
	longAt time.Time
	// longSince is from when on queues are long.
	longSince time.Time
	// refused counts the refused calls since shedding began.
	refused int
}

// serviceDelay returns the mean time of answers of the server where it is shortest. It is 0
// if a server may have room: it has few recent answers and is not known to be full.
func serviceDelay(calls loads.ServiceCalls, servers []candidate) time.Duration {
	shortest := time.Duration(0)
	for i := range servers {
		answers := calls.Answers[servers[i].server.ID]
		switch {
		case answers.Count >= minAnswers:
			if mean := answers.Sum / time.Duration(answers.Count); shortest == 0 || mean < shortest {
				shortest = mean
			}
		case servers[i].backoff.refusals == 0:
			return 0
		}
	}
	return shortest
}

// update returns the state after calls were received from the collector. What servers answer
// while queues are long is their capacity, and the first attempts beyond it are refused. The
// length of the queue itself has no part in the share, since it changes within the time after
// which a data centre knows of it.
func (s shedding) update(calls loads.ServiceCalls, delay, objective time.Duration, now time.Time) shedding {
	elapsed := now.Sub(s.updatedAt)
	s.delay, s.updatedAt = delay, now
	if elapsed > sheddingLifetime {
		s = shedding{delay: delay, updatedAt: now, refused: s.refused}
	}
	room := float64(objective - calls.Fastest)
	over := func(share float64) bool { return float64(delay-calls.Fastest) > share*room }
	if over(shortShare) {
		s.longAt = now
	}
	if !over(longShare) && !s.active {
		s.longSince = time.Time{}
	} else if s.longSince.IsZero() {
		s.longSince = now
	}
	ends := !over(shortShare) && (s.share == 0 || now.Sub(s.longAt) > maxShortQueueTime)
	begins := over(longShare) && now.Sub(s.longSince) >= minLongTime
	// A service whose fastest answer is late gains nothing from a shorter queue.
	if delay == 0 || room <= 0 || calls.Offered == 0 || s.active && ends || !s.active && !begins {
		s.active, s.share = false, 0
		return s
	}
	answers, offered := 0.0, float64(calls.Offered)
	for _, server := range calls.Answers {
		answers += float64(server.Count)
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(sheddingDelay))
	switch {
	case !s.active:
		s.active, s.capacity, s.offered = true, answers, offered
	case over(longShare):
		s.capacity += weight * (answers - s.capacity)
	default:
		s.capacity *= 1 + capacityGrowth*elapsed.Seconds()
	}
	s.offered += weight * (offered - s.offered)
	share := min(1-s.capacity/s.offered, maxShedShare)
	if share < minShedShare || s.share == 0 && !over(lateShare) {
		share = 0
	}
	s.share = share
	return s
}

// sheds reports whether calls are shed. Nothing is while the calls of the data centre are
// old.
func (s shedding) sheds(now time.Time) bool {
	return s.active && now.Sub(s.updatedAt) <= sheddingLifetime
}

// refuses decides on a new call. A call that has returned has no chance to be answered within
// the objective of its first attempt, and would take the place of a call that has. Random is
// uniform in [0, 1).
func (s shedding) refuses(returned bool, random float64, now time.Time) bool {
	return s.sheds(now) && (returned || random < s.share)
}

// longestTimes holds the longest recent times of a service; 0 is none.
type longestTimes struct {
	current, previous time.Duration
	since             time.Time
}

// add returns the times with a further one.
func (l longestTimes) add(limit time.Duration, now time.Time) longestTimes {
	switch age := now.Sub(l.since); {
	case age >= 2*answerTimesWindow:
		l = longestTimes{since: now}
	case age >= answerTimesWindow:
		l = longestTimes{previous: l.current, since: l.since.Add(answerTimesWindow)}
	}
	l.current = max(l.current, limit)
	return l
}

// hasReturned reports whether a caller that stated the time limit seems to have sent the call
// before. A call without a limit never does.
func (l longestTimes) hasReturned(limit time.Duration) bool {
	return limit > 0 && float64(limit) < returnedShare*float64(max(l.current, l.previous))
}
