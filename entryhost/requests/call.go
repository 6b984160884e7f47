package requests

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// callTask owns one call to a plain service until its answer begins.
type callTask struct {
	start      StartCall
	dispatches task.Mailbox[admission.Dispatch]
	clock      clockwork.Clock
	logger     *slog.Logger

	exclude []model.ServerID
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

func (c *callTask) run() {
	c.start.Reply.Send(c.serve(c.start.Context))
}

func (c *callTask) serve(ctx context.Context) Answer {
	body := &touchedReader{body: c.start.Call.Body}
	for {
		assignment, fault := c.dispatch(ctx)
		if fault != nil {
			return Answer{Fault: fault}
		}
		head := c.exchange(ctx, assignment, body)
		if head.Err == nil {
			return Answer{Head: head}
		}
		c.logger.Info("call failed", eventcode.CallFailed.Attr(), "request", c.start.Call.ID,
			"server", assignment.Server, "cause", head.Err.Error())
		if ctx.Err() != nil || !mayCallAgain(c.start.Call, head.Err, !body.touched.Load() || c.start.Call.ContentLength == 0) {
			return Answer{Fault: callFault(head.Err)}
		}
		c.exclude = append(c.exclude, assignment.Server)
		if len(c.exclude) >= maxAttempts {
			return Answer{Fault: callFault(head.Err)}
		}
	}
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

func (c *callTask) exchange(ctx context.Context, assignment admission.Assignment, body io.Reader) backends.ExchangeHead {
	call := c.start.Call
	started := c.clock.Now()
	// The exchange goes on past the caller's deadline only as long as ctx
	// lives: the answer's body is read by the caller task.
	head, err := task.Call(ctx, assignment.Commands, func(reply task.Reply[backends.ExchangeHead]) backends.Command {
		return backends.OpenExchange{
			Context:       ctx,
			Method:        call.Method,
			Path:          call.Path,
			Header:        call.Header,
			Body:          body,
			ContentLength: call.ContentLength,
			Repeatable:    call.Repeatable,
			Reply:         reply,
		}
	})
	if err != nil {
		head.Err = &backends.StreamError{Kind: backends.FailureBroken, Message: err.Error()}
	}
	outcome := admission.OutcomeDone
	if head.Err != nil {
		outcome = outcomeOf(head.Err.Kind)
	}
	done := admission.Done{
		ID: assignment.ID, Server: assignment.Server, Version: assignment.Version,
		Outcome: outcome, Duration: c.clock.Since(started),
	}
	sendDone(assignment, done)
	return head
}
