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

// book holds the redeemed tickets of one incarnation.
type book struct {
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

func newBook() *book { return &book{entries: make(map[string]entry)} }

// redeem decides about a request with a ticket of this incarnation.
func (b *book) redeem(ticket Ticket, bodyHash string, until, now time.Time) claims.Verdict {
	b.sweep(now)
	held, found := b.entries[ticket.ID]
	if found && held.record.BodyHash == bodyHash && held.record.State == claims.StateReleased {
		return b.hold(ticket, bodyHash, until, now)
	}
	if found {
		return claims.Judge(held.record, bodyHash, now)
	}
	return b.hold(ticket, bodyHash, until, now)
}

// hold allows the dispatch if the ticket may not have run before and the book
// has room to remember it.
func (b *book) hold(ticket Ticket, bodyHash string, until, now time.Time) claims.Verdict {
	_, found := b.entries[ticket.ID]
	switch {
	case ticket.Expires <= b.floor:
		return claims.Verdict{Fault: invalid(model.ExecutedUnknown, "the ticket has expired and its outcome is no longer kept")}
	case ticket.Expires <= now.UnixMilli():
		return claims.Verdict{Fault: invalid(model.ExecutedNo, "the ticket expired before it was redeemed")}
	case !found && len(b.entries) >= maxEntries:
		return claims.Verdict{Fault: model.NotRun(model.KindOverloaded, model.ReasonQueueFull,
			"this entry host remembers too many tickets", "get a ticket from another entry host").After(time.Second)}
	}
	b.entries[ticket.ID] = entry{expires: ticket.Expires, record: claims.Record{
		ID: ticket.ID, BodyHash: bodyHash, State: claims.StateClaimed, Until: until,
	}}
	return claims.Verdict{Held: true}
}

// finish keeps the outcome of a redeemed ticket.
func (b *book) finish(id string, state claims.State, answer *claims.Answer) bool {
	held, found := b.entries[id]
	if !found || held.record.State != claims.StateClaimed {
		return false
	}
	held.record.State = state
	if answer != nil && b.bytes+len(answer.Body) > maxAnswerBytes {
		answer = &claims.Answer{Status: answer.Status, Header: answer.Header, BodyOmitted: true}
	}
	if answer != nil {
		b.bytes += len(answer.Body)
	}
	held.record.Answer = answer
	b.entries[id] = held
	return true
}

// sweep removes expired entries whose calls have ended.
func (b *book) sweep(now time.Time) {
	if now.Sub(b.lastSweep) < sweepInterval {
		return
	}
	b.lastSweep = now
	for id, held := range b.entries {
		if held.expires > now.UnixMilli() || held.record.State == claims.StateClaimed {
			continue
		}
		if held.record.Answer != nil {
			b.bytes -= len(held.record.Answer.Body)
		}
		b.floor = max(b.floor, held.expires)
		delete(b.entries, id)
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
