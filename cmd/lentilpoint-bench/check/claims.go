package check

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/lentilpoint/lentilpoint/entryhost/requests/claims"
)

// The violations of the guarantees of idempotency keys.
const (
	// ClaimedTwice counts keys whose history has no order in which each claim
	// finds the key free.
	ClaimedTwice = "claimed_twice"
	// ChangedAnswers counts repeats that received another answer than the
	// recorded one.
	ChangedAnswers = "changed_answers"
)

// ClaimOperation is one claim of a key, or one write of a claim's outcome, as
// its entry host observed it.
type ClaimOperation struct {
	// Row is the table row of the key.
	Row string
	// ID identifies the claim.
	ID string
	// Outcome is the state that was written; empty for a claim.
	Outcome claims.State
	// Held is true if the claim acquired the key.
	Held bool
	// Repeated is true if the claim received a recorded answer.
	Repeated bool
	// Called and Returned bound the time in which the operation took effect.
	Called   time.Time
	Returned time.Time
	// Certain is false if the operation may take effect after Returned.
	Certain bool
}

// keyState is the state of one key in claimModel. An empty holder means that
// the key is free.
type keyState struct {
	holder string
	state  claims.State
}

// claimModel is the sequential specification of a key: one claim holds it at a
// time, and it becomes free only when that claim releases it.
var claimModel = porcupine.Model{
	Init: func() any { return keyState{} },
	Step: stepClaim,
}

func stepClaim(before, input, _ any) (bool, any) {
	key := before.(keyState)
	operation := input.(ClaimOperation)
	switch {
	case operation.Outcome != "" && key.holder != operation.ID:
		return false, key
	case operation.Outcome == claims.StateReleased:
		return true, keyState{}
	case operation.Outcome != "":
		return true, keyState{holder: key.holder, state: operation.Outcome}
	case operation.Held:
		return key.holder == "", keyState{holder: operation.ID, state: claims.StateClaimed}
	case operation.Repeated:
		return key.state == claims.StateDone, key
	default:
		return true, key
	}
}

// checkTimeout bounds the search for a valid order of the operations. A history
// that is undecided by then counts as a violation, so that an incomplete check
// never passes.
const checkTimeout = 10 * time.Second

// Claims checks that each key was acquired at most once between releases.
func Claims(history []ClaimOperation) Violations {
	violations := Violations{}
	rows := make(map[string][]porcupine.Operation)
	for i, operation := range history {
		returned := operation.Returned.UnixNano()
		if !operation.Certain {
			returned = math.MaxInt64
		}
		rows[operation.Row] = append(rows[operation.Row], porcupine.Operation{
			ClientId: i, Input: operation, Call: operation.Called.UnixNano(), Return: returned,
		})
	}
	for _, row := range rows {
		if porcupine.CheckOperationsTimeout(claimModel, row, checkTimeout) != porcupine.Ok {
			violations[ClaimedTwice]++
		}
	}
	return violations
}
