package forward

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

const (
	// maxRejections is the number of servers that may state that they did not
	// run the request before no other server is tried.
	maxRejections = 4
	// maxPlainRejections is the number of times that servers of a plain service may state
	// that they did not run the request. A server that was full may be asked again; the
	// dispatcher decides when, and bounds how often.
	maxPlainRejections = 8
	// maxUnsent is the number of servers that may be unreachable before no other
	// server is tried; connections are refused within a millisecond.
	maxUnsent = 8
	// attemptTimeoutShare is the part of the latency objective after which an
	// attempt of an idempotent request is abandoned for another server; the rest
	// suffices for the second response.
	attemptTimeoutShare = 0.6
	// maxOfferedWait bounds the wait for a server of a plain service once a server has had
	// the request; its deadline may end the wait before. A late answer is worth more than
	// a refusal, and a server that was full has room within some 100 ms.
	maxOfferedWait = time.Second
	// minRetryAfter is the retry delay in refusals; a crashed server is back
	// after about a second.
	minRetryAfter = 500 * time.Millisecond
	// maxRetryAfterShare is the part of the time left up to which callers honour
	// Retry-After. Calls of plain services are not told a longer one, with which their
	// callers may give up, but at least minPlainRetryAfter.
	maxRetryAfterShare = 1.0 / 3
	minPlainRetryAfter = 50 * time.Millisecond
)

// plainRetryAfter returns the Retry-After of a call of a plain service for which no better
// one is known.
func plainRetryAfter(left time.Duration) time.Duration {
	return max(minPlainRetryAfter, min(minRetryAfter, time.Duration(maxRetryAfterShare*float64(left))))
}

// attemptCounts counts the attempts of a request by what may have happened.
type attemptCounts struct {
	// runs are the attempts that may have run, rejections those that a server
	// did not run, unsent those without a connection.
	runs       int
	rejections int
	unsent     int
}

// add returns the counts after another attempt.
func (c attemptCounts) add(outcome dispatch.Outcome) attemptCounts {
	switch outcome {
	case dispatch.OutcomeRejected, dispatch.OutcomeMisdirected:
		c.rejections++
	case dispatch.OutcomeUnreachable:
		c.unsent++
	default:
		c.runs++
	}
	return c
}

// sent reports whether any attempt reached a server.
func (c attemptCounts) sent() bool { return c.runs+c.rejections > 0 }

// decision is the step that follows an attempt.
type decision int

const (
	// deliverResponse sends the server's response to the caller.
	deliverResponse decision = iota
	// retry sends the request to another server.
	retry
	// refuseAsNotRun answers that the request has not run.
	refuseAsNotRun
	// failAsUnknown answers that the request may have run.
	failAsUnknown
	// failAsStopped answers that requests like this one are stopped, and that this one
	// may have run.
	failAsStopped
)

// afterPlain decides what follows an attempt of a request with a single complete
// response. PlainService is set if the servers are no engines.
func afterPlain(route *routing.Route, plainService bool, outcome dispatch.Outcome, counts attemptCounts) decision {
	repeatable := route.Kind == routing.Idempotent
	rejectionLimit := maxRejections
	if plainService {
		rejectionLimit = maxPlainRejections
	}
	switch outcome {
	case dispatch.OutcomeSuccess:
		return deliverResponse
	case dispatch.OutcomeUnreachable, dispatch.OutcomeRejected, dispatch.OutcomeMisdirected:
		switch {
		case counts.unsent < maxUnsent && counts.rejections < rejectionLimit:
			return retry
		case counts.runs == 0:
			return refuseAsNotRun
		}
		return failAsUnknown
	case dispatch.OutcomeFailed:
		if repeatable && counts.runs < route.MaxAttempts {
			return retry
		}
		return deliverResponse
	default:
		if repeatable && counts.runs < route.MaxAttempts {
			return retry
		}
		return failAsUnknown
	}
}

// afterStream decides what follows an attempt of a stream that is not complete.
func afterStream(route *routing.Route, outcome dispatch.Outcome, counts attemptCounts, started bool) decision {
	switch outcome {
	case dispatch.OutcomeUnreachable, dispatch.OutcomeRejected, dispatch.OutcomeMisdirected:
		switch {
		case counts.unsent < maxUnsent && counts.rejections < maxRejections:
			return retry
		case counts.runs == 0 && !started:
			return refuseAsNotRun
		}
		return failAsUnknown
	case dispatch.OutcomeFailed:
		if route.Resumable && counts.runs < route.MaxAttempts {
			return retry
		}
		if !started {
			return deliverResponse
		}
		return failAsUnknown
	default:
		if route.Resumable && counts.runs < route.MaxAttempts {
			return retry
		}
		return failAsUnknown
	}
}

// minRunTime is the time after which a stream that broke off on a reused connection may
// have crashed its engine. An engine that had died before resets the connection within a
// round trip, at most 3 ms; one that lives sends its first token after a step of 6 ms and
// more.
const minRunTime = 8 * time.Millisecond

// mayHaveCrashed reports whether a request whose attempt broke off before its first event
// or complete response after a time may be what crashed the server. A request to a server
// that was dead already, on a connection from before, shows nothing.
func mayHaveCrashed(kind routing.Kind, reused bool, ran time.Duration) bool {
	return kind != routing.Streaming || !reused || ran >= minRunTime
}

// outcomeOfFailure returns the outcome of a failed exchange.
func outcomeOfFailure(failure *exchange.Failure) dispatch.Outcome {
	if failure.Phase == exchange.Unsent {
		return dispatch.OutcomeUnreachable
	}
	return dispatch.OutcomeBroken
}

// outcomeOfHead returns the outcome that the head of a response indicates. A
// success still depends on the body.
func outcomeOfHead(head *exchange.ResponseHead) dispatch.Outcome {
	switch {
	case head.Misdirected:
		return dispatch.OutcomeMisdirected
	case head.NotRun:
		return dispatch.OutcomeRejected
	case head.Encoded, head.Status < 300 && !head.Sealed:
		return dispatch.OutcomeBroken
	case head.Status >= 500:
		return dispatch.OutcomeFailed
	default:
		return dispatch.OutcomeSuccess
	}
}

const (
	// firstEventCheckAfter is the time without a first event after which the
	// server is probed, and firstEventCheckInterval the time between probes. A
	// prompt takes 1.1 s to read and half of all first events come within 1.5 s;
	// each probe costs a connection.
	firstEventCheckAfter    = 1500 * time.Millisecond
	firstEventCheckInterval = 700 * time.Millisecond
	// minGapCheckAfter is the shortest gap between events after which the server
	// is probed; an event takes 30 to 160 ms, depending on the prompts that are
	// read meanwhile.
	minGapCheckAfter = 180 * time.Millisecond
	// gapCheckFactor is the multiple of the longest gap so far after which the
	// server is probed.
	gapCheckFactor = 1.6
	// maxGapCheckAfter leaves time to resume on another server within a gap
	// objective of 700 ms.
	maxGapCheckAfter = 350 * time.Millisecond
	// gapCheckInterval is the time between probes during one gap.
	gapCheckInterval = 250 * time.Millisecond
	// firstEventTimeoutFactor is the multiple of the latency objective after
	// which an attempt without events on a live server is abandoned. An earlier
	// timeout discards the part of the prompt that the server has read, which
	// overloaded the remaining engines.
	firstEventTimeoutFactor = 1.6
	// gapTimeoutFactor is the multiple of the gap objective after which an
	// attempt on a live server that sends nothing is abandoned.
	gapTimeoutFactor = 2.0
	// maxEventsAhead is how many events a run may be ahead of those received
	// before the connection counts as stalled; reports are some 100 ms old.
	maxEventsAhead = 3
	// maxRunMissingTime is how long after its first event a run may be missing
	// from a server's report, which lags by some 100 ms.
	maxRunMissingTime = 1200 * time.Millisecond
)

// checkAfter returns the time without an event after which the server is probed.
func checkAfter(started bool, longestGap time.Duration) time.Duration {
	if !started {
		return firstEventCheckAfter
	}
	return min(max(minGapCheckAfter, time.Duration(gapCheckFactor*float64(longestGap))), maxGapCheckAfter)
}

// silenceTimeout returns the time without an event after which an attempt is
// abandoned even on a live server.
func silenceTimeout(route *routing.Route, started bool) time.Duration {
	if !started {
		return time.Duration(firstEventTimeoutFactor * float64(route.LatencyObjective))
	}
	return time.Duration(gapTimeoutFactor * float64(route.GapObjective))
}

// progress is what this host has received of a run.
type progress struct {
	id string
	// started is set if this attempt sent an event, and sinceFirst is the time
	// since the first one.
	started    bool
	sinceFirst time.Duration
	// received is the number of events of the stream that arrived.
	received int
}

// attemptLost reports whether the server's report shows that the attempt is
// lost.
func attemptLost(result dispatch.CheckResult, p progress) bool {
	if !result.Alive {
		return true
	}
	produced, found := result.Runs[p.id]
	if !found {
		// Servers report a run only after its first event.
		return p.started && p.sinceFirst > maxRunMissingTime
	}
	return produced > p.received+maxEventsAhead
}
