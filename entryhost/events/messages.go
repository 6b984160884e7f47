package events

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("events")

// Event is one decision that changes the outcome of a request or a move. Fields
// that do not apply are empty.
type Event struct {
	At           time.Time            `json:"at"`
	Host         model.HostID         `json:"host,omitempty"`
	Code         eventcode.Code       `json:"code"`
	Request      model.RequestID      `json:"request,omitempty"`
	Move         model.MoveID         `json:"move,omitempty"`
	Organisation model.OrganisationID `json:"organisation,omitempty"`
	Service      model.ServiceName    `json:"service,omitempty"`
	Server       model.ServerID       `json:"server,omitempty"`
	Version      model.Version        `json:"version,omitempty"`
	Attempt      int                  `json:"attempt,omitempty"`
	Tokens       int                  `json:"tokens,omitempty"`
	Reason       model.Reason         `json:"reason,omitempty"`
	// Cause is one plain sentence that says why the decision was made.
	Cause string `json:"cause,omitempty"`
}

// Recorder records events.
type Recorder interface {
	// Record does not block. If the mailbox of the journal is full, the event is
	// dropped and counted.
	Record(event Event)
}

// Discard is a recorder that drops all events.
var Discard Recorder = discardRecorder{}

type discardRecorder struct{}

// Record implements Recorder.
func (discardRecorder) Record(Event) {}

// Query selects events. An empty field matches all events, and Limit 0 means that
// the number of events is not limited.
type Query struct {
	Request      model.RequestID
	Move         model.MoveID
	Organisation model.OrganisationID
	Since        time.Time
	Limit        int
}

// Message is a message to the journal task.
type Message interface{ journalMessage() }

// Select asks the journal for the matching events in its ring, oldest first.
type Select struct {
	Query Query
	Reply task.Reply[[]Event]
}

func (Select) journalMessage()      {}
func (recordEvent) journalMessage() {}
func (flushResult) journalMessage() {}

type recordEvent struct{ event Event }

// flushResult reports the result of writing count events to the object store.
type flushResult struct {
	count int
	err   error
}
