package dispatch

import (
	"context"

	"github.com/lentilpoint/lentilpoint/eventcode"
)

// check asks the server about its runs, once for all who ask meanwhile.
func (t *Task) check(ctx context.Context, message Check) {
	state, found := t.servers[message.Server]
	if !found {
		message.Reply.Send(Verdict{})
		return
	}
	running := state.checks != nil
	state.checks = append(state.checks, message.Reply)
	if running {
		return
	}
	server, now := state.server, t.Clock.Now()
	go func() {
		probeContext, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		report, err := t.Prober.Probe(probeContext, server.Address)
		if err != nil {
			t.Logger.Info("server does not answer questions about its runs", eventcode.ServerSilent.Attr(), "server", server.ID, "error", err)
		}
		_ = t.mailbox.Send(ctx, probed{server: server.ID, verdict: Verdict{Alive: err == nil, Runs: report.Runs, At: now}})
	}()
}

func (t *Task) finishCheck(message probed) {
	state, found := t.servers[message.server]
	if !found {
		return
	}
	for _, reply := range state.checks {
		reply.Send(message.verdict)
	}
	state.checks = nil
	if !message.verdict.Alive {
		t.learn(state, OutcomeSilent)
	}
	if !t.known(message.server) {
		delete(t.servers, message.server)
	}
}
