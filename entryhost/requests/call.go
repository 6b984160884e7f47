package requests

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/entryhost/requests/claims"
	"github.com/lentilpoint/lentilpoint/entryhost/requests/tickets"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// replyGrace bounds the wait for an exchange task after its context ended. Its
// reply tells whether any byte was sent.
const replyGrace = time.Second

// errHeadLate ends an exchange whose answer did not begin in time.
var errHeadLate = Error.New("the answer did not begin before the deadline")

// CallParts is what call tasks use besides the dispatcher.
type CallParts struct {
	fx.In

	Policy   CallPolicy
	Claims   task.Mailbox[claims.Message]
	Tickets  task.Mailbox[tickets.Message]
	Issuer   tickets.Issuer
	Peers    task.Mailbox[peers.Message]
	Recorder events.Recorder
	Metrics  *metrics.Set
}

// callTask owns one call to a plain service until its answer begins, or until
// the outcome of a keyed call is recorded.
type callTask struct {
	start      StartCall
	dispatches task.Mailbox[admission.Dispatch]
	parts      CallParts
	clock      clockwork.Clock
	logger     *slog.Logger

	body    *touchedReader
	exclude []model.ServerID
	// mayHaveRun tells that an attempt may have reached a server.
	mayHaveRun bool
}

// touchedReader records whether the body was read, after which the call cannot
// be sent again. The mark is atomic, because net/http may still read the body
// when it has already reported an error.
type touchedReader struct {
	body    io.Reader
	touched atomic.Bool
}

// Read implements io.Reader.
func (r *touchedReader) Read(buffer []byte) (int, error) {
	r.touched.Store(true)
	return r.body.Read(buffer)
}

// run serves the call. A keyed call goes on when its caller is gone, until the
// lifetime of the manager ends, so that a repeat finds its recorded answer.
func (c *callTask) run(lifetime context.Context) {
	if c.start.Call.Keyed() {
		c.start.Reply.Send(c.serveKeyed(lifetime))
		return
	}
	c.body = &touchedReader{body: c.start.Call.Body}
	head, fault := c.attempts(c.start.Context)
	c.start.Reply.Send(Answer{Head: head, Fault: fault})
}

// attempts dispatches the call until it is answered or may not be sent again.
func (c *callTask) attempts(ctx context.Context) (backends.ExchangeHead, *model.Fault) {
	for {
		assignment, fault := c.dispatch(ctx)
		if fault != nil {
			return backends.ExchangeHead{}, restateCall(fault, c.mayHaveRun)
		}
		head := c.exchange(ctx, assignment)
		if head.Err == nil {
			return head, nil
		}
		c.mayHaveRun = c.mayHaveRun || head.Err.Kind != backends.FailureConnect
		c.exclude = append(c.exclude, assignment.Server)
		c.logger.Info("call failed", eventcode.CallFailed.Attr(), "request", c.start.Call.ID,
			"server", assignment.Server, "cause", head.Err.Error())
		failed := failedAttempt{failure: head.Err, resendable: c.resendable(), attempts: len(c.exclude)}
		if ctx.Err() != nil || !mayCallAgain(c.parts.Policy, c.start.Call, failed) {
			fault := callFault(head.Err, c.mayHaveRun)
			c.note(endCode(fault), assignment, fault.Reason, head.Err.Error())
			return backends.ExchangeHead{}, fault
		}
		c.count("lentilpoint_call_retries_total", string(head.Err.Kind))
		c.note(eventcode.CallRetried, assignment, model.ReasonBackendFailed, head.Err.Error())
	}
}

// resendable reports whether the body can be sent again from its start.
func (c *callTask) resendable() bool {
	return c.body == nil || !c.body.touched.Load() || c.start.Call.ContentLength == 0
}

// nextBody returns the body of the next attempt.
func (c *callTask) nextBody() io.Reader {
	if c.body != nil {
		return c.body
	}
	return bytes.NewReader(c.start.Call.Content)
}

func (c *callTask) dispatch(ctx context.Context) (admission.Assignment, *model.Fault) {
	call := c.start.Call
	waitContext, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	result, err := task.Call(waitContext, c.dispatches, func(reply task.Reply[admission.DispatchResult]) admission.Dispatch {
		return admission.Dispatch{
			Request: admission.Request{
				ID:           call.ID,
				Service:      call.Service,
				Organisation: call.Organisation.ID,
				Weight:       call.Organisation.Weight,
				MaxOpen:      call.Organisation.MaxOpen,
				Deadline:     call.Deadline,
				Fingerprint:  call.Fingerprint,
				Route:        call.Method,
				Resume:       len(c.exclude) > 0,
				Exclude:      c.exclude,
				Cost:         1,
			},
			Reply:     reply,
			Cancelled: ctx.Done(),
		}
	})
	if err != nil {
		return admission.Assignment{}, model.NotRun(model.KindDeadline, model.ReasonDeadlinePassed,
			"the deadline passed before a server was free", "send the request again with a later deadline")
	}
	return result.Assignment, result.Fault
}

// exchange sends the call to the assigned server and waits for the head of the
// answer until the deadline. The answer's body may take longer.
func (c *callTask) exchange(ctx context.Context, assignment admission.Assignment) backends.ExchangeHead {
	started := c.clock.Now()
	exchangeContext, cancel := context.WithCancelCause(ctx)
	limit := headTimeout(c.start.Call.Repeatable, c.start.Call.Deadline.Sub(started))
	timer := c.clock.AfterFunc(limit, func() { cancel(errHeadLate) })
	head := c.await(exchangeContext, assignment)
	timer.Stop()
	if head.Err == nil {
		head.Body = c.watch(head.Body, cancel, assignment)
	} else {
		c.checkSilence(exchangeContext, assignment, head.Err, c.clock.Since(started))
		cancel(nil)
	}
	outcome := admission.OutcomeDone
	if head.Err != nil {
		outcome = outcomeOf(head.Err.Kind)
	}
	call := c.start.Call
	sendDone(assignment, admission.Done{
		ID: assignment.ID, Server: assignment.Server, Version: assignment.Version,
		Outcome: outcome, Duration: c.clock.Since(started),
		Request: admission.Request{Organisation: call.Organisation.ID, Fingerprint: call.Fingerprint, Route: call.Method},
	})
	return head
}

// await opens the exchange and waits for its head. After the context ended it
// still waits for the exchange task, which knows whether a byte was sent.
func (c *callTask) await(ctx context.Context, assignment admission.Assignment) backends.ExchangeHead {
	call := c.start.Call
	replies := make(chan backends.ExchangeHead, 1)
	open := backends.OpenExchange{
		Context: ctx, Method: call.Method, Path: call.Path, Header: call.Header, Body: c.nextBody(),
		ContentLength: call.ContentLength, Repeatable: call.Repeatable, Reply: replies,
	}
	if err := assignment.Commands.Send(ctx, open); err != nil {
		return failedHead(backends.FailureConnect, "the server task took no call: "+err.Error())
	}
	var head backends.ExchangeHead
	select {
	case head = <-replies:
	case <-ctx.Done():
		select {
		case head = <-replies:
		case <-c.clock.After(replyGrace):
			return failedHead(backends.FailureBroken, context.Cause(ctx).Error())
		}
	}
	if head.Err == nil && ctx.Err() != nil {
		_ = head.Body.Close()
		return failedHead(backends.FailureBroken, context.Cause(ctx).Error())
	}
	return head
}

func failedHead(kind backends.FailureKind, message string) backends.ExchangeHead {
	return backends.ExchangeHead{Err: &backends.StreamError{Kind: kind, Message: message}}
}

// checkSilence turns the loss of an exchange at its time limit into silence and
// makes the server task replace its transport.
func (c *callTask) checkSilence(ctx context.Context, assignment admission.Assignment, failure *backends.StreamError, waited time.Duration) {
	if !errors.Is(context.Cause(ctx), errHeadLate) || failure.Kind != backends.FailureBroken {
		return
	}
	failure.Kind = backends.FailureSilent
	if waited >= leastSilence {
		_ = assignment.Commands.TrySend(backends.ReportSilence{Generation: assignment.Generation})
	}
}

// note records a decision about the call.
func (c *callTask) note(code eventcode.Code, assignment admission.Assignment, reason model.Reason, cause string) {
	call := c.start.Call
	c.parts.Recorder.Record(events.Event{
		Code: code, Request: call.ID, Organisation: call.Organisation.ID, Service: call.Service,
		Server: assignment.Server, Version: assignment.Version, Attempt: len(c.exclude), Reason: reason, Cause: cause,
	})
}

func (c *callTask) count(name, reason string) {
	c.parts.Metrics.GetOrCreateCounter(name + `{reason="` + reason + `"}`).Inc()
}
