package scenario

import (
	"context"
	"time"

	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
	"github.com/lentilpoint/lentilpoint/entryhost/requests/claims"
	"github.com/lentilpoint/lentilpoint/task"
)

// claimHistory records the claims and outcomes of all entry hosts of a run. It
// intercepts the messages between their call tasks and their claim writers.
type claimHistory struct {
	ctx      context.Context
	requests task.Mailbox[historyRequest]
}

// historyRequest is a message to the history. With snapshot it requests the
// operations so far; with appended it appends an operation and requests its
// number; otherwise it replaces the operation of that number.
type historyRequest struct {
	operation check.ClaimOperation
	number    int
	appended  chan<- int
	snapshot  chan<- []check.ClaimOperation
}

func newClaimHistory(ctx context.Context) *claimHistory {
	history := &claimHistory{ctx: ctx, requests: task.NewMailbox[historyRequest](1024)}
	go history.serve()
	return history
}

// serve owns the operations. An operation stays uncertain until its end is
// recorded.
func (h *claimHistory) serve() {
	var operations []check.ClaimOperation
	for {
		select {
		case <-h.ctx.Done():
			return
		case request := <-h.requests.C():
			switch {
			case request.snapshot != nil:
				request.snapshot <- append([]check.ClaimOperation(nil), operations...)
			case request.appended != nil:
				operations = append(operations, request.operation)
				request.appended <- len(operations) - 1
			default:
				operations[request.number] = request.operation
			}
		}
	}
}

// begin records an operation before it is sent and returns its number.
func (h *claimHistory) begin(operation check.ClaimOperation) int {
	appended := make(chan int, 1)
	if err := h.requests.Send(h.ctx, historyRequest{operation: operation, appended: appended}); err != nil {
		return 0
	}
	select {
	case number := <-appended:
		return number
	case <-h.ctx.Done():
		return 0
	}
}

// end records the result of an operation.
func (h *claimHistory) end(number int, operation check.ClaimOperation) {
	operation.Returned = time.Now()
	operation.Certain = true
	_ = h.requests.Send(h.ctx, historyRequest{operation: operation, number: number})
}

// operations returns the history so far.
func (h *claimHistory) operations() []check.ClaimOperation {
	snapshot := make(chan []check.ClaimOperation, 1)
	if err := h.requests.Send(h.ctx, historyRequest{snapshot: snapshot}); err != nil {
		return nil
	}
	return <-snapshot
}

// decorateWriter returns the option that routes the messages to an entry host's
// claim writer through the history.
func (h *claimHistory) decorateWriter() fx.Option {
	return fx.Decorate(func(writer task.Mailbox[claims.Message]) task.Mailbox[claims.Message] {
		recorded := task.NewMailbox[claims.Message](1024)
		go func() {
			for {
				select {
				case <-h.ctx.Done():
					return
				case message := <-recorded.C():
					_ = writer.Send(h.ctx, h.intercept(message))
				}
			}
		}()
		return recorded
	})
}

// intercept records the start of an operation, and replaces the reply of its
// message by one that records the result first.
func (h *claimHistory) intercept(message claims.Message) claims.Message {
	switch message := message.(type) {
	case claims.Claim:
		operation := check.ClaimOperation{Row: message.Row, ID: message.Record.ID, Called: time.Now()}
		number := h.begin(operation)
		message.Reply = interceptReply(h, message.Reply, func(acquired claims.AcquireResult) {
			operation.Held = acquired.Held
			operation.Repeated = acquired.Answer != nil
			h.end(number, operation)
		})
		return message
	case claims.RecordOutcome:
		operation := check.ClaimOperation{Row: message.Row, ID: message.Record.ID, Outcome: message.Record.State, Called: time.Now()}
		number := h.begin(operation)
		message.Reply = interceptReply(h, message.Reply, func(bool) { h.end(number, operation) })
		return message
	default:
		return message
	}
}

// interceptReply returns a reply that passes the result to observe and then to
// the original.
func interceptReply[R any](h *claimHistory, original task.Reply[R], observe func(R)) task.Reply[R] {
	reply := make(chan R, 1)
	go func() {
		select {
		case <-h.ctx.Done():
		case result := <-reply:
			observe(result)
			original.Send(result)
		}
	}()
	return reply
}
