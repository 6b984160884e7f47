package peering

import (
	"context"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/suspects"
	"github.com/lentilpoint/lentilpoint/task"
)

// Suspects is the net/rpc service that takes what peers tell of requests that
// crash servers. Its answers are empty.
type Suspects struct {
	mailbox task.Mailbox[suspects.Message]
}

// Nothing is an empty answer.
type Nothing struct{}

// Death takes a death that another host saw.
func (s *Suspects) Death(death suspects.Death, _ *Nothing) error { return s.mailbox.TrySend(death) }

// Stop takes a fingerprint that another host stopped.
func (s *Suspects) Stop(stop suspects.Stop, _ *Nothing) error { return s.mailbox.TrySend(stop) }

// Clear takes a fingerprint that ran to its end on another host.
func (s *Suspects) Clear(cleared suspects.Clear, _ *Nothing) error { return s.mailbox.TrySend(cleared) }

// Messenger tells other hosts of suspects. It implements suspects.Peers.
type Messenger struct{}

// SendDeath implements suspects.Peers.
func (Messenger) SendDeath(ctx context.Context, host string, death suspects.Death) error {
	return call(ctx, host, suspectsName+".Death", death, &Nothing{})
}

// SendStop implements suspects.Peers.
func (Messenger) SendStop(ctx context.Context, host string, stop suspects.Stop) error {
	return call(ctx, host, suspectsName+".Stop", stop, &Nothing{})
}

// SendClear implements suspects.Peers.
func (Messenger) SendClear(ctx context.Context, host string, cleared suspects.Clear) error {
	return call(ctx, host, suspectsName+".Clear", cleared, &Nothing{})
}
