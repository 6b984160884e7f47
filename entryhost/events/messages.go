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

// Event is one decision that changes the outcome of a request or a move. Empty
// fields do not apply.
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
	// Cause says in one plain sentence why the decision was taken.
	Cause string `json:"cause,omitempty"`
}

// Recorder accepts events without waiting. When the journal is behind, events
// are dropped and counted.
type Recorder interface {
	Record(event Event)
}

// Discard is a recorder that drops all events.
var Discard Recorder = discard{}

type discard struct{}

// Record implements Recorder.
func (discard) Record(Event) {}

// Query selects events. Empty fields select all.
type Query struct {
	Request      model.RequestID
	Move         model.MoveID
	Organisation model.OrganisationID
	Since        time.Time
	Limit        int
}

// Message is what the journal receives.
type Message interface{ journalMessage() }

// Ask asks the journal for the events that match, oldest first.
type Ask struct {
	Query Query
	Reply task.Reply[[]Event]
}

func (Ask) journalMessage()     {}
func (record) journalMessage()  {}
func (flushed) journalMessage() {}

type record struct{ event Event }

// flushed reports the end of a write to the object store.
type flushed struct {
	count int
	err   error
}
