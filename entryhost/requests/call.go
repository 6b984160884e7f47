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

// exchangeReplyTimeout bounds the wait for the reply of an exchange task after
// its context ended. The reply says whether any byte was sent.
const exchangeReplyTimeout = time.Second

// errHeadTimeout cancels an exchange whose response head did not arrive in
// time.
var errHeadTimeout = Error.New("the answer did not begin before the deadline")

// CallDependencies are the dependencies of call tasks besides the dispatcher.
type CallDependencies struct {
	fx.In

	Policy   CallPolicy
	Claims   task.Mailbox[claims.Message]
	Tickets  task.Mailbox[tickets.Message]
	Issuer   tickets.Issuer
	Peers    task.Mailbox[peers.Message]
	Recorder events.Recorder
	Metrics  *metrics.Set
}

// callTask owns one call to a plain service until its response begins or, if it
// is keyed, until its outcome is recorded.
type callTask struct {
	start        StartCall
	dispatches   task.Mailbox[admission.Dispatch]
	dependencies CallDependencies
	clock        clockwork.Clock
	logger       *slog.Logger

	body          *trackedReader
	failedServers []model.ServerID
	// mayHaveRun is set once an attempt may have reached a server.
	mayHaveRun bool
}

// trackedReader records whether reading the body has started, after which the
// call cannot be sent again. The flag is atomic, because net/http may still
// read the body after it has reported an error.
type trackedReader struct {
	body        io.Reader
	readStarted atomic.Bool
}

// Read implements io.Reader.
func (r *trackedReader) Read(buffer []byte) (int, error) {
	r.readStarted.Store(true)
	return r.body.Read(buffer)
}

// run executes the call. A keyed call continues after its caller has
// disconnected, until the manager stops, so that a repeated request finds the
// recorded answer.
func (c *callTask) run(lifetime context.Context) {
	if c.start.Call.Keyed() {
		c.start.Reply.Send(c.serveKeyed(lifetime))
		return
	}
	c.body = &trackedReader{body: c.start.Call.Body}
	head, fault := c.runAttempts(c.start.Context)
	c.start.Reply.Send(Answer{Head: head, Fault: fault})
}

// runAttempts dispatches the call until it is answered or must not be sent
// again.
func (c *callTask) runAttempts(ctx context.Context) (backends.ExchangeHead, *model.Fault) {
	for {
		assignment, fault := c.dispatch(ctx)
		if fault != nil {
			return backends.ExchangeHead{}, correctRefusal(fault, c.mayHaveRun)
		}
		head := c.exchange(ctx, assignment)
		if head.Err == nil {
			return head, nil
		}
		c.mayHaveRun = c.mayHaveRun || head.Err.Kind != backends.FailureConnect
		c.failedServers = append(c.failedServers, assignment.Server)
		c.logger.Info("call failed", eventcode.CallFailed.Attr(), "request", c.start.Call.ID,
			"server", assignment.Server, "cause", head.Err.Error())
		failed := failedAttempt{failure: head.Err, resendable: c.resendable(), attempts: len(c.failedServers)}
		if ctx.Err() != nil || !mayRetryCall(c.dependencies.Policy, c.start.Call, failed) {
			fault := callFault(head.Err, c.mayHaveRun)
			c.recordEvent(callEndEvent(fault), assignment, fault.Reason, head.Err.Error())
			return backends.ExchangeHead{}, fault
		}
		c.incrementCounter("lentilpoint_call_retries_total", string(head.Err.Kind))
		c.recordEvent(eventcode.CallRetried, assignment, model.ReasonBackendFailed, head.Err.Error())
	}
}

// resendable reports whether the body can be sent again from its start.
func (c *callTask) resendable() bool {
	return c.body == nil || !c.body.readStarted.Load() || c.start.Call.ContentLength == 0
}

// nextBody returns the body of the next attempt.
func (c *callTask) nextBody() io.Reader {
	if c.body != nil {
		return c.body
	}
	return bytes.NewReader(c.start.Call.BufferedBody)
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
				Resume:       len(c.failedServers) > 0,
				Exclude:      c.failedServers,
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

// exchange sends the call to the assigned server and waits until the deadline
// for the response head. The response body may take longer.
func (c *callTask) exchange(ctx context.Context, assignment admission.Assignment) backends.ExchangeHead {
	started := c.clock.Now()
	exchangeContext, cancel := context.WithCancelCause(ctx)
	timeout := headTimeout(c.start.Call.Repeatable, c.start.Call.Deadline.Sub(started))
	timer := c.clock.AfterFunc(timeout, func() { cancel(errHeadTimeout) })
	head := c.awaitHead(exchangeContext, assignment)
	timer.Stop()
	if head.Err == nil {
		head.Body = c.watchBody(head.Body, cancel, assignment)
	} else {
		c.reportSilence(exchangeContext, assignment, head.Err, c.clock.Since(started))
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

// awaitHead opens the exchange and waits for the response head. After the
// context has ended it still waits for the exchange task, which knows whether a
// byte was sent.
func (c *callTask) awaitHead(ctx context.Context, assignment admission.Assignment) backends.ExchangeHead {
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
		case <-c.clock.After(exchangeReplyTimeout):
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

// reportSilence classifies an exchange that was cancelled by errHeadTimeout as
// silent and, unless the wait was very short, makes the server task replace its
// transport.
func (c *callTask) reportSilence(ctx context.Context, assignment admission.Assignment, failure *backends.StreamError, waited time.Duration) {
	if !errors.Is(context.Cause(ctx), errHeadTimeout) || failure.Kind != backends.FailureBroken {
		return
	}
	failure.Kind = backends.FailureSilent
	if waited >= minTransportSilence {
		_ = assignment.Commands.TrySend(backends.ReportSilence{Generation: assignment.Generation})
	}
}

// recordEvent records an event of the call.
func (c *callTask) recordEvent(code eventcode.Code, assignment admission.Assignment, reason model.Reason, cause string) {
	call := c.start.Call
	c.dependencies.Recorder.Record(events.Event{
		Code: code, Request: call.ID, Organisation: call.Organisation.ID, Service: call.Service,
		Server: assignment.Server, Version: assignment.Version, Attempt: len(c.failedServers), Reason: reason, Cause: cause,
	})
}

func (c *callTask) incrementCounter(name, reason string) {
	c.dependencies.Metrics.GetOrCreateCounter(name + `{reason="` + reason + `"}`).Inc()
}
