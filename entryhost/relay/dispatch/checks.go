package dispatch

import (
	"context"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/eventcode"
)

// handleCheck probes the server for its runs. Checks that arrive while a probe of
// the server is running share its result.
func (t *Task) handleCheck(ctx context.Context, message Check) {
	state, found := t.servers[message.Server]
	if !found {
		message.Reply.Send(CheckResult{})
		return
	}
	running := state.pendingChecks != nil
	state.pendingChecks = append(state.pendingChecks, message.Reply)
	if running {
		return
	}
	server, now := state.server, t.Clock.Now()
	go func() {
		probeContext, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		report, err := t.Prober.Probe(probeContext, server.Address)
		if err != nil {
			t.Logger.Info("probe of a server's runs failed", eventcode.ServerSilent.Attr(), "server", server.ID, "error", err)
		}
		_ = t.mailbox.Send(ctx, checkDone{server: server.ID, result: CheckResult{Alive: err == nil, Runs: report.Runs, SentAt: now}})
	}()
}

func (t *Task) finishCheck(message checkDone) {
	state, found := t.servers[message.server]
	if !found {
		return
	}
	message.result.IdleServer = t.hasIdleServer(state.server)
	for _, reply := range state.pendingChecks {
		reply.Send(message.result)
	}
	state.pendingChecks = nil
	if !message.result.Alive {
		t.recordOutcome(state, OutcomeSilent)
	}
	t.forgetUnused(message.server)
}

// hasIdleServer reports whether another usable server of the service reads no prompt,
// as far as this host knows.
func (t *Task) hasIdleServer(server *routing.Server) bool {
	for _, c := range reachable(nil, usable(nil, t.candidates(server.Service, t.Clock.Now()))) {
		if c.server.ID != server.ID && !c.paused && !c.recovering && c.reading() == 0 {
			return true
		}
	}
	return false
}
