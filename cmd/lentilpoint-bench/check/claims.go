package check

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/lentilpoint/lentilpoint/entryhost/requests/claims"
)

// Names of the guarantees of idempotency keys.
const (
	// ClaimedTwice counts keys whose history has no order in which each claim
	// finds the key free.
	ClaimedTwice = "claimed_twice"
	// ChangedAnswers are repeats that received another answer than the recorded one.
	ChangedAnswers = "changed_answers"
)

// ClaimOperation is one claim or outcome as its entry host saw it.
type ClaimOperation struct {
	Row string
	ID  string
	// Outcome is empty for a claim.
	Outcome claims.State
	Held    bool
	// Repeated tells that the claim received a recorded answer.
	Repeated bool
	Called   time.Time
	Returned time.Time
	// Certain is false when the outcome may take effect after Returned.
	Certain bool
}

// keyState is the state of one key in the model.
type keyState struct {
	holder string
	state  claims.State
}

// claimModel says that a key is held by one claim at a time, and is free again
// only when that claim released it.
var claimModel = porcupine.Model{
	Init: func() any { return keyState{} },
	Step: stepKey,
}

func stepKey(before, input, _ any) (bool, any) {
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

// checkTimeout bounds the search for an order. A history that is not decided in
// time counts as a violation, so that the check cannot pass unnoticed.
const checkTimeout = 10 * time.Second

// Claims checks that each key was claimed at most once between releases.
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
