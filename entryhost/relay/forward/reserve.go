package forward

import (
	"context"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/series"
	"github.com/lentilpoint/lentilpoint/eventcode"
)

// plannedAttempt is an attempt that has a server and has not started. Its server is
// nil if the request was refused.
type plannedAttempt struct {
	assignment dispatch.Assignment
	attempt    *exchange.Attempt
}

// nextAttempt returns the reserved attempt if there is one, else an acquired one.
func (r *requestTask) nextAttempt(acquire func() (plannedAttempt, error)) (plannedAttempt, error) {
	if r.reserved != nil {
		next := *r.reserved
		r.reserved = nil
		return next, nil
	}
	return acquire()
}

// maxReservations is the number of servers that are tried in a row for the attempt that
// replaces a silent one. When many servers are silent at once, a connection to each takes
// up to 120 ms, so that all tries end within a second.
const maxReservations = maxUnsent

// reserve acquires the attempt that replaces a silent one and opens its connection, and
// reports whether there is one. The silent attempt is still open, so that it can go on if
// there is none, or if its server has sent something meanwhile.
func (r *requestTask) reserve(ctx context.Context, running *runningAttempt, acquire func() (plannedAttempt, error)) bool {
	counts, avoided := r.counts, r.avoid[running.note.DataCentre]
	r.count(running, dispatch.OutcomeSilent)
	r.exclude[running.note.Server] = true
	for range maxReservations {
		next, err := acquire()
		if err != nil || next.assignment.Server == nil {
			break
		}
		connectErr := next.assignment.Connection.Connect(ctx)
		if connectErr == nil && len(running.events) == 0 {
			r.reserved = &next
			r.silent = append(r.silent, running.note.Server)
			return true
		}
		if connectErr == nil || ctx.Err() != nil {
			r.returnServer(next.assignment)
			break
		}
		r.Logger.Info("server for the attempt that replaces a silent one cannot be reached", eventcode.SilentServerAwaited.Attr(), "request", r.request.ID,
			"server", next.assignment.Server.ID, "silent", running.note.Server, "error", connectErr)
		r.releaseUnreachable(next.assignment)
		if len(running.events) > 0 {
			break
		}
	}
	r.counts, r.avoid[running.note.DataCentre] = counts, avoided
	delete(r.exclude, running.note.Server)
	return false
}

// allowSilentServers lets the next attempt use the servers that were given up for their silence,
// and reports whether there are any. They may be the only ones left if those that replaced them
// failed, and silence is often shorter than a stream.
func (r *requestTask) allowSilentServers() bool {
	if len(r.silent) == 0 {
		return false
	}
	for _, server := range r.silent {
		delete(r.exclude, server)
	}
	r.Logger.Info("no other server is assigned; those given up for their silence are tried again", eventcode.SilentServerAwaited.Attr(),
		"request", r.request.ID, "servers", r.silent)
	r.silent = nil
	return true
}

// logSilenceWait logs and counts that the request stays with a silent server because
// no other attempt is possible. It does nothing if the server is not silent any more.
func (r *requestTask) logSilenceWait(running *runningAttempt, cause error) {
	if len(running.events) > 0 {
		return
	}
	r.Metrics.GetOrCreateCounter(series.Name("lentilpoint_relay_silence_waits_total", "service", r.request.Service.Name)).Inc()
	r.Logger.Info("request waits for a silent server", eventcode.SilentServerAwaited.Attr(), "request", r.request.ID, "server", running.note.Server,
		"cause", cause, "runs", r.counts.runs, "max_attempts", r.request.Route.MaxAttempts, "resumable", r.request.Route.Resumable)
}
