package claims

import (
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("claims")

// MaxAnswerBytes bounds the body of a recorded answer. A larger answer is
// recorded as done without its body, because rows of that size fill up a
// transaction.
const MaxAnswerBytes = 64 << 10

// State is the state of a key.
type State string

// The states of a key.
const (
	// StateClaimed means that a call with the key may be in progress.
	StateClaimed State = "claimed"
	// StateDone means that a server answered; the answer is recorded.
	StateDone State = "done"
	// StateUnknown means that the call may have reached a server that did not answer.
	StateUnknown State = "unknown"
	// StateReleased means that the call certainly reached no server. The row
	// stays, so that its version never returns to an earlier value and a delayed
	// transaction cannot match it.
	StateReleased State = "released"
)

// Answer is the recorded answer of a server.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// BodyOmitted means that the body was too long to be recorded.
	BodyOmitted bool `json:"body_omitted,omitempty"`
}

// Record is the content of a key's row.
type Record struct {
	// ID identifies the claim; it is unique for each request.
	ID          string            `json:"id"`
	BodyHash    string            `json:"body_hash"`
	Host        model.HostID      `json:"host"`
	Incarnation model.Incarnation `json:"incarnation"`
	State       State             `json:"state"`
	// Until is the time by which the call has ended. A claim that is still open
	// after it belongs to an entry host that died, so that its outcome stays
	// unknown.
	Until  time.Time `json:"until"`
	Answer *Answer   `json:"answer,omitempty"`
}

// Identity identifies one incarnation of an entry host.
type Identity struct {
	Host        model.HostID
	Incarnation model.Incarnation
}

// AcquireResult is the result of acquiring a key. Exactly one of Held, Answer
// and Fault is set.
type AcquireResult struct {
	// Held permits dispatching the call, whose outcome must be reported then.
	Held bool
	// Version is the version of the held row.
	Version platform.RowVersion
	// Answer is the recorded answer to an earlier request with the key.
	Answer *Answer
	Fault  *model.Fault
}

// Claim requests a key. The writer replies by the deadline or after
// claimTimeout, whichever is earlier, plus the time of the transaction in
// flight.
type Claim struct {
	Row      string
	Record   Record
	Deadline time.Time
	Reply    task.Reply[AcquireResult]
}

// RecordOutcome records the outcome of a held key: StateDone, StateUnknown or
// StateReleased. The reply is true if the outcome is in the table.
type RecordOutcome struct {
	Row     string
	Version platform.RowVersion
	Record  Record
	Reply   task.Reply[bool]
}

// Message is a message to the writer.
type Message interface{ claimsMessage() }

func (Claim) claimsMessage()         {}
func (RecordOutcome) claimsMessage() {}

// transactDone is the result of one transaction.
type transactDone struct {
	batch  []operation
	result platform.TransactResult
	err    error
}

// probeDone is the result of a read that checks whether the table responds.
type probeDone struct{ err error }
