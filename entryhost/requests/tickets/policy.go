package tickets

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/requests/claims"
	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// Lifetime is how long after its issue a ticket can be redeemed and its
	// outcome is kept.
	Lifetime = 10 * time.Minute
	// maxEntries bounds the redeemed tickets in memory: 70 requests/s per entry
	// host are 42,000 in a lifetime.
	maxEntries = 48 << 10
	// maxTotalAnswerBytes bounds the bodies of all recorded answers, to leave most
	// of the 32 MB of control overhead to others. Answers beyond it are recorded
	// without a body.
	maxTotalAnswerBytes = 8 << 20
	// sweepInterval is the time between removals of expired entries.
	sweepInterval = 10 * time.Second
)

// registry holds the redeemed tickets of one incarnation.
type registry struct {
	entries map[string]entry
	// answerBytes is the total length of the recorded bodies.
	answerBytes int
	// removedUntil is the latest expiry of a removed entry, in milliseconds since
	// the Unix epoch. A ticket that expires at or before it is not redeemed even
	// when the wall clock is set back, as it may have run before.
	removedUntil int64
	lastSweep    time.Time
}

type entry struct {
	expires int64
	record  claims.Record
}

func newRegistry() *registry { return &registry{entries: make(map[string]entry)} }

// redeem returns the result for a request with a ticket of this incarnation.
func (r *registry) redeem(ticket Ticket, bodyHash string, until, now time.Time) claims.AcquireResult {
	r.sweep(now)
	known, found := r.entries[ticket.ID]
	if found && known.record.BodyHash == bodyHash && known.record.State == claims.StateReleased {
		return r.acquire(ticket, bodyHash, until, now)
	}
	if found {
		return claims.EvaluateRecord(known.record, bodyHash, now)
	}
	return r.acquire(ticket, bodyHash, until, now)
}

// acquire permits the dispatch if the ticket cannot have run before and the
// registry has room for its outcome.
func (r *registry) acquire(ticket Ticket, bodyHash string, until, now time.Time) claims.AcquireResult {
	_, found := r.entries[ticket.ID]
	switch {
	case ticket.Expires <= r.removedUntil:
		return claims.AcquireResult{Fault: ticketInvalidFault(model.ExecutedUnknown, "the ticket has expired and its outcome is no longer kept")}
	case ticket.Expires <= now.UnixMilli():
		return claims.AcquireResult{Fault: ticketInvalidFault(model.ExecutedNo, "the ticket expired before it was redeemed")}
	case !found && len(r.entries) >= maxEntries:
		return claims.AcquireResult{Fault: model.NotRun(model.KindOverloaded, model.ReasonQueueFull,
			"this entry host remembers too many tickets", "get a ticket from another entry host").WithRetryAfter(time.Second)}
	}
	r.entries[ticket.ID] = entry{expires: ticket.Expires, record: claims.Record{
		ID: ticket.ID, BodyHash: bodyHash, State: claims.StateClaimed, Until: until,
	}}
	return claims.AcquireResult{Held: true}
}

// recordOutcome stores the outcome of a redeemed ticket and reports whether it did.
func (r *registry) recordOutcome(id string, state claims.State, answer *claims.Answer) bool {
	redeemed, found := r.entries[id]
	if !found || redeemed.record.State != claims.StateClaimed {
		return false
	}
	redeemed.record.State = state
	if answer != nil && r.answerBytes+len(answer.Body) > maxTotalAnswerBytes {
		answer = &claims.Answer{Status: answer.Status, Header: answer.Header, BodyOmitted: true}
	}
	if answer != nil {
		r.answerBytes += len(answer.Body)
	}
	redeemed.record.Answer = answer
	r.entries[id] = redeemed
	return true
}

// sweep removes expired entries whose calls have ended.
func (r *registry) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < sweepInterval {
		return
	}
	r.lastSweep = now
	for id, redeemed := range r.entries {
		if redeemed.expires > now.UnixMilli() || redeemed.record.State == claims.StateClaimed {
			continue
		}
		if redeemed.record.Answer != nil {
			r.answerBytes -= len(redeemed.record.Answer.Body)
		}
		r.removedUntil = max(r.removedUntil, redeemed.expires)
		delete(r.entries, id)
	}
}

func ticketInvalidFault(executed model.Executed, message string) *model.Fault {
	return &model.Fault{
		Kind: model.KindInvalid, Reason: model.ReasonTicketInvalid, Executed: executed, Message: message,
		Remedy: "get a new ticket with POST /v1/tickets, unless an earlier request with this one may have run", Field: "Idempotency-Key",
	}
}

// HostGoneFault returns the fault for a ticket whose issuing incarnation cannot
// be reached. That incarnation may have run the call before, so the outcome is
// unknown.
func HostGoneFault(host model.HostID, cause string) *model.Fault {
	return &model.Fault{
		Kind: model.KindUnknown, Reason: model.ReasonTicketHostGone, Executed: model.ExecutedUnknown,
		Message: "entry host " + string(host) + ", which alone knows the outcome of the ticket, cannot be asked: " + cause,
		Remedy:  "repeat the request with the ticket if the entry host may return; else ask the service whether it took effect",
	}
}
