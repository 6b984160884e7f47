package tickets

import (
	"context"

	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/task"
)

// mailboxSize bounds the messages that wait for the book. A full mailbox makes
// the call task wait.
const mailboxSize = 1024

// Book is the task that owns the redeemed tickets of this incarnation.
type Book struct {
	messages task.Mailbox[Message]
	clock    clockwork.Clock
	book     *book
}

// NewBook returns the book task.
func NewBook(clock clockwork.Clock) *Book {
	return &Book{messages: task.NewMailbox[Message](mailboxSize), clock: clock, book: newBook()}
}

// Messages is where call tasks redeem tickets and report outcomes.
func (b *Book) Messages() task.Mailbox[Message] { return b.messages }

// String names the task in the logs.
func (b *Book) String() string { return "tickets" }

// Serve answers until the context ends. After a panic the supervisor calls it
// again with the same entries, because forgetting one could run a ticket twice.
func (b *Book) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-b.messages.C():
			b.handle(message)
		}
	}
}

func (b *Book) handle(message Message) {
	switch message := message.(type) {
	case Redeem:
		message.Reply.Send(b.book.redeem(message.Ticket, message.BodyHash, message.Until, b.clock.Now()))
	case Finish:
		message.Reply.Send(b.book.finish(message.ID, message.State, message.Answer))
	}
}
