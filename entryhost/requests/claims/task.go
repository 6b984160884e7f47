package claims

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/task"
)

// mailboxSize bounds the messages that wait for the writer. If the mailbox is
// full, the call task waits, and refuses its call as not run if that takes too
// long.
const mailboxSize = 1024

// Writer is the task that commits claims and outcomes. It owns the pending
// operations, the transaction in flight and the reachability of the table.
type Writer struct {
	messages   task.Mailbox[Message]
	table      platform.Table
	readBack   ReadBack
	batchLimit BatchLimit
	clock      clockwork.Clock
	metrics    *metrics.Set
	logger     *slog.Logger

	pending      []operation
	pendingBytes int
	inFlight     bool
	results      chan transactDone
	probeResults chan probeDone
	probing      bool
	// tableSuspected means that a transaction failed and no read has succeeded
	// since.
	tableSuspected     bool
	failedProbes       int
	unreachable        bool
	failedTransactions int
	transactionBudget  rateBudget
	// notBefore is the end of the delay after a failed transaction or read.
	notBefore time.Time
	// wakeUp fires when the next transaction or read may start; nil if nothing
	// waits for that.
	wakeUp <-chan time.Time
}

// NewWriter returns the writer task.
func NewWriter(table platform.Table, readBack ReadBack, limit BatchLimit, clock clockwork.Clock, set *metrics.Set, logger *slog.Logger) *Writer {
	return &Writer{
		messages:     task.NewMailbox[Message](mailboxSize),
		table:        table,
		readBack:     readBack,
		batchLimit:   limit,
		clock:        clock,
		metrics:      set,
		logger:       logger,
		results:      make(chan transactDone, 1),
		probeResults: make(chan probeDone, 1),
	}
}

// Messages returns the mailbox to which call tasks send claims and outcomes.
func (w *Writer) Messages() task.Mailbox[Message] { return w.messages }

// String names the task in the logs.
func (w *Writer) String() string { return "claims" }

// Serve commits claims and outcomes until the context ends.
func (w *Writer) Serve(ctx context.Context) error {
	for {
		w.startDueWork(ctx)
		select {
		case <-ctx.Done():
			return nil
		case message := <-w.messages.C():
			w.handleMessage(message)
		case done := <-w.results:
			w.inFlight = false
			w.applyTransaction(done)
		case probe := <-w.probeResults:
			w.probing = false
			w.applyProbe(probe)
		case <-w.wakeUp:
			w.wakeUp = nil
		}
	}
}

func (w *Writer) handleMessage(message Message) {
	switch message := message.(type) {
	case Claim:
		w.enqueueClaim(message)
	case RecordOutcome:
		w.enqueueOutcome(message)
	}
}

func (w *Writer) enqueueClaim(claim Claim) {
	if w.unreachable {
		w.replyToClaim(claim.Reply, AcquireResult{Fault: tableUnreachableFault()}, "out_of_reach")
		return
	}
	pendingClaim := operation{row: claim.Row, record: claim.Record, claimReply: claim.Reply}
	pendingClaim.deadline = w.clock.Now().Add(claimTimeout)
	if claim.Deadline.Before(pendingClaim.deadline) {
		pendingClaim.deadline = claim.Deadline
	}
	if !w.enqueue(pendingClaim) {
		w.replyToClaim(claim.Reply, AcquireResult{Fault: queueFullFault()}, "queue_full")
	}
}

func (w *Writer) enqueueOutcome(message RecordOutcome) {
	outcome := operation{row: message.Row, expectedVersion: message.Version, record: message.Record, outcomeReply: message.Reply}
	if !w.enqueue(outcome) {
		w.incrementCounter("lentilpoint_claim_outcomes_total", "dropped")
		outcome.outcomeReply.Send(false)
	}
}

// enqueue encodes an operation and appends it to the pending ones. It returns
// false if there is no room.
func (w *Writer) enqueue(next operation) bool {
	value, err := Encode(next.record)
	if err != nil || len(w.pending) >= maxPendingOperations || w.pendingBytes+len(value) > maxPendingBytes {
		return false
	}
	next.value = value
	w.pending = append(w.pending, next)
	w.pendingBytes += len(value)
	return true
}

// requeue puts operations back in front of the pending ones.
func (w *Writer) requeue(operations []operation) {
	for _, next := range operations {
		w.pendingBytes += len(next.value)
	}
	w.pending = append(operations, w.pending...)
}

// startDueWork starts a transaction or a probe if one is due, or sets wakeUp.
func (w *Writer) startDueWork(ctx context.Context) {
	if w.inFlight || w.probing || (len(w.pending) == 0 && !w.tableSuspected) {
		return
	}
	now := w.clock.Now()
	if wait := w.delay(now); wait > 0 {
		if w.wakeUp == nil {
			w.wakeUp = w.clock.After(wait)
		}
		return
	}
	if w.tableSuspected {
		w.probing = true
		go w.runProbe(ctx)
		return
	}
	batch, rest := takeBatch(w.pending, w.batchLimit)
	w.pending = rest
	for i := range batch {
		w.pendingBytes -= len(batch[i].value)
		batch[i].sent = true
	}
	w.inFlight = true
	w.transactionBudget = w.transactionBudget.spend(now)
	w.metrics.GetOrCreateHistogram("lentilpoint_claim_batch_rows").Update(float64(len(batch)))
	go w.runTransaction(ctx, batch)
}

// delay returns the time until the next transaction or probe may start.
func (w *Writer) delay(now time.Time) time.Duration {
	wait := w.notBefore.Sub(now)
	if w.tableSuspected {
		return wait
	}
	return max(wait, w.transactionBudget.delay(now))
}

// runTransaction runs in its own goroutine, while the task continues to accept
// messages.
func (w *Writer) runTransaction(ctx context.Context, batch []operation) {
	ctx, cancel := context.WithTimeout(ctx, transactionTimeout)
	defer cancel()
	result, err := w.table.Transact(ctx, batchTransaction(batch))
	if err == nil && !result.Committed && len(result.Conflicts) == 0 {
		err = Error.New("the table rejected a transaction without reporting a conflict")
	}
	w.results <- transactDone{batch: batch, result: result, err: err}
}

// runProbe reads a row that does not exist, which costs the table no write.
func (w *Writer) runProbe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := w.table.Read(ctx, RowPrefix)
	if platform.ErrNotFound.Has(err) {
		err = nil
	}
	w.probeResults <- probeDone{err: err}
}

// applyProbe distinguishes a lost answer, after which the batch is sent again,
// from an outage, during which all claims are refused.
func (w *Writer) applyProbe(probe probeDone) {
	now := w.clock.Now()
	if probe.err == nil {
		w.tableSuspected = false
		w.failedProbes = 0
		w.notBefore = now.Add(backoff(w.failedTransactions))
		w.setUnreachable(false, nil)
		return
	}
	w.failedProbes++
	if w.failedProbes < maxFailedProbes {
		w.notBefore = now.Add(probeRetryDelay)
		return
	}
	w.notBefore = now.Add(outageProbeInterval)
	w.setUnreachable(true, probe.err)
	w.refusePending()
}

func (w *Writer) setUnreachable(unreachable bool, err error) {
	if w.unreachable == unreachable {
		return
	}
	w.unreachable = unreachable
	w.logger.Warn("claims table reachability changed", eventcode.ClaimsReachability.Attr(), "reachable", !unreachable, "error", err)
}

func (w *Writer) applyTransaction(done transactDone) {
	switch {
	case done.err != nil:
		w.retryFailed(done)
	case done.result.Committed:
		w.failedTransactions = 0
		for i, next := range done.batch {
			w.complete(next, resolution{claimResult: AcquireResult{Held: true, Version: writtenVersion(done, i)}, outcomeRecorded: true})
		}
	default:
		w.failedTransactions = 0
		w.applyConflicts(done)
	}
}

// writtenVersion returns the version of the batch's row at this index after the
// commit.
func writtenVersion(done transactDone, i int) platform.RowVersion {
	if i < len(done.result.Versions) {
		return done.result.Versions[i]
	}
	return done.batch[i].expectedVersion + 1
}

// applyConflicts completes the operations whose conditions failed. The others
// did not take effect either; they are retried in the next transaction.
func (w *Writer) applyConflicts(done transactDone) {
	rows := make(map[string]platform.Row, len(done.result.Conflicts))
	for _, row := range done.result.Conflicts {
		rows[row.Key] = row
	}
	now := w.clock.Now()
	var retries []operation
	for _, next := range done.batch {
		row, conflicts := rows[next.row]
		if !conflicts {
			retries = append(retries, next)
			continue
		}
		resolved := resolveConflict(next, row, now)
		if resolved.retry {
			next.expectedVersion = resolved.expectedVersion
			retries = append(retries, next)
			continue
		}
		w.complete(next, resolved)
	}
	w.requeue(w.expireClaims(retries, now))
}

// complete sends the result of an operation to its call task.
func (w *Writer) complete(completed operation, resolved resolution) {
	if completed.isClaim() {
		w.replyToClaim(completed.claimReply, resolved.claimResult, resultLabel(resolved.claimResult))
		return
	}
	label := "lost"
	if resolved.outcomeRecorded {
		label = string(completed.record.State)
	}
	w.incrementCounter("lentilpoint_claim_outcomes_total", label)
	completed.outcomeReply.Send(resolved.outcomeRecorded)
}

// retryFailed queues the operations of a transaction without an answer for the
// next one. Claims whose deadline has passed are refused.
func (w *Writer) retryFailed(done transactDone) {
	w.failedTransactions++
	w.incrementCounter("lentilpoint_claim_transactions_failed_total", "no_answer")
	if w.readBack == ReadBackNever {
		w.assumeHeld(done.batch)
		return
	}
	w.tableSuspected = true
	w.requeue(w.expireClaims(done.batch, w.clock.Now()))
}

// expireClaims refuses the claims whose deadline has passed and returns the
// other operations. A claim that was sent may still take effect. It is never
// treated as held, and its release is queued, which also blocks a delayed
// transaction.
func (w *Writer) expireClaims(operations []operation, now time.Time) []operation {
	kept := make([]operation, 0, len(operations))
	for _, next := range operations {
		if !next.isClaim() || now.Before(next.deadline) {
			kept = append(kept, next)
			continue
		}
		w.replyToClaim(next.claimReply, AcquireResult{Fault: tableUnreachableFault()}, "no_answer")
		if !next.sent {
			continue
		}
		release := operation{row: next.row, expectedVersion: next.expectedVersion, record: next.record}
		release.record.State = StateReleased
		if value, err := Encode(release.record); err == nil {
			release.value = value
			kept = append(kept, release)
		}
	}
	return kept
}

// refusePending refuses all pending claims, as if their deadlines had passed.
func (w *Writer) refusePending() {
	pending := w.pending
	w.pending, w.pendingBytes = nil, 0
	w.requeue(w.expireClaims(pending, w.clock.Now().Add(claimTimeout)))
}

// assumeHeld implements ReadBackNever: it treats the claims as held without
// reading them back.
func (w *Writer) assumeHeld(batch []operation) {
	for _, next := range batch {
		w.complete(next, resolution{claimResult: AcquireResult{Held: true, Version: next.expectedVersion + 1}, outcomeRecorded: true})
	}
}

func (w *Writer) replyToClaim(reply task.Reply[AcquireResult], result AcquireResult, label string) {
	w.incrementCounter("lentilpoint_claims_total", label)
	reply.Send(result)
}

func resultLabel(result AcquireResult) string {
	switch {
	case result.Held:
		return "held"
	case result.Answer != nil:
		return "recorded"
	default:
		return string(result.Fault.Reason)
	}
}

func (w *Writer) incrementCounter(name, label string) {
	w.metrics.GetOrCreateCounter(name + `{result="` + label + `"}`).Inc()
}
