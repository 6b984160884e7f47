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

// maxForwardedBytes bounds an answer that is forwarded between entry hosts.
const maxForwardedBytes = 4 << 20

// serveTicket runs the call if this incarnation issued the ticket, and
// otherwise forwards it to the entry host that did.
func (c *callTask) serveTicket(ctx context.Context) Answer {
	ticket, fault := c.dependencies.Issuer.Verify(c.start.Call.Key, c.start.Call.Organisation.ID)
	if fault != nil {
		return c.refuse(fault)
	}
	identity := c.dependencies.Issuer.Identity()
	switch {
	case ticket.Host != identity.Host:
		return c.forwardToIssuer(ctx, ticket)
	case ticket.Incarnation != identity.Incarnation:
		return c.refuse(tickets.HostGoneFault(ticket.Host, "it was restarted"))
	}
	return c.serveWithStore(ctx, &ticketStore{
		registry: c.dependencies.Tickets, ticket: ticket, bodyHash: c.bodyHash(), callEnd: c.start.Call.Deadline.Add(callEndGrace),
	})
}

// forwardToIssuer asks the issuing entry host to run the call.
func (c *callTask) forwardToIssuer(ctx context.Context, ticket tickets.Ticket) Answer {
	call := c.start.Call
	ctx, cancel := context.WithDeadline(ctx, call.Deadline.Add(minBodyTimeout))
	defer cancel()
	c.recordEvent(eventcode.TicketForwarded, admission.Assignment{}, "", "the ticket names entry host "+string(ticket.Host))
	result := new(tickets.ForwardedAnswer)
	failure, err := task.Call(ctx, c.dependencies.Peers, func(reply task.Reply[error]) peers.Message {
		return peers.Invoke{
			Context: ctx, Host: ticket.Host, Method: tickets.MethodRedeem, Result: result, Reply: reply,
			Arguments: tickets.ForwardedCall{
				ID: call.ID, Service: call.Service, Organisation: call.Organisation, Remaining: call.Deadline.Sub(c.clock.Now()),
				Fingerprint: call.Fingerprint, Method: call.Method, Path: call.Path, Header: call.Header, Body: call.BufferedBody, Key: call.Key,
			},
		}
	})
	if err == nil {
		err = failure
	}
	if err != nil {
		return c.refuse(tickets.HostGoneFault(ticket.Host, err.Error()))
	}
	if result.Fault != nil {
		return c.refuse(result.Fault)
	}
	return Answer{Head: backends.ExchangeHead{
		Status: result.Status, Header: result.Header, Body: io.NopCloser(bytes.NewReader(result.Body)),
	}}
}

// ticketStore stores the outcome of a ticket in the memory of this incarnation.
type ticketStore struct {
	registry task.Mailbox[tickets.Message]
	ticket   tickets.Ticket
	bodyHash string
	callEnd  time.Time
}

func (s *ticketStore) acquire(ctx context.Context) (claims.AcquireResult, error) {
	return task.Call(ctx, s.registry, func(reply task.Reply[claims.AcquireResult]) tickets.Message {
		return tickets.Redeem{Ticket: s.ticket, BodyHash: s.bodyHash, Until: s.callEnd, Reply: reply}
	})
}

func (s *ticketStore) recordOutcome(ctx context.Context, state claims.State, answer *claims.Answer) (bool, error) {
	return task.Call(ctx, s.registry, func(reply task.Reply[bool]) tickets.Message {
		return tickets.RecordOutcome{ID: s.ticket.ID, State: state, Answer: answer, Reply: reply}
	})
}

// Redeemer serves net/rpc calls from other entry hosts. Its methods run in the
// goroutine of a connection and communicate with the manager by messages only.
type Redeemer struct {
	commands task.Mailbox[Command]
	issuer   tickets.Issuer
	clock    clockwork.Clock
}

// NewRedeemer returns the net/rpc receiver for forwarded calls.
func NewRedeemer(commands task.Mailbox[Command], issuer tickets.Issuer, clock clockwork.Clock) *Redeemer {
	return &Redeemer{commands: commands, issuer: issuer, clock: clock}
}

// Redeem runs a forwarded call whose ticket this incarnation issued.
func (r *Redeemer) Redeem(forwarded tickets.ForwardedCall, answer *tickets.ForwardedAnswer) error {
	ticket, fault := r.issuer.Verify(forwarded.Key, forwarded.Organisation.ID)
	if fault == nil && (claims.Identity{Host: ticket.Host, Incarnation: ticket.Incarnation}) != r.issuer.Identity() {
		fault = tickets.HostGoneFault(ticket.Host, "it was restarted")
	}
	if fault != nil {
		answer.Fault = fault
		return nil
	}
	call := Call{
		ID: forwarded.ID, Service: forwarded.Service, Organisation: forwarded.Organisation,
		Deadline: r.clock.Now().Add(forwarded.Remaining), Fingerprint: forwarded.Fingerprint,
		Method: forwarded.Method, Path: forwarded.Path, Header: forwarded.Header,
		ContentLength: int64(len(forwarded.Body)), BufferedBody: forwarded.Body, Key: forwarded.Key,
	}
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline.Add(callEndGrace))
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
	return readForwardedAnswer(result.Head, answer)
}

func readForwardedAnswer(head backends.ExchangeHead, answer *tickets.ForwardedAnswer) error {
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
