package config

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("config")

// ErrUndecodable reports a revision that this version cannot decode. Later
// revisions are not applied.
var ErrUndecodable = errs.Class("config revision undecodable")

// Keys of the table service and names of the object store.
const (
	KeyHead        = "config/head"
	PrefixRevision = "config/rev/"
	// ObjectSnapshot holds the newest snapshot. An older one may replace it in
	// a race, which only makes a cold start read more revisions.
	ObjectSnapshot = "config/snapshot"
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
// are ignored; a gap makes it read the missing ones at once. Reply may be nil;
// it receives the revision in force afterwards.
type Accepted struct {
	Records []RevisionRecord
	// Share makes the store pass the revisions on to peers although this host
	// is no reader. It is set for revisions that were committed on this host.
	Share bool
	Reply task.Reply[model.Revision]
}

// Since asks for what follows a revision.
type Since struct {
	Revision model.Revision
	Reply    task.Reply[Update]
}

// Update is what follows a revision: the records, or the whole configuration
// when the store no longer holds all of them.
type Update struct {
	Records  []RevisionRecord
	Snapshot *model.Configuration
}

// readDone is the result of one read of the table or of peers.
type readDone struct {
	update Update
	// incomplete tells that more revisions follow in the table.
	incomplete bool
	err        error
}

func (Current) storeMessage()  {}
func (Accepted) storeMessage() {}
func (Since) storeMessage()    {}
func (readDone) storeMessage() {}
