package config

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("config")

// Keys of the table service.
const (
	KeyHead        = "config/head"
	PrefixRevision = "config/rev/"
)

// Change is one step of a revision. Exactly one field is set.
type Change struct {
	PutService         *model.Service       `json:"put_service,omitempty"`
	DeleteService      model.ServiceName    `json:"delete_service,omitempty"`
	PutOrganisation    *model.Organisation  `json:"put_organisation,omitempty"`
	DeleteOrganisation model.OrganisationID `json:"delete_organisation,omitempty"`
	PutMove            *model.Move          `json:"put_move,omitempty"`
}

// RevisionRecord is an immutable accepted revision as kept in the table.
type RevisionRecord struct {
	Revision model.Revision `json:"revision"`
	// ID identifies the commit, to read back the outcome when its answer was lost.
	ID      string    `json:"id"`
	Author  string    `json:"author"`
	At      time.Time `json:"at"`
	Note    string    `json:"note,omitempty"`
	Changes []Change  `json:"changes"`
}

// Message is what the store task receives.
type Message interface{ storeMessage() }

// Current asks for the configuration in force.
type Current struct {
	Reply task.Reply[*model.Configuration]
}

// Accepted delivers accepted revisions in order. Revisions that the store has
// are ignored; a gap makes it read the missing ones from the table.
type Accepted struct {
	Records []RevisionRecord
}

func (Current) storeMessage()  {}
func (Accepted) storeMessage() {}
