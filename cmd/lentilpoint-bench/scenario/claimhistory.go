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
// stands between their call tasks and their claim writers.
type claimHistory struct {
	ctx     context.Context
	entries task.Mailbox[historyEntry]
}

// historyEntry adds an operation, or asks for all of them.
type historyEntry struct {
	operation check.ClaimOperation
	number    int
	numbered  chan<- int
	all       chan<- []check.ClaimOperation
}

func newClaimHistory(ctx context.Context) *claimHistory {
	history := &claimHistory{ctx: ctx, entries: task.NewMailbox[historyEntry](1024)}
	go history.serve()
	return history
}

// serve owns the operations. One that has started but not ended is uncertain.
func (h *claimHistory) serve() {
	var operations []check.ClaimOperation
	for {
		select {
		case <-h.ctx.Done():
			return
		case entry := <-h.entries.C():
			switch {
			case entry.all != nil:
				entry.all <- append([]check.ClaimOperation(nil), operations...)
			case entry.numbered != nil:
				operations = append(operations, entry.operation)
				entry.numbered <- len(operations) - 1
			default:
				operations[entry.number] = entry.operation
			}
		}
	}
}

// begin stores an operation before it is sent.
func (h *claimHistory) begin(operation check.ClaimOperation) int {
	numbered := make(chan int, 1)
	if err := h.entries.Send(h.ctx, historyEntry{operation: operation, numbered: numbered}); err != nil {
		return 0
	}
	select {
	case number := <-numbered:
		return number
	case <-h.ctx.Done():
		return 0
	}
}

func (h *claimHistory) end(number int, operation check.ClaimOperation) {
	operation.Returned = time.Now()
	operation.Certain = true
	_ = h.entries.Send(h.ctx, historyEntry{operation: operation, number: number})
}

// operations returns the history so far.
func (h *claimHistory) operations() []check.ClaimOperation {
	all := make(chan []check.ClaimOperation, 1)
	if err := h.entries.Send(h.ctx, historyEntry{all: all}); err != nil {
		return nil
	}
	return <-all
}

// option puts the history in front of an entry host's claim writer.
func (h *claimHistory) option() fx.Option {
	return fx.Decorate(func(writer task.Mailbox[claims.Message]) task.Mailbox[claims.Message] {
		recorded := task.NewMailbox[claims.Message](1024)
		go func() {
			for {
				select {
				case <-h.ctx.Done():
					return
				case message := <-recorded.C():
					_ = writer.Send(h.ctx, h.record(message))
				}
			}
		}()
		return recorded
	})
}

// record replaces the reply of a message by one that notes the result first.
func (h *claimHistory) record(message claims.Message) claims.Message {
	switch message := message.(type) {
	case claims.Claim:
		operation := check.ClaimOperation{Row: message.Row, ID: message.Record.ID, Called: time.Now()}
		number := h.begin(operation)
		message.Reply = noted(h, message.Reply, func(verdict claims.AcquireResult) {
			operation.Held = verdict.Held
			operation.Repeated = verdict.Answer != nil
			h.end(number, operation)
		})
		return message
	case claims.RecordOutcome:
		operation := check.ClaimOperation{Row: message.Row, ID: message.Record.ID, Outcome: message.Record.State, Called: time.Now()}
		number := h.begin(operation)
		message.Reply = noted(h, message.Reply, func(bool) { h.end(number, operation) })
		return message
	default:
		return message
	}
}

func noted[R any](h *claimHistory, original task.Reply[R], note func(R)) task.Reply[R] {
	reply := make(chan R, 1)
	go func() {
		select {
		case <-h.ctx.Done():
		case result := <-reply:
			note(result)
			original.Send(result)
		}
	}()
	return reply
}
