// Package mirror keeps copies of tables of the platform's store. One follower
// task for each table owns its copy. In each data centre one entry host follows the
// store's change feed and the others follow that host, since each call to the
// store has a price; while the store does not serve a host, it takes newer
// copies from any peer.
package mirror

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("mirror")

// ErrHistoryGone reports that the feed no longer holds the changes after the
// requested version; the table has to be read again.
var ErrHistoryGone = Error.New("the store dropped the history; read the table again")

// Row is one row of a table. Removed rows have no value.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Removed bool
}

// Snapshot is an immutable copy of a table as of a version of the store.
type Snapshot struct {
	Table   string
	Version uint64
	Rows    map[string]Row
	// StoreReturned is when the store last served this host again after an
	// outage; zero if there was none.
	StoreReturned time.Time
}

// Changes are the rows that changed after a version, in order.
type Changes struct {
	Version uint64
	Rows    []Row
	// Whole tells that Rows are all rows of the table, not only changed ones.
	Whole bool
}

// Page is a part of a whole table. Pages are of different moments; the feed goes
// on after the version of the first one.
type Page struct {
	Version uint64
	Rows    []Row
	// Next is the key that the next page begins with, or "" after the last one.
	Next string
}

// Store reads tables of the platform's store.
type Store interface {
	// ReadPage returns rows of the table's empty partition from a key on.
	ReadPage(ctx context.Context, table, from string) (Page, error)
	// ReadChanges waits until rows changed after the version, at most for wait.
	ReadChanges(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
}

// Query asks for what changed in a table after a version.
type Query struct {
	Table string
	After uint64
	// Wait is how long the answer may be held until there is a change.
	Wait time.Duration
}

// Answer is what a follower knows after the version of a query.
type Answer struct {
	Changes Changes
	// StoreAge is the time since the store last served the answering host.
	StoreAge time.Duration
}

// Peers reads the copies that other entry hosts hold.
type Peers interface {
	// Reader returns the host that reads the store for this one, or "" if this
	// host reads it itself. Hosts in the set are passed over.
	Reader(ctx context.Context, avoid map[string]time.Time) string
	// Ask puts the query to one host.
	Ask(ctx context.Context, host string, query Query) (Answer, error)
	// AskAny puts the query to some hosts and returns the newest answer.
	AskAny(ctx context.Context, query Query) (Answer, error)
}

// Question asks a follower for what changed.
type Question struct {
	Query Query
	Reply task.Reply[Answer]
}

// questionsSize is the capacity of a follower's mailbox; a full one makes peers
// ask the store or another host.
const questionsSize = 64

// Subscriber receives each new copy. A full mailbox is tried again after
// subscriberRetry.
type Subscriber = task.Mailbox[Snapshot]
