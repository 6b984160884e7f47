package ingress

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lentilpoint/lentilpoint/task"
)

// Budget bounds the memory of this host. Claim reports whether the bytes may be kept, and
// Release returns bytes that were claimed.
type Budget interface {
	Claim(bytes int64) bool
	Release(bytes int64)
}

// shareBudget is a Budget of a constant size for the use of one task.
type shareBudget struct{ free int64 }

// NewHeldBudget returns the budget of the responses to slow callers.
func NewHeldBudget() Budget { return &shareBudget{free: maxHostHeld} }

// Claim implements Budget.
func (b *shareBudget) Claim(bytes int64) bool {
	if bytes > b.free {
		return false
	}
	b.free -= bytes
	return true
}

// Release implements Budget.
func (b *shareBudget) Release(bytes int64) { b.free += bytes }

// HoldingMessage is a message to the task of holdings.
type HoldingMessage interface{ isHoldingMessage() }

// claimHeld asks whether bytes may be held for a slow caller. The reply is "" if they may.
type claimHeld struct {
	organisation string
	bytes        int64
	reply        task.Reply[cutReason]
}

// releaseHeld returns bytes that were claimed.
type releaseHeld struct {
	organisation string
	bytes        int64
}

func (claimHeld) isHoldingMessage()   {}
func (releaseHeld) isHoldingMessage() {}

const (
	// holdingsCapacity is the number of messages of slow callers that may wait.
	holdingsCapacity = 64
	// holdingsTimeout bounds the wait for the task of holdings, which only counts.
	holdingsTimeout = time.Second
)

// Holdings is the task that counts what is held for slow callers. Only slow callers cause
// messages to it.
type Holdings struct {
	messages task.Mailbox[HoldingMessage]
	budget   Budget
	// held is what is held for each organisation that has slow callers.
	held  map[string]int64
	total *metrics.Counter
}

// NewHoldings returns a task that claims what is held from the budget.
func NewHoldings(budget Budget, set *metrics.Set) *Holdings {
	return &Holdings{
		messages: task.NewMailbox[HoldingMessage](holdingsCapacity), budget: budget, held: map[string]int64{},
		total: set.GetOrCreateCounter("lentilpoint_relay_held_bytes"),
	}
}

// String names the task in the logs.
func (h *Holdings) String() string { return "holdings" }

// Mailbox receives the messages of slow callers.
func (h *Holdings) Mailbox() task.Mailbox[HoldingMessage] { return h.messages }

// Serve counts until the context ends.
func (h *Holdings) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return Error.Wrap(context.Cause(ctx))
		case message := <-h.messages.C():
			switch message := message.(type) {
			case claimHeld:
				message.reply.Send(h.claim(message))
			case releaseHeld:
				h.release(message)
			}
		}
	}
}

func (h *Holdings) claim(message claimHeld) cutReason {
	switch {
	case !mayClaim(h.held[message.organisation], message.bytes):
		return cutOrganisationBound
	case !h.budget.Claim(message.bytes):
		return cutHostBound
	}
	h.add(message.organisation, message.bytes)
	return ""
}

func (h *Holdings) release(message releaseHeld) {
	h.add(message.organisation, -message.bytes)
	h.budget.Release(message.bytes)
}

func (h *Holdings) add(organisation string, bytes int64) {
	h.held[organisation] += bytes
	if h.held[organisation] == 0 {
		delete(h.held, organisation)
	}
	h.total.AddInt64(bytes)
}

// claim is what one response to a slow caller has claimed. One goroutine uses it.
type claim struct {
	holdings     task.Mailbox[HoldingMessage]
	organisation string
	bytes        int64
}

// grow claims memory up to the given sum. It returns the bound that does not allow it, or "".
func (c *claim) grow(sum int64) cutReason {
	if sum <= c.bytes {
		return ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), holdingsTimeout)
	defer cancel()
	reason, err := task.Call(ctx, c.holdings, func(reply task.Reply[cutReason]) HoldingMessage {
		return claimHeld{organisation: c.organisation, bytes: sum - c.bytes, reply: reply}
	})
	if err != nil {
		return cutHostBound
	}
	if reason == "" {
		c.bytes = sum
	}
	return reason
}

// release returns all that was claimed.
func (c *claim) release() {
	if c.bytes == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), holdingsTimeout)
	defer cancel()
	// The task drains its mailbox unless the process ends.
	_ = c.holdings.Send(ctx, releaseHeld{organisation: c.organisation, bytes: c.bytes})
	c.bytes = 0
}
