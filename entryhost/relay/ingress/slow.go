package ingress

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/forward"
)

const (
	// minWritePause, objectivePauses and gapPauses bound the time in which a caller's socket
	// takes no bytes. Callers give up a stream after some of its largest pauses, and an
	// answer after some of its objectives.
	minWritePause   = 2 * time.Second
	objectivePauses = 4
	gapPauses       = 8
	// writeMargin is how long after the deadline of a request its answer may be written. A
	// refusal is written at the deadline, and a drain ends 100 ms after the last one.
	writeMargin = 250 * time.Millisecond
	// writeGrace is how long an answer is written before it counts as held for a slow
	// caller. On a link of 10 Mbit/s it suffices for 120 KB.
	writeGrace = 100 * time.Millisecond
	// maxWriteBytes is the size of one write, for which the pause is granted anew. It takes
	// 52 ms on a link of 10 Mbit/s.
	maxWriteBytes = 64 << 10
	// maxStreamHeld is the size of the held events of one stream, some 1,000 of them, from which
	// on no further one is taken.
	maxStreamHeld = 256 << 10
	// maxHoldWait is how long a stream at maxStreamHeld may wait until its caller has taken
	// more, since a server may send faster than the caller's link. Meanwhile the server is not
	// read, which it allows for some seconds, and its silence is not noticed.
	maxHoldWait = 500 * time.Millisecond
	// maxOrganisationHeld and maxHostHeld bound what is held for the slow callers of one
	// organisation, the size of the largest answer, and of all. The smallest machines have
	// 144 MB.
	maxOrganisationHeld = 8 << 20
	maxHostHeld         = 16 << 20
	// claimBlock is the unit in which a stream claims memory, so that a slow caller does not
	// cost a message for each event. It also covers the task that holds the events.
	claimBlock = 16 << 10
)

// cutReason is why this host disconnects a slow caller; "" for callers that stay.
type cutReason string

const (
	// cutWriteDeadline means that the caller's socket took no bytes for too long.
	cutWriteDeadline cutReason = "write_deadline"
	// cutRequestDeadline means that the answer was not written at the request's deadline.
	cutRequestDeadline cutReason = "request_deadline"
	// cutStreamBound, cutOrganisationBound and cutHostBound name the bound that was reached. At
	// the last two the caller of the largest held response is disconnected.
	cutStreamBound       cutReason = "stream_bound"
	cutOrganisationBound cutReason = "organisation_bound"
	cutHostBound         cutReason = "host_bound"
)

// writeLimits are the limits of the response to one request.
type writeLimits struct {
	organisation string
	pause        time.Duration
	// until is when the response must be written; zero for no limit.
	until time.Time
}

// writeLimitsOf returns the limits of the response to a request.
func writeLimitsOf(request *forward.Request) writeLimits {
	route := request.Route
	return writeLimits{
		organisation: request.Organisation,
		pause:        max(minWritePause, objectivePauses*route.LatencyObjective, gapPauses*route.GapObjective),
		until:        request.Deadline.Add(writeMargin),
	}
}

// deadline returns when a write that starts now must be done, and what it means if it is not.
func (l writeLimits) deadline(now time.Time) (time.Time, cutReason) {
	end := now.Add(l.pause)
	if !l.until.IsZero() && l.until.Before(end) {
		return l.until, cutRequestDeadline
	}
	return end, cutWriteDeadline
}

// mayHold reports whether a stream of which some bytes are held may hold another event, which
// may be of any size.
func mayHold(held int) bool { return held < maxStreamHeld }

// mayClaim reports whether an organisation of which some bytes are held may hold more. One
// answer is always allowed, so that its size alone does not disconnect a caller.
func mayClaim(held, bytes int64) bool { return held == 0 || held+bytes <= maxOrganisationHeld }

// heldResponse is what is held of one response for its slow caller.
type heldResponse struct {
	evicted      evictions
	organisation string
	bytes        int64
	// order is smaller for responses that have been held for longer.
	order int64
	// cut is why its caller is being disconnected, or "".
	cut cutReason
}

// chooseSlowest returns the response whose caller is disconnected so that another one may hold
// the given sum: the largest that holds as much, and of equal ones that which has been held for
// longest. It returns nil if there is none, since many small ones may be of callers that read.
func chooseSlowest(responses map[evictions]*heldResponse, reason cutReason, asking *heldResponse, sum int64) *heldResponse {
	var slowest *heldResponse
	for _, held := range responses {
		if held == asking || held.cut != "" || held.bytes < sum || reason == cutOrganisationBound && held.organisation != asking.organisation {
			continue
		}
		if slowest == nil || held.bytes > slowest.bytes || held.bytes == slowest.bytes && held.order < slowest.order {
			slowest = held
		}
	}
	return slowest
}

// toBlocks rounds up to whole blocks.
func toBlocks(bytes int) int64 { return (int64(bytes) + claimBlock - 1) / claimBlock * claimBlock }
