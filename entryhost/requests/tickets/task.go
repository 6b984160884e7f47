package tickets

import (
	"context"

	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/task"
)

// mailboxSize bounds the messages that wait for the registry. If the mailbox is
// full, the call task waits.
const mailboxSize = 1024

// Registry is the task that owns the redeemed tickets of this incarnation.
type Registry struct {
	messages task.Mailbox[Message]
	clock    clockwork.Clock
	registry *registry
}

// NewRegistry returns the registry task.
func NewRegistry(clock clockwork.Clock) *Registry {
	return &Registry{messages: task.NewMailbox[Message](mailboxSize), clock: clock, registry: newRegistry()}
}

// Messages returns the mailbox to which call tasks send tickets and outcomes.
func (r *Registry) Messages() task.Mailbox[Message] { return r.messages }

// String names the task in the logs.
func (r *Registry) String() string { return "tickets" }

// Serve handles messages until the context ends. After a panic the supervisor
// calls it again with the same entries, because losing one could run a ticket
// twice.
func (r *Registry) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-r.messages.C():
			r.handle(message)
		}
	}
}

func (r *Registry) handle(message Message) {
	switch message := message.(type) {
	case Redeem:
		message.Reply.Send(r.registry.redeem(message.Ticket, message.BodyHash, message.Until, r.clock.Now()))
	case RecordOutcome:
		message.Reply.Send(r.registry.recordOutcome(message.ID, message.State, message.Answer))
	}
}
