package peering

import (
	"context"
	"errors"
	"fmt"
	"net/rpc"
	"strings"
	"time"

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

// PromptDeath receives the parts of a prompt under which another host saw a server die.
func (s *Suspects) PromptDeath(death suspects.PromptDeath, _ *Nothing) error {
	return s.mailbox.TrySend(death)
}

// PromptStop receives a signature that another host has stopped.
func (s *Suspects) PromptStop(stopped suspects.PromptStop, _ *Nothing) error {
	return s.mailbox.TrySend(stopped)
}

// PromptAnswered receives stopped parts that a server answered elsewhere.
func (s *Suspects) PromptAnswered(answered suspects.PromptAnswered, _ *Nothing) error {
	return s.mailbox.TrySend(answered)
}

// Answered sets ages to the ages of the last answers to requests with the parts, of
// those that this host knows.
func (s *Suspects) Answered(parts []suspects.Part, ages *map[suspects.Part]time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	known, err := task.Call(ctx, s.mailbox, func(reply task.Reply[map[suspects.Part]time.Duration]) suspects.Message {
		return suspects.AskAnswered{Parts: parts, Reply: reply}
	})
	*ages = known
	return err
}

// Deaths sets reports to those that this host knows of deaths of a service.
func (s *Suspects) Deaths(service string, reports *[]suspects.PromptDeath) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	known, err := task.Call(ctx, s.mailbox, func(reply task.Reply[[]suspects.PromptDeath]) suspects.Message {
		return suspects.AskDeaths{Service: service, Reply: reply}
	})
	*reports = known
	return err
}

// Stops sets known to the signatures that this host knows to be stopped.
func (s *Suspects) Stops(_ Nothing, known *suspects.KnownStops) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	stops, err := task.Call(ctx, s.mailbox, func(reply task.Reply[suspects.KnownStops]) suspects.Message {
		return suspects.AskStops{Reply: reply}
	})
	*known = stops
	return err
}

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

// SendPromptDeath implements suspects.Peers.
func (SuspectReporter) SendPromptDeath(ctx context.Context, host string, death suspects.PromptDeath) error {
	return callSuspects(ctx, host, "PromptDeath", death, &Nothing{})
}

// SendPromptStop implements suspects.Peers.
func (SuspectReporter) SendPromptStop(ctx context.Context, host string, stopped suspects.PromptStop) error {
	return callSuspects(ctx, host, "PromptStop", stopped, &Nothing{})
}

// SendPromptAnswered implements suspects.Peers.
func (SuspectReporter) SendPromptAnswered(ctx context.Context, host string, answered suspects.PromptAnswered) error {
	return callSuspects(ctx, host, "PromptAnswered", answered, &Nothing{})
}

// Answered implements suspects.Peers.
func (SuspectReporter) Answered(ctx context.Context, host string, parts []suspects.Part) (map[suspects.Part]time.Duration, error) {
	var ages map[suspects.Part]time.Duration
	err := callSuspects(ctx, host, "Answered", parts, &ages)
	return ages, err
}

// Deaths implements suspects.Peers.
func (SuspectReporter) Deaths(ctx context.Context, host, service string) ([]suspects.PromptDeath, error) {
	var reports []suspects.PromptDeath
	err := callSuspects(ctx, host, "Deaths", service, &reports)
	return reports, err
}

// Stops implements suspects.Peers.
func (SuspectReporter) Stops(ctx context.Context, host string) (suspects.KnownStops, error) {
	var known suspects.KnownStops
	err := callSuspects(ctx, host, "Stops", Nothing{}, &known)
	return known, err
}

// unknownMethod begins the error that net/rpc returns for a method that the peer's build
// does not have.
const unknownMethod = "rpc: can't find "

// callSuspects makes one call. A peer of an older build leads to
// suspects.ErrNotSupported.
func callSuspects(ctx context.Context, host, method string, arguments, answer any) error {
	err := call(ctx, host, suspectsService+"."+method, arguments, answer)
	var refused rpc.ServerError
	if errors.As(err, &refused) && strings.HasPrefix(string(refused), unknownMethod) {
		return fmt.Errorf("%w: %w", suspects.ErrNotSupported, err)
	}
	return err
}
