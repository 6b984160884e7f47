package config

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("config")

// ErrUndecodable reports a revision that this version of the daemon cannot
// decode. Neither it nor any later revision is applied.
var ErrUndecodable = errs.Class("config revision undecodable")

// Keys of the table service and names of the object store.
const (
	KeyHead        = "config/head"
	PrefixRevision = "config/rev/"
	// ObjectSnapshot holds the newest snapshot. Two writers may race and leave an
	// older one, which only makes a cold start read more revisions.
	ObjectSnapshot = "config/snapshot"
)

// Change puts or deletes one object of the configuration. Exactly one field is
// set.
type Change struct {
	PutService         *model.Service       `json:"put_service,omitempty"`
	DeleteService      model.ServiceName    `json:"delete_service,omitempty"`
	PutOrganisation    *model.Organisation  `json:"put_organisation,omitempty"`
	DeleteOrganisation model.OrganisationID `json:"delete_organisation,omitempty"`
	PutMove            *model.Move          `json:"put_move,omitempty"`
}

// RevisionRecord is an accepted revision as stored in the table. It is immutable.
type RevisionRecord struct {
	Revision model.Revision `json:"revision"`
	// ID identifies the commit, so that its outcome can be read back when the
	// answer was lost.
	ID      string    `json:"id"`
	Author  string    `json:"author"`
	At      time.Time `json:"at"`
	Note    string    `json:"note,omitempty"`
	Changes []Change  `json:"changes"`
}

// Message is a message to the store task.
type Message interface{ storeMessage() }

// Current asks for the configuration in force.
type Current struct {
	Reply task.Reply[*model.Configuration]
}

// Accepted delivers accepted revisions in order. The store ignores revisions that
// are in force already, and reads missing ones from the table at once. Reply may
// be nil; it receives the revision in force afterwards.
type Accepted struct {
	Records []RevisionRecord
	// PushToPeers makes the store push the revisions to peers even if this host is not
	// a reader. It is set for revisions that were committed on this host.
	PushToPeers bool
	Reply       task.Reply[model.Revision]
}

// Since asks for the update that follows a revision.
type Since struct {
	Revision model.Revision
	Reply    task.Reply[Update]
}

// Update brings a configuration up to date: the records after its revision, a
// whole configuration where the records are not available, or both.
type Update struct {
	Records  []RevisionRecord
	Snapshot *model.Configuration
}

// readDone is the result of one read of the table or of peers.
type readDone struct {
	update Update
	// incomplete is true if more revisions may follow in the table.
	incomplete bool
	err        error
}

func (Current) storeMessage()  {}
func (Accepted) storeMessage() {}
func (Since) storeMessage()    {}
func (readDone) storeMessage() {}
