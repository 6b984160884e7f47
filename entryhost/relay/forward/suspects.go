package forward

import (
	"context"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/suspects"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// errStopped is the cause of a context that ended because the request was stopped.
var errStopped = Error.New("servers died under requests like this one")

// watchStops makes the returned context end with errStopped when the prompt is stopped
// before a server has begun to answer it. The watch takes effect with the next
// isStopped.
func (r *requestTask) watchStops(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	r.watch = &suspects.Watch{
		Prompt: r.prompt, Request: r.request.ID, Ended: ctx.Done(), Stop: func() { cancel(errStopped) },
	}
	return ctx, func() { cancel(nil) }
}

// isStopped reports whether requests of this content or with parts of this prompt are
// stopped because servers died under them. If the suspects task does not answer, the
// request runs.
func (r *requestTask) isStopped(ctx context.Context) bool {
	stopped, err := task.Call(ctx, r.Suspects, func(reply task.Reply[bool]) suspects.Message {
		return suspects.CheckStopped{Fingerprint: r.fingerprint, Service: r.request.Service.Name, Prompt: r.prompt, Watch: r.watch, Reply: reply}
	})
	if err != nil && ctx.Err() == nil {
		r.Logger.Warn("suspect check failed; the request runs unchecked", eventcode.SuspectNotReported.Attr(), "request", r.request.ID, "error", err)
	}
	return stopped
}

// evidenceDelay is the time between the loss of a stream's server and the next attempt. It
// covers the check of whether the server died, 30 ms, and the messages between hosts about
// it, so that a request that crashes servers is stopped before it reaches another one. A
// prompt takes about a second to read.
const evidenceDelay = 60 * time.Millisecond

// stoppedAfterLoss reports whether the request is stopped after a server broke off. If no
// server has begun to answer it, it first waits for the evidence; a stop of its prompt ends
// the context.
func (r *requestTask) stoppedAfterLoss(ctx context.Context) bool {
	if r.watch != nil {
		select {
		case <-ctx.Done():
		case <-r.Clock.After(evidenceDelay):
		}
	}
	return r.isStopped(ctx)
}

// reportSuspect reports a completed request, or an attempt that broke off before
// its first event or complete response. Such an attempt may have crashed the
// server, since content that crashes servers does so when they start to run it, or a
// stream when they begin to answer it.
func (r *requestTask) reportSuspect(running *runningAttempt, outcome dispatch.Outcome) {
	var message suspects.Message
	ran := r.Clock.Since(running.started)
	switch {
	case r.request.Route.Kind != routing.Streaming && (outcome == dispatch.OutcomeSuccess || outcome == dispatch.OutcomeFailed):
		// A server that reports a failure has survived the request too.
		message = suspects.RequestCompleted{Fingerprint: r.fingerprint, Prompt: r.prompt}
	case outcome == dispatch.OutcomeSuccess:
		// The answer was reported when it began.
		message = suspects.RequestCompleted{Fingerprint: r.fingerprint}
	case outcome == dispatch.OutcomeBroken && running.note.Events == 0 && mayHaveCrashed(r.request.Route.Kind, running.note.Reused, ran):
		message = suspects.AttemptBroken{
			Fingerprint: r.fingerprint, Request: r.request.ID, Server: running.note.Server, Address: running.assignment.Server.Address,
			Service: r.request.Service.Name, Prompt: r.prompt, Ran: ran,
		}
	default:
		return
	}
	r.tellSuspects(message)
}

// reportAnswerBegun reports that a server has sent the first event of its answer.
func (r *requestTask) reportAnswerBegun() {
	r.tellSuspects(suspects.AnswerBegun{Prompt: r.prompt, Watch: r.watch})
	r.watch = nil
}

// tellSuspects sends a report. A report that finds a full mailbox is dropped and counted.
func (r *requestTask) tellSuspects(message suspects.Message) {
	if r.Suspects.TrySend(message) != nil {
		r.Metrics.GetOrCreateCounter("lentilpoint_relay_suspect_reports_dropped_total").Inc()
	}
}

// failStopped ends a stream that is stopped after an attempt reached a server.
func (r *requestTask) failStopped(s *streamState) {
	if s.headSent {
		r.cutStream(model.KindUnavailable, model.ReasonSuspectRequest, errStopped.Error())
		return
	}
	r.refuseStopped(true)
}

// refuseStopped answers a request that is stopped. mayHaveRun is set if an attempt
// reached a server.
func (r *requestTask) refuseStopped(mayHaveRun bool) {
	const message, remedy = "servers died each time this request, or one with the same parts of its prompt, ran", "do not send it again; keep its content for the developers of the service"
	if mayHaveRun {
		r.failMayHaveRun(model.KindUnavailable, model.ReasonSuspectRequest, message, remedy)
		return
	}
	r.refuseNotRun(model.ReasonSuspectRequest, message, remedy)
}
