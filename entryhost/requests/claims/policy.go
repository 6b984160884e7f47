package claims

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// ReadBack selects what happens when the answer to a claim's transaction is
// lost.
type ReadBack string

// The read-back modes. ReadBackNever is a baseline of the experiments.
const (
	// ReadBackByID sends the claim again, which commits it if the first transaction
	// was lost. If the row conflicts, its claim id shows whether the first
	// transaction took effect.
	ReadBackByID ReadBack = "by-id"
	// ReadBackNever treats a claim without an answer as held.
	ReadBackNever ReadBack = "never"
)

// BatchLimit bounds the rows of one transaction. A limit of 1 is a baseline of
// the experiments.
type BatchLimit int

// DefaultBatchLimit exceeds the rows that an entry host claims and records
// within transactionInterval at 70 requests/s, even after a pause of a second.
const DefaultBatchLimit BatchLimit = 64

const (
	// maxBatchBytes bounds the row values in one transaction.
	maxBatchBytes = 512 << 10
	// transactionInterval is the mean time between two transactions of one entry
	// host under load: 7 hosts send at most 350 per second, of the several hundred
	// that the table handles.
	transactionInterval = 20 * time.Millisecond
	// transactionBurst is the number of transactions that may start without that
	// interval between them, so that under light load the claim and the outcome of
	// a call do not wait for a batch.
	transactionBurst = 4
	// transactionTimeout bounds one transaction.
	transactionTimeout = 400 * time.Millisecond
	// claimTimeout bounds all attempts to commit a claim. With 45% of the
	// transactions lost, more than 6 attempts fit into it.
	claimTimeout = time.Second
	// minBackoff and maxBackoff bound the delay after a failed transaction.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 160 * time.Millisecond
	// probeTimeout bounds one read that distinguishes a lost answer from an
	// outage.
	probeTimeout = 150 * time.Millisecond
	// maxFailedProbes consecutive reads must fail after a failed transaction
	// before claims are refused, so that a single lost packet does not cause
	// refusals.
	maxFailedProbes = 2
	// probeRetryDelay is the time between these reads, and outageProbeInterval the
	// time between reads once the table is unreachable.
	probeRetryDelay     = 20 * time.Millisecond
	outageProbeInterval = 200 * time.Millisecond
	// maxPendingOperations and maxPendingBytes bound the operations that wait for
	// a transaction.
	maxPendingOperations = 4096
	maxPendingBytes      = 8 << 20
)

// operation is a claim or an outcome to be committed.
type operation struct {
	row             string
	expectedVersion platform.RowVersion
	record          Record
	value           []byte
	// deadline is when a claim is refused; it is zero for outcomes.
	deadline time.Time
	// sent means that a transaction with the operation was started, which may
	// still take effect.
	sent         bool
	claimReply   task.Reply[AcquireResult]
	outcomeReply task.Reply[bool]
}

// isClaim distinguishes claims from outcomes.
func (o operation) isClaim() bool { return o.record.State == StateClaimed }

// takeBatch splits off the next batch. It keeps the order and takes at most one
// operation for each row, because two writes of one row in a transaction would
// replace each other.
func takeBatch(pending []operation, limit BatchLimit) (batch, rest []operation) {
	rows := make(map[string]bool)
	size := 0
	for _, next := range pending {
		fits := len(batch) < int(limit) && (len(batch) == 0 || size+len(next.value) <= maxBatchBytes)
		if !fits || rows[next.row] {
			rows[next.row] = true
			rest = append(rest, next)
			continue
		}
		rows[next.row] = true
		size += len(next.value)
		batch = append(batch, next)
	}
	return batch, rest
}

// batchTransaction returns the transaction that commits the batch.
func batchTransaction(batch []operation) platform.Transaction {
	var transaction platform.Transaction
	for _, next := range batch {
		transaction.Conditions = append(transaction.Conditions, platform.Condition{Key: next.row, Version: next.expectedVersion})
		transaction.Writes = append(transaction.Writes, platform.Write{Key: next.row, Value: next.value})
	}
	return transaction
}

// resolution is the consequence of a failed condition, given the present row.
type resolution struct {
	// retry means that the operation is tried again with expectedVersion.
	retry           bool
	expectedVersion platform.RowVersion
	claimResult     AcquireResult
	// outcomeRecorded means that the outcome is in the table.
	outcomeRecorded bool
}

// resolveConflict decides about an operation whose condition failed.
func resolveConflict(failed operation, row platform.Row, now time.Time) resolution {
	if row.Version == 0 {
		return resolution{retry: true}
	}
	present, err := Decode(row.Value)
	if err != nil {
		return resolution{claimResult: AcquireResult{Fault: outcomeUnknownFault("its row cannot be read")}}
	}
	if present.ID == failed.record.ID {
		if present.State == failed.record.State {
			return resolution{claimResult: AcquireResult{Held: true, Version: row.Version}, outcomeRecorded: true}
		}
		// The row has this claim's id and another state. An outcome may replace
		// the claim, but no claim may replace an outcome.
		return resolution{retry: !failed.isClaim() && present.State == StateClaimed, expectedVersion: row.Version,
			claimResult: AcquireResult{Fault: outcomeUnknownFault("an earlier request with the key has ended")}}
	}
	if failed.isClaim() && present.State == StateReleased {
		return resolution{retry: true, expectedVersion: row.Version}
	}
	return resolution{claimResult: EvaluateRecord(present, failed.record.BodyHash, now)}
}

// EvaluateRecord returns the result for a request whose key was already used by
// another request.
func EvaluateRecord(present Record, bodyHash string, now time.Time) AcquireResult {
	switch {
	case present.BodyHash != bodyHash:
		return AcquireResult{Fault: model.NotRun(model.KindConflict, model.ReasonKeyReused,
			"the idempotency key was used for a request with another method, path or body",
			"use a new key for a new request")}
	case present.State == StateDone && present.Answer != nil && !present.Answer.BodyOmitted:
		return AcquireResult{Answer: present.Answer}
	case present.State == StateDone:
		return AcquireResult{Fault: answerTooLongFault()}
	case present.State == StateClaimed && now.Before(present.Until):
		return AcquireResult{Fault: inProgressFault()}
	default:
		return AcquireResult{Fault: outcomeUnknownFault("the request may have reached a server that did not answer")}
	}
}

func answerTooLongFault() *model.Fault {
	return &model.Fault{
		Kind: model.KindConflict, Reason: model.ReasonOutcomeUnknown, Executed: model.ExecutedYes,
		Message: "an earlier request with the key was executed and answered; its answer was too long to be recorded (64 KiB)",
		Remedy:  "ask the service for the result; do not send the request with another key",
	}
}

func inProgressFault() *model.Fault {
	return &model.Fault{
		Kind: model.KindConflict, Reason: model.ReasonKeyInProgress, Executed: model.ExecutedUnknown,
		Message: "a request with the key is in progress", Remedy: "send the request again with the same key after a pause",
		RetryAfter: time.Second,
	}
}

func outcomeUnknownFault(cause string) *model.Fault {
	return &model.Fault{
		Kind: model.KindUnknown, Reason: model.ReasonOutcomeUnknown, Executed: model.ExecutedUnknown,
		Message: "the outcome of an earlier request with the key is unknown: " + cause,
		Remedy:  "ask the service whether the request took effect before sending it with another key",
	}
}

// tableUnreachableFault refuses a keyed call whose key could not be claimed. It
// describes this request only: an earlier one with the same key may have run.
func tableUnreachableFault() *model.Fault {
	return model.NotRun(model.KindUnavailable, model.ReasonPlatformUnavailable,
		"the table service cannot be reached, so that the key cannot be claimed; this request did not run, an earlier one with the key may have",
		"repeat it with the key after a pause; if none was sent before, get a ticket with POST /v1/tickets and send it as Idempotency-Key").WithRetryAfter(time.Second)
}

func queueFullFault() *model.Fault {
	return model.NotRun(model.KindOverloaded, model.ReasonQueueFull,
		"too many claims wait for the table service", "send the request again after a pause").WithRetryAfter(time.Second)
}

// backoff returns the delay after this number of consecutive failed
// transactions.
func backoff(failures int) time.Duration {
	return min(minBackoff<<min(failures-1, 8), maxBackoff)
}

// rateBudget limits transactions to one per transactionInterval, with a burst
// of transactionBurst. The full burst is available again at fullAt.
type rateBudget struct{ fullAt time.Time }

// delay returns how long the next transaction must wait; it is not positive if
// the transaction may start now.
func (b rateBudget) delay(now time.Time) time.Duration {
	return b.fullAt.Add(-(transactionBurst - 1) * transactionInterval).Sub(now)
}

// spend returns the budget after a transaction.
func (b rateBudget) spend(now time.Time) rateBudget {
	if b.fullAt.Before(now) {
		b.fullAt = now
	}
	return rateBudget{fullAt: b.fullAt.Add(transactionInterval)}
}
