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

// mailboxSize bounds the messages that wait for the writer. A full mailbox
// makes the call task wait; it answers "not run" if that takes too long.
const mailboxSize = 1024

// Writer is the task that commits claims and outcomes. It owns the operations
// that wait, the transaction in flight and the view whether the table answers.
type Writer struct {
	messages task.Mailbox[Message]
	table    platform.Table
	readBack ReadBack
	limit    BatchLimit
	clock    clockwork.Clock
	metrics  *metrics.Set
	logger   *slog.Logger

	pending      []operation
	pendingBytes int
	inFlight     bool
	results      chan transactDone
	probes       chan probed
	probing      bool
	// suspect tells that a transaction failed and no read was answered since.
	suspect      bool
	failedProbes int
	unreachable  bool
	failures     int
	budget       rateBudget
	// notBefore is the end of the pause after a failed transaction or read.
	notBefore time.Time
	// wake ends the pause before the next transaction or read; nil when there is nothing to wait for.
	wake <-chan time.Time
}

// NewWriter returns the writer task.
func NewWriter(table platform.Table, readBack ReadBack, limit BatchLimit, clock clockwork.Clock, set *metrics.Set, logger *slog.Logger) *Writer {
	return &Writer{
		messages: task.NewMailbox[Message](mailboxSize),
		table:    table,
		readBack: readBack,
		limit:    limit,
		clock:    clock,
		metrics:  set,
		logger:   logger,
		results:  make(chan transactDone, 1),
		probes:   make(chan probed, 1),
	}
}

// Messages is where call tasks send claims and outcomes.
func (w *Writer) Messages() task.Mailbox[Message] { return w.messages }

// String names the task in the logs.
func (w *Writer) String() string { return "claims" }

// Serve commits claims and outcomes until the context ends.
func (w *Writer) Serve(ctx context.Context) error {
	for {
		w.startNext(ctx)
		select {
		case <-ctx.Done():
			return nil
		case message := <-w.messages.C():
			w.accept(message)
		case done := <-w.results:
			w.inFlight = false
			w.applyResult(done)
		case probe := <-w.probes:
			w.probing = false
			w.applyProbe(probe)
		case <-w.wake:
			w.wake = nil
		}
	}
}

func (w *Writer) accept(message Message) {
	switch message := message.(type) {
	case Claim:
		w.acceptClaim(message)
	case Finish:
		w.acceptFinish(message)
	}
}

func (w *Writer) acceptClaim(claim Claim) {
	if w.unreachable {
		w.answer(claim.Reply, Verdict{Fault: outOfReach()}, "out_of_reach")
		return
	}
	message := operation{row: claim.Row, record: claim.Record, verdict: claim.Reply}
	message.deadline = w.clock.Now().Add(claimBudget)
	if claim.Deadline.Before(message.deadline) {
		message.deadline = claim.Deadline
	}
	if !w.add(message) {
		w.answer(claim.Reply, Verdict{Fault: tooManyClaims()}, "queue_full")
	}
}

func (w *Writer) acceptFinish(finish Finish) {
	outcome := operation{row: finish.Row, expect: finish.Version, record: finish.Record, recorded: finish.Reply}
	if !w.add(outcome) {
		w.count("lentilpoint_claim_outcomes_total", "dropped")
		outcome.recorded.Send(false)
	}
}

// add encodes an operation and appends it if there is room.
func (w *Writer) add(next operation) bool {
	value, err := Encode(next.record)
	if err != nil || len(w.pending) >= maxPending || w.pendingBytes+len(value) > maxPendingBytes {
		return false
	}
	next.value = value
	w.pending = append(w.pending, next)
	w.pendingBytes += len(value)
	return true
}

// prepend puts operations back in front of those that wait.
func (w *Writer) prepend(operations []operation) {
	for _, next := range operations {
		w.pendingBytes += len(next.value)
	}
	w.pending = append(operations, w.pending...)
}

// startNext starts a transaction or a probe if one is due, or sets the wake-up.
func (w *Writer) startNext(ctx context.Context) {
	if w.inFlight || w.probing || (len(w.pending) == 0 && !w.suspect) {
		return
	}
	now := w.clock.Now()
	if wait := w.pause(now); wait > 0 {
		if w.wake == nil {
			w.wake = w.clock.After(wait)
		}
		return
	}
	if w.suspect {
		w.probing = true
		go w.probe(ctx)
		return
	}
	batch, rest := nextBatch(w.pending, w.limit)
	w.pending = rest
	for i := range batch {
		w.pendingBytes -= len(batch[i].value)
		batch[i].sent = true
	}
	w.inFlight = true
	w.budget = w.budget.spend(now)
	w.metrics.GetOrCreateHistogram("lentilpoint_claim_batch_rows").Update(float64(len(batch)))
	go w.transact(ctx, batch)
}

// pause returns the time until the next transaction or probe may start.
func (w *Writer) pause(now time.Time) time.Duration {
	wait := w.notBefore.Sub(now)
	if w.suspect {
		return wait
	}
	return max(wait, w.budget.wait(now))
}

// transact runs one transaction outside the task, which goes on to accept messages.
func (w *Writer) transact(ctx context.Context, batch []operation) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	result, err := w.table.Transact(ctx, transactionOf(batch))
	if err == nil && !result.Committed && len(result.Conflicts) == 0 {
		err = Error.New("the table refused a transaction without naming a conflict")
	}
	w.results <- transactDone{batch: batch, result: result, err: err}
}

// probe reads a row that does not exist, which costs the table no write.
func (w *Writer) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := w.table.Read(ctx, RowPrefix)
	if platform.ErrNotFound.Has(err) {
		err = nil
	}
	w.probes <- probed{err: err}
}

// applyProbe tells a lost answer, after which the batch is sent again, from an
// outage, in which all claims are refused.
func (w *Writer) applyProbe(probe probed) {
	now := w.clock.Now()
	if probe.err == nil {
		w.suspect = false
		w.failedProbes = 0
		w.notBefore = now.Add(backoff(w.failures))
		w.setUnreachable(false, nil)
		return
	}
	w.failedProbes++
	if w.failedProbes < maxFailedProbes {
		w.notBefore = now.Add(probePause)
		return
	}
	w.notBefore = now.Add(probeInterval)
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

func (w *Writer) applyResult(done transactDone) {
	switch {
	case done.err != nil:
		w.fail(done)
	case done.result.Committed:
		w.failures = 0
		for i, next := range done.batch {
			w.settle(next, resolution{verdict: Verdict{Held: true, Version: versionOf(done, i)}, recorded: true})
		}
	default:
		w.failures = 0
		w.settleConflicts(done)
	}
}

func versionOf(done transactDone, i int) platform.RowVersion {
	if i < len(done.result.Versions) {
		return done.result.Versions[i]
	}
	return done.batch[i].expect + 1
}

// settleConflicts answers the operations whose conditions failed. The others
// did not take effect either; they go into the next transaction.
func (w *Writer) settleConflicts(done transactDone) {
	rows := make(map[string]platform.Row, len(done.result.Conflicts))
	for _, row := range done.result.Conflicts {
		rows[row.Key] = row
	}
	now := w.clock.Now()
	var again []operation
	for _, next := range done.batch {
		row, conflicts := rows[next.row]
		if !conflicts {
			again = append(again, next)
			continue
		}
		resolved := resolve(next, row, now)
		if resolved.again {
			next.expect = resolved.expect
			again = append(again, next)
			continue
		}
		w.settle(next, resolved)
	}
	w.prepend(w.expire(again, now))
}

// settle answers whoever waits for the operation.
func (w *Writer) settle(settled operation, resolved resolution) {
	if settled.isClaim() {
		w.answer(settled.verdict, resolved.verdict, verdictName(resolved.verdict))
		return
	}
	result := "lost"
	if resolved.recorded {
		result = string(settled.record.State)
	}
	w.count("lentilpoint_claim_outcomes_total", result)
	settled.recorded.Send(resolved.recorded)
}

// fail keeps the operations of a transaction without an answer for the next
// one. Claims whose time is over are given up.
func (w *Writer) fail(done transactDone) {
	w.failures++
	w.count("lentilpoint_claim_transactions_failed_total", "no_answer")
	if w.readBack == ReadBackNever {
		w.assumeHeld(done.batch)
		return
	}
	w.suspect = true
	w.prepend(w.expire(done.batch, w.clock.Now()))
}

// expire gives up the claims whose time is over and returns the other
// operations. A claim that was sent may still take effect. It is never treated
// as held, and its release is queued, which also blocks a delayed transaction.
func (w *Writer) expire(operations []operation, now time.Time) []operation {
	kept := make([]operation, 0, len(operations))
	for _, next := range operations {
		if !next.isClaim() || now.Before(next.deadline) {
			kept = append(kept, next)
			continue
		}
		w.answer(next.verdict, Verdict{Fault: outOfReach()}, "no_answer")
		if !next.sent {
			continue
		}
		release := operation{row: next.row, expect: next.expect, record: next.record}
		release.record.State = StateReleased
		if value, err := Encode(release.record); err == nil {
			release.value = value
			kept = append(kept, release)
		}
	}
	return kept
}

// refusePending gives up all claims that wait, as if their time were over.
func (w *Writer) refusePending() {
	pending := w.pending
	w.pending, w.pendingBytes = nil, 0
	w.prepend(w.expire(pending, w.clock.Now().Add(claimBudget)))
}

// assumeHeld is the baseline that does not read claims back.
func (w *Writer) assumeHeld(batch []operation) {
	for _, next := range batch {
		w.settle(next, resolution{verdict: Verdict{Held: true, Version: next.expect + 1}, recorded: true})
	}
}

func (w *Writer) answer(reply task.Reply[Verdict], verdict Verdict, result string) {
	w.count("lentilpoint_claims_total", result)
	reply.Send(verdict)
}

func verdictName(verdict Verdict) string {
	switch {
	case verdict.Held:
		return "held"
	case verdict.Answer != nil:
		return "recorded"
	default:
		return string(verdict.Fault.Reason)
	}
}

func (w *Writer) count(name, result string) {
	w.metrics.GetOrCreateCounter(name + `{result="` + result + `"}`).Inc()
}
