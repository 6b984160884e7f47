package forward

import (
	"context"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/suspects"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/task"
)

// stopped reports whether requests like this one are stopped because servers
// died under them. Without an answer the request runs.
func (r *run) stopped(ctx context.Context) bool {
	stopped, err := task.Call(ctx, r.Suspects, func(reply task.Reply[bool]) suspects.Message {
		return suspects.Ask{Fingerprint: r.fingerprint, Reply: reply}
	})
	if err != nil && ctx.Err() == nil {
		r.Logger.Warn("suspects not asked", eventcode.SuspectNotReported.Attr(), "request", r.request.ID, "error", err)
	}
	return stopped
}

// reportSuspect tells what the attempt showed of the request. One that broke off
// before its first answer may have killed its server; content that crashes
// servers does so when they begin to run it.
func (r *run) reportSuspect(l *live, outcome dispatch.Outcome) {
	var message suspects.Message
	switch {
	case outcome == dispatch.OutcomeSuccess:
		message = suspects.Finished{Fingerprint: r.fingerprint}
	case outcome == dispatch.OutcomeBroken && l.note.Events == 0:
		message = suspects.Broke{Fingerprint: r.fingerprint, Request: r.request.ID, Server: l.note.Server, Address: l.assignment.Server.Address}
	default:
		return
	}
	if r.Suspects.TrySend(message) != nil {
		r.Metrics.GetOrCreateCounter("lentilpoint_relay_suspect_reports_dropped_total").Inc()
	}
}
