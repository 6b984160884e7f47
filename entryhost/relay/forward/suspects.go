package forward

import (
	"context"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/suspects"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/task"
)

// isStopped reports whether requests with this fingerprint are stopped because
// servers died under them. If the suspects task does not answer, the request
// runs.
func (r *requestTask) isStopped(ctx context.Context) bool {
	stopped, err := task.Call(ctx, r.Suspects, func(reply task.Reply[bool]) suspects.Message {
		return suspects.CheckStopped{Fingerprint: r.fingerprint, Reply: reply}
	})
	if err != nil && ctx.Err() == nil {
		r.Logger.Warn("suspect check failed; the request runs unchecked", eventcode.SuspectNotReported.Attr(), "request", r.request.ID, "error", err)
	}
	return stopped
}

// reportSuspect reports a completed request, or an attempt that broke off before
// its first event or complete response. Such an attempt may have crashed the
// server, since content that crashes servers does so when they start to run it.
func (r *requestTask) reportSuspect(running *runningAttempt, outcome dispatch.Outcome) {
	var message suspects.Message
	switch {
	case outcome == dispatch.OutcomeSuccess:
		message = suspects.RequestCompleted{Fingerprint: r.fingerprint}
	case outcome == dispatch.OutcomeBroken && running.note.Events == 0:
		message = suspects.AttemptBroken{Fingerprint: r.fingerprint, Request: r.request.ID, Server: running.note.Server, Address: running.assignment.Server.Address}
	default:
		return
	}
	if r.Suspects.TrySend(message) != nil {
		r.Metrics.GetOrCreateCounter("lentilpoint_relay_suspect_reports_dropped_total").Inc()
	}
}
