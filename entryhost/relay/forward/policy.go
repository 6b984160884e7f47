package forward

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

const (
	// rejectionsMax is the number of servers that may state that they did not
	// run the request before the caller is told so.
	rejectionsMax = 4
	// unsentMax is the number of servers that may be unreachable; connects are
	// refused within a millisecond.
	unsentMax = 8
	// hedgeShare is the part of the latency objective after which an idempotent
	// request goes to another server; the rest suffices for the second answer.
	hedgeShare = 0.6
	// holdShare is the part of the latency objective for which a request waits
	// for a server; a refusal after an eighth of it counts as late.
	holdShare = 0.12
	// retryAfterMin is the pause that refusals ask for; a crashed server is back
	// after about a second.
	retryAfterMin = 500 * time.Millisecond
)

// tally counts what a request's attempts came to.
type tally struct {
	// runs are attempts that may have run.
	runs       int
	rejections int
	unsent     int
}

// add counts an attempt.
func (t tally) add(outcome dispatch.Outcome) tally {
	switch outcome {
	case dispatch.OutcomeRejected, dispatch.OutcomeMisdirected:
		t.rejections++
	case dispatch.OutcomeUnreachable:
		t.unsent++
	default:
		t.runs++
	}
	return t
}

// sent reports whether any attempt put bytes on the wire.
func (t tally) sent() bool { return t.runs+t.rejections > 0 }

// verdict is what follows an attempt.
type verdict int

const (
	// deliver passes the server's answer on.
	deliver verdict = iota
	// again sends the request to another server.
	again
	// refuse answers that the request has not run.
	refuse
	// fail answers that the outcome is unknown.
	fail
)

// afterPlain decides what follows an attempt of a request whose answer is
// delivered as a whole.
func afterPlain(route *routing.Route, outcome dispatch.Outcome, counts tally) verdict {
	repeatable := route.Kind == routing.Idempotent
	switch outcome {
	case dispatch.OutcomeSuccess:
		return deliver
	case dispatch.OutcomeUnreachable, dispatch.OutcomeRejected, dispatch.OutcomeMisdirected:
		switch {
		case counts.unsent < unsentMax && counts.rejections < rejectionsMax:
			return again
		case counts.runs == 0:
			return refuse
		}
		return fail
	case dispatch.OutcomeFailed:
		if repeatable && counts.runs < route.MaxAttempts {
			return again
		}
		return deliver
	default:
		if repeatable && counts.runs < route.MaxAttempts {
			return again
		}
		return fail
	}
}

// afterStream decides what follows an attempt of a stream that is not complete.
func afterStream(route *routing.Route, outcome dispatch.Outcome, counts tally, started bool) verdict {
	switch outcome {
	case dispatch.OutcomeUnreachable, dispatch.OutcomeRejected, dispatch.OutcomeMisdirected:
		switch {
		case counts.unsent < unsentMax && counts.rejections < rejectionsMax:
			return again
		case counts.runs == 0 && !started:
			return refuse
		}
		return fail
	case dispatch.OutcomeFailed:
		if route.Resumable && counts.runs < route.MaxAttempts {
			return again
		}
		if !started {
			return deliver
		}
		return fail
	default:
		if route.Resumable && counts.runs < route.MaxAttempts {
			return again
		}
		return fail
	}
}

// outcomeOfFailure reads a failed exchange as an outcome.
func outcomeOfFailure(failure *exchange.Failure) dispatch.Outcome {
	if failure.Phase == exchange.Unsent {
		return dispatch.OutcomeUnreachable
	}
	return dispatch.OutcomeBroken
}

// outcomeOfHead reads the head of an answer. Success is not certain before the
// body is complete.
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
	// firstCheck is the silence before the first event after which the server
	// is asked whether it is alive, and firstPause the time between two such
	// questions. A prompt takes 1.1 s to read and half of all first events come
	// within 1.5 s; each question costs a connection.
	firstCheck = 1500 * time.Millisecond
	firstPause = 700 * time.Millisecond
	// gapCheckMin bounds the silence between events after which it is asked; an
	// event takes 30 to 160 ms, depending on prompts that are read meanwhile.
	gapCheckMin = 180 * time.Millisecond
	// gapFactor is the multiple of the longest gap seen that is not yet silence.
	gapFactor = 1.6
	// gapCheckMax leaves time to go on elsewhere within a gap objective of 700 ms.
	gapCheckMax = 350 * time.Millisecond
	// checkPause is the time between two questions about one silence between
	// events.
	checkPause = 250 * time.Millisecond
	// firstShare is the multiple of the latency objective after which a live
	// server that has sent no event is left. Leaving earlier throws away the part
	// of the prompt that it has read, which overloaded the remaining engines.
	firstShare = 1.6
	// gapShare is the multiple of the gap objective after which a live server
	// that sends nothing is left.
	gapShare = 2.0
	// eventsAhead is how far a live run may be ahead of the events received
	// before the connection counts as silent; reports are some 100 ms old.
	eventsAhead = 3
	// settleTime is how long a run may be missing from a server's report, which
	// lags by some 100 ms.
	settleTime = 1200 * time.Millisecond
)

// silenceLimit is the silence after which the server is asked.
func silenceLimit(started bool, longestGap time.Duration) time.Duration {
	if !started {
		return firstCheck
	}
	return min(max(gapCheckMin, time.Duration(gapFactor*float64(longestGap))), gapCheckMax)
}

// patience is the silence after which even a live server is left.
func patience(route *routing.Route, started bool) time.Duration {
	if !started {
		return time.Duration(firstShare * float64(route.LatencyObjective))
	}
	return time.Duration(gapShare * float64(route.GapObjective))
}

// progress is what the caller's side knows of a run.
type progress struct {
	id string
	// started tells that this attempt sent an event, running how long ago.
	started bool
	running time.Duration
	// received is the number of events of the stream that arrived.
	received int
}

// isLost decides from the server's report whether the attempt is lost.
func isLost(verdict dispatch.Verdict, p progress) bool {
	if !verdict.Alive {
		return true
	}
	made, found := verdict.Runs[p.id]
	if !found {
		// A run is reported once it has made its first event.
		return p.started && p.running > settleTime
	}
	return made > p.received+eventsAhead
}
