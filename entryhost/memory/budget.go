package memory

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// mailboxCapacity is the number of claims and releases that wait for the task.
	mailboxCapacity = 1024
	// claimTimeout bounds the wait for room that others give up, and for the task.
	claimTimeout = 2 * time.Second
	// observeInterval is how often the progress of holders is looked at.
	observeInterval = 250 * time.Millisecond
	// logInterval is the shortest time between two log lines of the task.
	logInterval = 10 * time.Second
)

// Holder is one request, or another user of memory, that claims from the budget.
type Holder struct {
	// yield makes the holder give its memory up soon. It returns false if the holder needs
	// no further bytes of its client, and must not block. It is nil if the holder never
	// gives way.
	yield func() bool
	// received counts the bytes that the holder has received. Its owner writes it and the
	// task reads it, without a message for each read.
	received atomic.Int64
}

// NewHolder returns a holder. A nil yield means that it never gives way.
func NewHolder(yield func() bool) *Holder { return &Holder{yield: yield} }

// Receive counts bytes that the holder has received.
func (h *Holder) Receive(bytes int) { h.received.Add(int64(bytes)) }

// Reset makes the holder that of another request. It must hold nothing.
func (h *Holder) Reset() { h.received.Store(0) }

// message is a claim, or a release if reply is nil.
type message struct {
	holder *Holder
	// bytes is negative for a release of everything.
	bytes int64
	reply task.Reply[bool]
}

// Budget is the task that owns the record of who keeps how much memory.
type Budget struct {
	messages task.Mailbox[message]
	ledger   *ledger
	// waiting are claims for which others were asked to give way.
	waiting []waitingClaim
	// shared is the holder of claims by Claim.
	shared  *Holder
	clock   clockwork.Clock
	metrics *metrics.Set
	logger  *slog.Logger
	// refused and yielded count since the last log line.
	refused, yielded int
	loggedAt         time.Time
	// inUse is the value of the gauge, which the scraper reads.
	inUse atomic.Int64
}

type waitingClaim struct {
	message

	until time.Time
}

// NewBudget returns the task of a host's budget.
func NewBudget(limits Limits, clock clockwork.Clock, set *metrics.Set, logger *slog.Logger) *Budget {
	b := &Budget{messages: task.NewMailbox[message](mailboxCapacity), ledger: newLedger(limits), shared: NewHolder(nil), clock: clock, metrics: set, logger: logger}
	set.GetOrCreateGauge("lentilpoint_memory_claimed_bytes", func() float64 { return float64(b.inUse.Load()) })
	return b
}

// Limits returns the bounds of the host.
func (b *Budget) Limits() Limits { return b.ledger.limits }

// String names the task in the logs.
func (b *Budget) String() string { return "memory budget" }

// Claim reports whether further bytes may be kept, and counts them if so. They never give
// way. If others give way to them, it waits for that, for claimTimeout at most.
func (b *Budget) Claim(bytes int64) bool { return b.ClaimFor(b.shared, bytes) }

// Release returns claimed bytes.
func (b *Budget) Release(bytes int64) { b.ReleaseFor(b.shared, bytes) }

// ClaimFor is Claim for a holder that may give way to others later.
func (b *Budget) ClaimFor(holder *Holder, bytes int64) bool {
	// The task answers each claim within claimTimeout; the rest is for its mailbox.
	ctx, cancel := context.WithTimeout(context.Background(), 2*claimTimeout)
	defer cancel()
	granted, err := task.Call(ctx, b.messages, func(reply task.Reply[bool]) message {
		return message{holder: holder, bytes: bytes, reply: reply}
	})
	return err == nil && granted
}

// ReleaseFor returns bytes of a holder.
func (b *Budget) ReleaseFor(holder *Holder, bytes int64) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	// The task reads its mailbox all the time. It does not during a shutdown, when nothing
	// is claimed any more.
	_ = b.messages.Send(ctx, message{holder: holder, bytes: bytes})
}

// ReleaseAll returns everything that a holder has claimed.
func (b *Budget) ReleaseAll(holder *Holder) { b.ReleaseFor(holder, -1) }

// Serve decides on claims until the context ends. The record survives a restart of the task.
func (b *Budget) Serve(ctx context.Context) error {
	ticker := b.clock.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-b.messages.C():
			b.handle(message)
		case <-ticker.Chan():
			b.ledger.observe(b.clock.Now())
			b.expireClaims()
			b.writeLog()
		}
		b.inUse.Store(b.ledger.used)
	}
}

func (b *Budget) handle(message message) {
	if message.reply == nil {
		b.ledger.remove(message.holder, message.bytes)
		b.retryClaims()
		return
	}
	now := b.clock.Now()
	switch {
	case b.ledger.fits(message.holder, message.bytes):
		b.grant(message, now)
	case b.makeRoom(message, now):
		b.waiting = append(b.waiting, waitingClaim{message, now.Add(claimTimeout)})
	default:
		b.refuse(message)
	}
}

func (b *Budget) grant(message message, now time.Time) {
	b.ledger.add(message.holder, message.bytes, now)
	message.reply.Send(true)
}

// makeRoom asks holders to give way until the claim and those that wait have room, and
// reports whether they will.
func (b *Budget) makeRoom(message message, now time.Time) bool {
	need := message.bytes
	for _, claim := range b.waiting {
		need += claim.bytes
	}
	for b.ledger.yieldingBytes() < need {
		held := b.ledger.nextToYield(message.holder, message.bytes, now)
		if held == nil {
			return false
		}
		held.settled = held.holder.yield == nil || !held.holder.yield()
		if held.yielding = !held.settled; held.yielding {
			b.yielded++
			b.metrics.GetOrCreateCounter("lentilpoint_memory_yielded_total").Inc()
		}
	}
	return true
}

func (b *Budget) refuse(message message) {
	b.refused++
	b.metrics.GetOrCreateCounter("lentilpoint_memory_refused_total").Inc()
	message.reply.Send(false)
}

// retryClaims grants the claims that now have room, oldest first.
func (b *Budget) retryClaims() {
	for len(b.waiting) > 0 && b.ledger.fits(b.waiting[0].holder, b.waiting[0].bytes) {
		b.grant(b.waiting[0].message, b.clock.Now())
		b.waiting = b.waiting[1:]
	}
}

func (b *Budget) expireClaims() {
	for len(b.waiting) > 0 && !b.clock.Now().Before(b.waiting[0].until) {
		b.refuse(b.waiting[0].message)
		b.waiting = b.waiting[1:]
	}
	b.retryClaims()
}

// writeLog writes at most one line in each logInterval.
func (b *Budget) writeLog() {
	now := b.clock.Now()
	if b.refused+b.yielded == 0 || now.Sub(b.loggedAt) < logInterval {
		return
	}
	b.logger.Warn("memory budget used up", eventcode.MemoryBudgetUsedUp.Attr(), "refused", b.refused, "gave_way", b.yielded,
		"claimed_bytes", b.ledger.used, "budget_bytes", b.ledger.limits.Budget, "holders", len(b.ledger.holdings))
	b.refused, b.yielded, b.loggedAt = 0, 0, now
}
