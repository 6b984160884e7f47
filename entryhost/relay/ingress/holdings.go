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

// shareBudget is a part of the budget of the host, for the use of one task.
type shareBudget struct {
	host Budget
	free int64
}

// NewHeldBudget returns the part of the host's budget that the responses to slow callers
// may use.
func NewHeldBudget(host Budget) Budget { return &shareBudget{host: host, free: maxHostHeld} }

// Claim implements Budget.
func (b *shareBudget) Claim(bytes int64) bool {
	if bytes > b.free || !b.host.Claim(bytes) {
		return false
	}
	b.free -= bytes
	return true
}

// Release implements Budget.
func (b *shareBudget) Release(bytes int64) {
	b.free += bytes
	b.host.Release(bytes)
}

// HoldingMessage is a message to the task of holdings.
type HoldingMessage interface{ isHoldingMessage() }

// evictions receives the reason if the caller of a response that is held has to be
// disconnected. It also identifies the response.
type evictions chan cutReason

// claimHeld asks whether more bytes may be held of a response. The reply is "" if they may.
type claimHeld struct {
	response     evictions
	organisation string
	bytes        int64
	reply        task.Reply[cutReason]
}

// releaseHeld returns all bytes that are held of a response.
type releaseHeld struct{ response evictions }

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
	// responses are those of which something is held, and organisations the sums of bytes.
	responses     map[evictions]*heldResponse
	organisations map[string]int64
	// claimed counts the responses so far.
	claimed int64
	total   *metrics.Counter
}

// NewHoldings returns a task that claims what is held from the budget.
func NewHoldings(budget Budget, set *metrics.Set) *Holdings {
	return &Holdings{
		messages: task.NewMailbox[HoldingMessage](holdingsCapacity), budget: budget,
		responses: map[evictions]*heldResponse{}, organisations: map[string]int64{},
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
	response := h.responses[message.response]
	if response == nil {
		h.claimed++
		response = &heldResponse{evicted: message.response, organisation: message.organisation, order: h.claimed}
	}
	for response.cut == "" {
		reason := h.tryClaim(response, message.bytes)
		if reason == "" {
			h.responses[message.response] = response
			return ""
		}
		slowest := chooseSlowest(h.responses, reason, response, response.bytes+message.bytes)
		if slowest == nil {
			return reason
		}
		h.evict(slowest, reason)
	}
	return response.cut
}

// tryClaim adds bytes to a response, or returns the bound that does not allow it.
func (h *Holdings) tryClaim(response *heldResponse, bytes int64) cutReason {
	switch {
	case !mayClaim(h.organisations[response.organisation], bytes):
		return cutOrganisationBound
	case !h.budget.Claim(bytes):
		return cutHostBound
	}
	h.add(response, bytes)
	return ""
}

// evict frees what is held of a response, whose caller is disconnected at once. It is known
// until its task has released it, so that it can claim nothing more.
func (h *Holdings) evict(response *heldResponse, reason cutReason) {
	response.evicted <- reason
	response.cut = reason
	h.free(response)
}

func (h *Holdings) release(message releaseHeld) {
	if response := h.responses[message.response]; response != nil {
		h.free(response)
		delete(h.responses, message.response)
	}
}

func (h *Holdings) free(response *heldResponse) {
	h.budget.Release(response.bytes)
	h.add(response, -response.bytes)
}

func (h *Holdings) add(response *heldResponse, bytes int64) {
	response.bytes += bytes
	h.organisations[response.organisation] += bytes
	if h.organisations[response.organisation] == 0 {
		delete(h.organisations, response.organisation)
	}
	h.total.AddInt64(bytes)
}

// claim is what one response to a slow caller has claimed. One goroutine uses it.
type claim struct {
	holdings     task.Mailbox[HoldingMessage]
	organisation string
	bytes        int64
	// evicted receives the reason if the caller has to be disconnected.
	evicted evictions
}

func newClaim(holdings task.Mailbox[HoldingMessage], organisation string) claim {
	return claim{holdings: holdings, organisation: organisation, evicted: make(evictions, 1)}
}

// grow claims memory up to the given sum. It returns the bound that does not allow it, or "".
func (c *claim) grow(sum int64) cutReason {
	if sum <= c.bytes {
		return ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), holdingsTimeout)
	defer cancel()
	reason, err := task.Call(ctx, c.holdings, func(reply task.Reply[cutReason]) HoldingMessage {
		return claimHeld{response: c.evicted, organisation: c.organisation, bytes: sum - c.bytes, reply: reply}
	})
	if err != nil {
		return cutHostBound
	}
	if reason == "" {
		c.bytes = sum
	}
	return reason
}

// release returns all that was claimed, also by a claim whose reply did not come in time.
func (c *claim) release() {
	ctx, cancel := context.WithTimeout(context.Background(), holdingsTimeout)
	defer cancel()
	// The task drains its mailbox unless the process ends.
	_ = c.holdings.Send(ctx, releaseHeld{response: c.evicted})
}
