package tickets

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/requests/claims"
	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// Lifetime is how long a ticket may be redeemed and its outcome is kept.
	Lifetime = 10 * time.Minute
	// maxEntries bounds the redeemed tickets in memory: 70 requests/s per entry
	// host are 42,000 in a lifetime.
	maxEntries = 48 << 10
	// maxAnswerBytes bounds all recorded answers, to leave most of the 32 MB of
	// control overhead to others. Answers beyond it are recorded without a body.
	maxAnswerBytes = 8 << 20
	// sweepInterval is the time between removals of expired entries.
	sweepInterval = 10 * time.Second
)

// registry holds the redeemed tickets of one incarnation.
type registry struct {
	entries map[string]entry
	bytes   int
	// floor is the latest expiry of a removed entry. A ticket up to it is not
	// redeemed even when the wall clock is set back, as it may have run before.
	floor     int64
	lastSweep time.Time
}

type entry struct {
	expires int64
	record  claims.Record
}

func newRegistry() *registry { return &registry{entries: make(map[string]entry)} }

// redeem decides about a request with a ticket of this incarnation.
func (r *registry) redeem(ticket Ticket, bodyHash string, until, now time.Time) claims.Verdict {
	r.sweep(now)
	held, found := r.entries[ticket.ID]
	if found && held.record.BodyHash == bodyHash && held.record.State == claims.StateReleased {
		return r.hold(ticket, bodyHash, until, now)
	}
	if found {
		return claims.Judge(held.record, bodyHash, now)
	}
	return r.hold(ticket, bodyHash, until, now)
}

// hold allows the dispatch if the ticket may not have run before and the registry
// has room to remember it.
func (r *registry) hold(ticket Ticket, bodyHash string, until, now time.Time) claims.Verdict {
	_, found := r.entries[ticket.ID]
	switch {
	case ticket.Expires <= r.floor:
		return claims.Verdict{Fault: invalid(model.ExecutedUnknown, "the ticket has expired and its outcome is no longer kept")}
	case ticket.Expires <= now.UnixMilli():
		return claims.Verdict{Fault: invalid(model.ExecutedNo, "the ticket expired before it was redeemed")}
	case !found && len(r.entries) >= maxEntries:
		return claims.Verdict{Fault: model.NotRun(model.KindOverloaded, model.ReasonQueueFull,
			"this entry host remembers too many tickets", "get a ticket from another entry host").WithRetryAfter(time.Second)}
	}
	r.entries[ticket.ID] = entry{expires: ticket.Expires, record: claims.Record{
		ID: ticket.ID, BodyHash: bodyHash, State: claims.StateClaimed, Until: until,
	}}
	return claims.Verdict{Held: true}
}

// finish keeps the outcome of a redeemed ticket.
func (r *registry) finish(id string, state claims.State, answer *claims.Answer) bool {
	held, found := r.entries[id]
	if !found || held.record.State != claims.StateClaimed {
		return false
	}
	held.record.State = state
	if answer != nil && r.bytes+len(answer.Body) > maxAnswerBytes {
		answer = &claims.Answer{Status: answer.Status, Header: answer.Header, BodyOmitted: true}
	}
	if answer != nil {
		r.bytes += len(answer.Body)
	}
	held.record.Answer = answer
	r.entries[id] = held
	return true
}

// sweep removes expired entries whose calls have ended.
func (r *registry) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < sweepInterval {
		return
	}
	r.lastSweep = now
	for id, held := range r.entries {
		if held.expires > now.UnixMilli() || held.record.State == claims.StateClaimed {
			continue
		}
		if held.record.Answer != nil {
			r.bytes -= len(held.record.Answer.Body)
		}
		r.floor = max(r.floor, held.expires)
		delete(r.entries, id)
	}
}

func invalid(executed model.Executed, message string) *model.Fault {
	return &model.Fault{
		Kind: model.KindInvalid, Reason: model.ReasonTicketInvalid, Executed: executed, Message: message,
		Remedy: "get a new ticket with POST /v1/tickets, unless an earlier request with this one may have run", Field: "Idempotency-Key",
	}
}

// HostGone is the answer when the incarnation that issued a ticket cannot be
// asked. It may have run the call before, so that the outcome is unknown.
func HostGone(host model.HostID, cause string) *model.Fault {
	return &model.Fault{
		Kind: model.KindUnknown, Reason: model.ReasonTicketHostGone, Executed: model.ExecutedUnknown,
		Message: "entry host " + string(host) + ", which alone knows the outcome of the ticket, cannot be asked: " + cause,
		Remedy:  "repeat the request with the ticket if the entry host may return; else ask the service whether it took effect",
	}
}
