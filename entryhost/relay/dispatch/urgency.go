package dispatch

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

const (
	// minPromptTime and maxPromptTime bound the estimated time of a prompt. A first event
	// may come at once from a cached prompt, or late from an engine that hangs, and
	// neither tells how fast the others read.
	minPromptTime = 300 * time.Millisecond
	maxPromptTime = 3 * time.Second
	// promptTimeWeight is the weight of one observation; a host sees about one stream a
	// second, so that the estimate follows a change within some ten seconds.
	promptTimeWeight = 0.1
	// minRoomWait is the shortest time after which a refused caller returns; a sooner one
	// would find the same backlog.
	minRoomWait = 300 * time.Millisecond
	// roomWaitShare is the part of the time left that callers wait at most.
	roomWaitShare = 1.0 / 3
	// remoteDelay is the time that must be saved for a stream to go to another data centre
	// than its host's.
	remoteDelay = time.Duration(remoteCost * float64(time.Second))
)

// promptEstimate is the smoothed time in which an engine reads a prompt, or 0 before any
// observation.
type promptEstimate time.Duration

func (e promptEstimate) duration() time.Duration {
	if e == 0 {
		return promptTime
	}
	return time.Duration(e)
}

// observe returns the estimate after a first event of a prompt that met no other one at
// its engine.
func (e promptEstimate) observe(firstEvent time.Duration) promptEstimate {
	observed, before := min(max(firstEvent, minPromptTime), maxPromptTime), e.duration()
	return promptEstimate(before + time.Duration(promptTimeWeight*float64(observed-before)))
}

// streamNeeds is what the admission of a stream depends on besides the demand.
type streamNeeds struct {
	ranks routing.Ranks
	// objective is the stream's latency objective, and left the time until its deadline.
	objective time.Duration
	left      time.Duration
	// prompt is the time in which an engine reads a prompt.
	prompt time.Duration
}

// admission is the decision about a stream in a data centre; refusal is "" if it is
// admitted.
type admission struct {
	dataCentre string
	refusal    Refusal
	// wait is the predicted time until an engine reads the stream's prompt.
	wait time.Duration
	// untilRoom is the predicted time until the stream would be admitted.
	untilRoom time.Duration
	// distance is the cost of the data centre's distance.
	distance time.Duration
}

// backlogUpTo returns the number of prompts of the rank and of more urgent ones for each
// usable engine.
func (d demand) backlogUpTo(rank int) float64 {
	total := 0
	for other, count := range d.byRank {
		if other <= rank {
			total += count
		}
	}
	return float64(total) / float64(max(d.engines.usable, 1))
}

// backlogAhead returns the number of prompts for each engine that are read before a new
// one of the stream.
func (d demand) backlogAhead() float64 {
	if d.byRank == nil {
		return d.backlog()
	}
	return d.backlogUpTo(d.rank)
}

// moreUrgentWait reports whether prompts of more urgent streams wait: as long as an engine
// reads no prompt, those that there are find one.
func (d demand) moreUrgentWait() bool {
	return d.byRank != nil && !d.engines.idle && d.backlogUpTo(d.rank-1) > 0
}

// promptsBefore returns the number of prompts that may wait at an engine before another one
// is read after the objective. Two more take time: the one itself, and the one that the
// engine reads when it comes, of whatever rank. The number is at least one: with fewer, a
// new stream finds an engine soon, and a refusal of others would hardly serve it sooner.
func promptsBefore(objective, prompt time.Duration) float64 {
	return max(float64(objective)/float64(prompt)-2, 1)
}

// admit decides whether a stream is admitted: always if it is of the most urgent rank or
// if an engine has no prompt. Otherwise it is refused if a new stream of a more urgent rank
// would miss its objective, or if it would miss its own.
func (d demand) admit(needs streamNeeds) admission {
	result := admission{wait: time.Duration(d.backlogUpTo(d.rank) * float64(needs.prompt))}
	if d.engines.idle || len(needs.ranks) <= 1 || d.rank <= needs.ranks[0].Value {
		return result
	}
	refuse := func(refusal Refusal, excess float64) admission {
		result.refusal, result.untilRoom = refusal, time.Duration(excess*float64(needs.prompt))
		return result
	}
	if urgent := needs.ranks.ObjectiveBefore(d.rank); urgent > 0 {
		if excess := d.backlogUpTo(d.rank-1) - promptsBefore(urgent, needs.prompt); excess >= 0 {
			return refuse(RefusedForUrgent, excess)
		}
	}
	if needs.objective > 0 {
		if excess := d.backlogUpTo(d.rank) - promptsBefore(needs.objective, needs.prompt); excess > 0 {
			return refuse(RefusedForWait, excess)
		}
	}
	return result
}

// bestElsewhere returns the data centre that admits the stream with the shortest wait, if
// one saves more than its distance costs. The one that refuses the stream has the wait
// there after the return of its caller.
func bestElsewhere(refused admission, others []admission) (admission, bool) {
	best, found := refused, false
	best.wait += meanRoomWait(refused.untilRoom)
	for _, other := range others {
		if other.refusal == "" && other.wait+other.distance < best.wait+best.distance {
			best, found = other, true
		}
	}
	return best, found
}

// meanRoomWait returns the mean time after which refused callers return, which leaves
// room for jitter above the shortest one.
func meanRoomWait(untilRoom time.Duration) time.Duration { return max(untilRoom, 2*minRoomWait) }

// roomWait returns when a refused caller may return: after the predicted time until there
// is room, spread by a half in both directions since others were refused at the same
// time. It is bounded by what the caller waits at most, and by the time from which it
// would miss its objective. Random is uniform in [0, 1).
func roomWait(untilRoom time.Duration, needs streamNeeds, random float64) time.Duration {
	longest := time.Duration(roomWaitShare * float64(needs.left))
	if needs.objective > needs.prompt {
		longest = min(longest, needs.objective-needs.prompt)
	}
	mean := min(meanRoomWait(untilRoom), longest*2/3)
	return max(time.Duration((0.5+random)*float64(mean)), minRoomWait)
}
