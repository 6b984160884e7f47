package forward

import (
	"errors"

	"github.com/lentilpoint/lentilpoint/entryhost/memory"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

// response is the response of a server, whose body is kept until it is complete.
type response struct {
	head *exchange.ResponseHead
	// outcome is what the head alone indicates.
	outcome dispatch.Outcome
	// body is nil if it is not needed, and discarded then counts its bytes.
	body      *memory.Buffer
	discarded int
}

// newResponse returns a response. Its body is kept if the caller may get it.
func (r *requestTask) newResponse(head *exchange.ResponseHead, keepBody bool) *response {
	got := &response{head: head, outcome: outcomeOfHead(head)}
	if keepBody {
		got.body = memory.NewBuffer(maxResponseBytes, r.claims)
	}
	return got
}

// errTooLong reports a body that is longer than any that is kept.
var errTooLong = Error.New("the answer is longer than %d bytes", maxResponseBytes)

// errUnusable reports a response that no caller may get.
var errUnusable = Error.New("the response has no signature of the server, or a content encoding")

// add adds bytes of the body. It reports whether the attempt is over, and why: a body that is
// not needed is read to its end only if it is short, so that the connection can be reused.
func (got *response) add(data []byte) (over bool, err error) {
	if got.body == nil {
		got.discarded += len(data)
		return got.discarded > maxDiscardedBytes, nil
	}
	err = got.body.Append(data)
	if errors.Is(err, memory.ErrTooLarge) {
		err = errTooLong
	}
	return err != nil, err
}

// takeBody returns the body and ends its claim, as what is held for a slow caller is claimed
// by the connection to the caller.
func (got *response) takeBody() []byte {
	body := got.body.Bytes()
	got.free()
	return body
}

// free releases the memory of the body.
func (got *response) free() {
	if got != nil && got.body != nil {
		got.body.Free()
	}
}

// neverDelivered reports whether no part of a response with this outcome reaches a caller.
func neverDelivered(outcome dispatch.Outcome) bool {
	return outcome == dispatch.OutcomeBroken || outcome == dispatch.OutcomeRejected || outcome == dispatch.OutcomeMisdirected
}

// needsStreamBody reports whether the body of a response to a stream that is no part of the
// stream may be delivered: a failure is not if another server is asked after it.
func needsStreamBody(route *routing.Route, outcome dispatch.Outcome, counts attemptCounts, started bool) bool {
	if outcome == dispatch.OutcomeSuccess {
		outcome = dispatch.OutcomeFailed
	}
	return !neverDelivered(outcome) && afterStream(route, outcome, counts.add(outcome), started) == deliverResponse
}
