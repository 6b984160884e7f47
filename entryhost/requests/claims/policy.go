package claims

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// ReadBack says what follows when the answer to a claim is lost.
type ReadBack string

// The ways to treat a lost answer. ReadBackNever is a baseline of the experiments.
const (
	// ReadBackByID sends the claim again and compares the claim id in the
	// conflicting row, which reads it back and commits it if it was lost.
	ReadBackByID ReadBack = "by-id"
	// ReadBackNever treats a claim without an answer as held.
	ReadBackNever ReadBack = "never"
)

// BatchLimit bounds the rows of one transaction. A limit of 1 is a baseline of
// the experiments.
type BatchLimit int

// DefaultBatchLimit is above what an entry host claims and records within
// transactionInterval at 70 requests/s, also after a pause of a second.
const DefaultBatchLimit BatchLimit = 64

const (
	// maxBatchBytes bounds the values of one transaction.
	maxBatchBytes = 512 << 10
	// transactionInterval is the mean time between two transactions of one entry host
	// under load: 7 hosts send at most 350 a second, of the several hundred that
	// the table takes.
	transactionInterval = 20 * time.Millisecond
	// transactionBurst is how many transactions may start without that pause, so that
	// the claim and the outcome of a call wait for no batch under light load.
	transactionBurst = 4
	// tryTimeout bounds one transaction.
	tryTimeout = 400 * time.Millisecond
	// claimBudget bounds all tries of a claim. With 45% of the transactions
	// lost, a claim has more than 6 tries in it.
	claimBudget = time.Second
	// firstBackoff and maxBackoff bound the wait after a failed transaction.
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 160 * time.Millisecond
	// probeTimeout bounds one read that tells a lost answer from an outage.
	probeTimeout = 150 * time.Millisecond
	// maxFailedProbes reads in a row must fail after a failed transaction before
	// claims are refused, so that one lost packet refuses nothing.
	maxFailedProbes = 2
	// probePause is the time between these reads; probeInterval is the time
	// between reads once the table is out of reach.
	probePause    = 20 * time.Millisecond
	probeInterval = 200 * time.Millisecond
	// maxPending and maxPendingBytes bound what waits for the table.
	maxPending      = 4096
	maxPendingBytes = 8 << 20
)

// operation is a claim or an outcome that waits for the table.
type operation struct {
	row    string
	expect platform.RowVersion
	record Record
	value  []byte
	// deadline is when a claim is given up; outcomes have none.
	deadline time.Time
	// sent tells that a transaction with it was started, which may still take effect.
	sent     bool
	verdict  task.Reply[Verdict]
	recorded task.Reply[bool]
}

// isClaim tells claims from outcomes.
func (o operation) isClaim() bool { return o.record.State == StateClaimed }

// nextBatch takes operations in order, at most one for each row, because two
// writes of one row in a transaction would replace each other.
func nextBatch(pending []operation, limit BatchLimit) (batch, rest []operation) {
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

// transactionOf builds the transaction of a batch.
func transactionOf(batch []operation) platform.Transaction {
	var transaction platform.Transaction
	for _, next := range batch {
		transaction.Conditions = append(transaction.Conditions, platform.Condition{Key: next.row, Version: next.expect})
		transaction.Writes = append(transaction.Writes, platform.Write{Key: next.row, Value: next.value})
	}
	return transaction
}

// resolution is what follows from the present row of a failed condition.
type resolution struct {
	// again tells that the operation is tried with the condition expect.
	again   bool
	expect  platform.RowVersion
	verdict Verdict
	// recorded tells that the outcome is in the table.
	recorded bool
}

// resolve decides about an operation whose condition did not hold.
func resolve(failed operation, row platform.Row, now time.Time) resolution {
	if row.Version == 0 {
		return resolution{again: true}
	}
	present, err := Decode(row.Value)
	if err != nil {
		return resolution{verdict: Verdict{Fault: outcomeUnknown("its row cannot be read")}}
	}
	if present.ID == failed.record.ID {
		if present.State == failed.record.State {
			return resolution{verdict: Verdict{Held: true, Version: row.Version}, recorded: true}
		}
		// A row of this id in another state than claimed was finished; only an
		// outcome may follow a claim.
		return resolution{again: !failed.isClaim() && present.State == StateClaimed, expect: row.Version,
			verdict: Verdict{Fault: outcomeUnknown("an earlier request with the key has ended")}}
	}
	if failed.isClaim() && present.State == StateReleased {
		return resolution{again: true, expect: row.Version}
	}
	return resolution{verdict: Judge(present, failed.record.BodyHash, now)}
}

// Judge decides about a request whose key another request holds.
func Judge(present Record, bodyHash string, now time.Time) Verdict {
	switch {
	case present.BodyHash != bodyHash:
		return Verdict{Fault: model.NotRun(model.KindConflict, model.ReasonKeyReused,
			"the idempotency key was used for a request with another method, path or body",
			"use a new key for a new request")}
	case present.State == StateDone && present.Answer != nil && !present.Answer.BodyOmitted:
		return Verdict{Answer: present.Answer}
	case present.State == StateDone:
		return Verdict{Fault: answerTooLong()}
	case present.State == StateClaimed && now.Before(present.Until):
		return Verdict{Fault: inProgress()}
	default:
		return Verdict{Fault: outcomeUnknown("the request may have reached a server that did not answer")}
	}
}

func answerTooLong() *model.Fault {
	return &model.Fault{
		Kind: model.KindConflict, Reason: model.ReasonOutcomeUnknown, Executed: model.ExecutedYes,
		Message: "an earlier request with the key was executed and answered; its answer was too long to be recorded (64 KiB)",
		Remedy:  "ask the service for the result; do not send the request with another key",
	}
}

func inProgress() *model.Fault {
	return &model.Fault{
		Kind: model.KindConflict, Reason: model.ReasonKeyInProgress, Executed: model.ExecutedUnknown,
		Message: "a request with the key is in progress", Remedy: "send the request again with the same key after a pause",
		RetryAfter: time.Second,
	}
}

func outcomeUnknown(cause string) *model.Fault {
	return &model.Fault{
		Kind: model.KindUnknown, Reason: model.ReasonOutcomeUnknown, Executed: model.ExecutedUnknown,
		Message: "the outcome of an earlier request with the key is unknown: " + cause,
		Remedy:  "ask the service whether the request took effect before sending it with another key",
	}
}

// outOfReach is the refusal of a keyed call without a claim. It speaks of this
// request only: an earlier one with the same key may have run.
func outOfReach() *model.Fault {
	return model.NotRun(model.KindUnavailable, model.ReasonPlatformUnavailable,
		"the table service cannot be reached, so that the key cannot be claimed; this request did not run, an earlier one with the key may have",
		"repeat it with the key after a pause; if none was sent before, get a ticket with POST /v1/tickets and send it as Idempotency-Key").WithRetryAfter(time.Second)
}

func tooManyClaims() *model.Fault {
	return model.NotRun(model.KindOverloaded, model.ReasonQueueFull,
		"too many claims wait for the table service", "send the request again after a pause").WithRetryAfter(time.Second)
}

// backoff is the wait after this many failed transactions in a row.
func backoff(failures int) time.Duration {
	return min(firstBackoff<<min(failures-1, 8), maxBackoff)
}

// rateBudget limits transactions to one for each transactionInterval, with a
// burst. Free is the time at which the budget is whole again.
type rateBudget struct{ free time.Time }

// wait returns how long the next transaction must wait.
func (b rateBudget) wait(now time.Time) time.Duration {
	return b.free.Add(-(transactionBurst - 1) * transactionInterval).Sub(now)
}

// spend returns the budget after a transaction.
func (b rateBudget) spend(now time.Time) rateBudget {
	if b.free.Before(now) {
		b.free = now
	}
	return rateBudget{free: b.free.Add(transactionInterval)}
}
