package task

import (
	"context"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("task")

// ErrMailboxFull reports that a mailbox was full and the message was not sent.
var ErrMailboxFull = Error.New("mailbox is full; retry after a pause or reduce the load on this entry host")

// Mailbox is a bounded queue of messages that exactly one task reads.
type Mailbox[M any] struct {
	messages chan M
}

// NewMailbox returns a mailbox that holds at most size messages.
func NewMailbox[M any](size int) Mailbox[M] {
	return Mailbox[M]{messages: make(chan M, size)}
}

// TrySend queues the message without blocking, or returns ErrMailboxFull.
func (m Mailbox[M]) TrySend(message M) error {
	select {
	case m.messages <- message:
		return nil
	default:
		return ErrMailboxFull
	}
}

// Send queues the message. It blocks while the mailbox is full, and returns the
// cause of the context if that ends first.
func (m Mailbox[M]) Send(ctx context.Context, message M) error {
	select {
	case m.messages <- message:
		return nil
	case <-ctx.Done():
		return Error.Wrap(context.Cause(ctx))
	}
}

// C returns the channel that the owning task receives from.
func (m Mailbox[M]) C() <-chan M {
	return m.messages
}

// Len returns the number of queued messages.
func (m Mailbox[M]) Len() int {
	return len(m.messages)
}

// Reply receives the answer of a task to one call. It is a channel of capacity 1,
// so that answering never blocks, even if the caller no longer waits. A nil Reply
// drops the answer.
type Reply[R any] chan<- R

// Send answers the call. A second answer is dropped.
func (r Reply[R]) Send(result R) {
	select {
	case r <- result:
	default:
	}
}

// Call sends the message made by build and waits for its reply until the
// context ends. Callers pass a context with a deadline.
func Call[M, R any](ctx context.Context, mailbox Mailbox[M], build func(Reply[R]) M) (R, error) {
	var zero R
	reply := make(chan R, 1)
	if err := mailbox.Send(ctx, build(reply)); err != nil {
		return zero, err
	}
	select {
	case result := <-reply:
		return result, nil
	case <-ctx.Done():
		return zero, Error.Wrap(context.Cause(ctx))
	}
}
