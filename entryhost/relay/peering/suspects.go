package peering

import (
	"context"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/suspects"
	"github.com/lentilpoint/lentilpoint/task"
)

// Suspects is the net/rpc service that receives peers' reports of requests that
// crash servers. Its replies are empty.
type Suspects struct {
	mailbox task.Mailbox[suspects.Message]
}

// Nothing is the empty reply of Suspects.
type Nothing struct{}

// Death receives a server death that another host observed.
func (s *Suspects) Death(death suspects.Death, _ *Nothing) error { return s.mailbox.TrySend(death) }

// Stop receives a fingerprint that another host has stopped.
func (s *Suspects) Stop(stop suspects.Stop, _ *Nothing) error { return s.mailbox.TrySend(stop) }

// Clear receives a fingerprint whose request ran to completion on another host.
func (s *Suspects) Clear(cleared suspects.Clear, _ *Nothing) error { return s.mailbox.TrySend(cleared) }

// SuspectReporter sends reports of suspects to other hosts. It implements suspects.Peers.
type SuspectReporter struct{}

// SendDeath implements suspects.Peers.
func (SuspectReporter) SendDeath(ctx context.Context, host string, death suspects.Death) error {
	return call(ctx, host, suspectsService+".Death", death, &Nothing{})
}

// SendStop implements suspects.Peers.
func (SuspectReporter) SendStop(ctx context.Context, host string, stop suspects.Stop) error {
	return call(ctx, host, suspectsService+".Stop", stop, &Nothing{})
}

// SendClear implements suspects.Peers.
func (SuspectReporter) SendClear(ctx context.Context, host string, cleared suspects.Clear) error {
	return call(ctx, host, suspectsService+".Clear", cleared, &Nothing{})
}
