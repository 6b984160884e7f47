package requests

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/entryhost/requests/claims"
	"github.com/lentilpoint/lentilpoint/entryhost/requests/tickets"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// maxForwardedBytes bounds an answer that passes between entry hosts.
const maxForwardedBytes = 4 << 20

// serveTicket runs the call if this incarnation issued the ticket, and else
// passes it on to the entry host that did.
func (c *callTask) serveTicket(ctx context.Context) Answer {
	ticket, fault := c.parts.Issuer.Verify(c.start.Call.Key, c.start.Call.Organisation.ID)
	if fault != nil {
		return c.refuse(fault)
	}
	identity := c.parts.Issuer.Identity()
	switch {
	case ticket.Host != identity.Host:
		return c.forward(ctx, ticket)
	case ticket.Incarnation != identity.Incarnation:
		return c.refuse(tickets.HostGone(ticket.Host, "it was restarted"))
	}
	return c.serveHeld(ctx, &ticketStore{
		registry: c.parts.Tickets, ticket: ticket, bodyHash: c.bodyHash(), until: c.start.Call.Deadline.Add(endGrace),
	})
}

// forward asks the issuing entry host to run the call.
func (c *callTask) forward(ctx context.Context, ticket tickets.Ticket) Answer {
	call := c.start.Call
	ctx, cancel := context.WithDeadline(ctx, call.Deadline.Add(leastBodyTime))
	defer cancel()
	c.note(eventcode.TicketForwarded, admission.Assignment{}, "", "the ticket names entry host "+string(ticket.Host))
	result := new(tickets.ForwardedAnswer)
	failure, err := task.Call(ctx, c.parts.Peers, func(reply task.Reply[error]) peers.Message {
		return peers.Invoke{
			Context: ctx, Host: ticket.Host, Method: tickets.MethodRedeem, Result: result, Reply: reply,
			Arguments: tickets.ForwardedCall{
				ID: call.ID, Service: call.Service, Organisation: call.Organisation, Remaining: call.Deadline.Sub(c.clock.Now()),
				Fingerprint: call.Fingerprint, Method: call.Method, Path: call.Path, Header: call.Header, Body: call.Content, Key: call.Key,
			},
		}
	})
	if err == nil {
		err = failure
	}
	if err != nil {
		return c.refuse(tickets.HostGone(ticket.Host, err.Error()))
	}
	if result.Fault != nil {
		return c.refuse(result.Fault)
	}
	return Answer{Head: backends.ExchangeHead{
		Status: result.Status, Header: result.Header, Body: io.NopCloser(bytes.NewReader(result.Body)),
	}}
}

// ticketStore keeps a ticket in the memory of this incarnation.
type ticketStore struct {
	registry task.Mailbox[tickets.Message]
	ticket   tickets.Ticket
	bodyHash string
	until    time.Time
}

func (s *ticketStore) acquire(ctx context.Context) (claims.Verdict, error) {
	return task.Call(ctx, s.registry, func(reply task.Reply[claims.Verdict]) tickets.Message {
		return tickets.Redeem{Ticket: s.ticket, BodyHash: s.bodyHash, Until: s.until, Reply: reply}
	})
}

func (s *ticketStore) finish(ctx context.Context, state claims.State, answer *claims.Answer) (bool, error) {
	return task.Call(ctx, s.registry, func(reply task.Reply[bool]) tickets.Message {
		return tickets.Finish{ID: s.ticket.ID, State: state, Answer: answer, Reply: reply}
	})
}

// Redeemer answers net/rpc calls of other entry hosts. Its methods run in the
// goroutine of a connection and reach the manager by messages only.
type Redeemer struct {
	commands task.Mailbox[Command]
	issuer   tickets.Issuer
	clock    clockwork.Clock
}

// NewRedeemer returns the receiver of forwarded tickets.
func NewRedeemer(commands task.Mailbox[Command], issuer tickets.Issuer, clock clockwork.Clock) *Redeemer {
	return &Redeemer{commands: commands, issuer: issuer, clock: clock}
}

// Redeem runs a call whose ticket this incarnation issued.
func (r *Redeemer) Redeem(forwarded tickets.ForwardedCall, answer *tickets.ForwardedAnswer) error {
	ticket, fault := r.issuer.Verify(forwarded.Key, forwarded.Organisation.ID)
	if fault == nil && (claims.Identity{Host: ticket.Host, Incarnation: ticket.Incarnation}) != r.issuer.Identity() {
		fault = tickets.HostGone(ticket.Host, "it was restarted")
	}
	if fault != nil {
		answer.Fault = fault
		return nil
	}
	call := Call{
		ID: forwarded.ID, Service: forwarded.Service, Organisation: forwarded.Organisation,
		Deadline: r.clock.Now().Add(forwarded.Remaining), Fingerprint: forwarded.Fingerprint,
		Method: forwarded.Method, Path: forwarded.Path, Header: forwarded.Header,
		ContentLength: int64(len(forwarded.Body)), Content: forwarded.Body, Key: forwarded.Key,
	}
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline.Add(endGrace))
	defer cancel()
	result, err := task.Call(ctx, r.commands, func(reply task.Reply[Answer]) Command {
		return StartCall{Context: ctx, Call: call, Reply: reply}
	})
	if err != nil {
		return Error.Wrap(err)
	}
	if result.Fault != nil {
		answer.Fault = result.Fault
		return nil
	}
	return readForwarded(result.Head, answer)
}

func readForwarded(head backends.ExchangeHead, answer *tickets.ForwardedAnswer) error {
	defer func() { _ = head.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(head.Body, maxForwardedBytes+1))
	if err != nil {
		return Error.Wrap(err)
	}
	if len(content) > maxForwardedBytes {
		answer.Fault = &model.Fault{
			Kind: model.KindConflict, Reason: model.ReasonOutcomeUnknown, Executed: model.ExecutedYes,
			Message: "the request was executed; its answer is too long to pass between entry hosts (4 MiB)",
			Remedy:  "ask the service for the result",
		}
		return nil
	}
	answer.Status, answer.Header, answer.Body = head.Status, backends.EndToEndHeaders(head.Header), content
	return nil
}
