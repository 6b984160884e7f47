// Package mirror keeps local copies of tables of the platform's store. Each table
// has one follower task, which owns the copy. One entry host of a region reads the
// store's change feed, one host of each other data centre reads from it, and the
// others read from the host of their data centre, because each call to the store
// has a price. A host that the store does not serve takes newer changes from any
// peer.
package mirror

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("mirror")

// ErrHistoryGone reports that the feed does not hold the changes after the requested
// version, so the whole table has to be read.
var ErrHistoryGone = Error.New("the store does not have the history after the version; read the table again")

// errNewEra reports that the store came back from an older copy while a table was read.
var errNewEra = Error.New("the store came back from an older copy while the table was read; read it again")

// Row is one row of a table. A removed row has no value.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Removed bool
}

// Snapshot is an immutable copy of a table as of a version of the store.
type Snapshot struct {
	Table string
	// Era rises each time the store comes back from an older copy of itself, with which its
	// versions go back. It is 0 if it is not known.
	Era     uint64
	Version uint64
	Rows    map[string]Row
	// StoreRecovered is the end of the last outage of the store for this host that
	// lasted at least minLapseOutage; zero if there was none.
	StoreRecovered time.Time
}

// Changes holds the rows that changed after a version, in order.
type Changes struct {
	// Era is that of the store, or 0 if it is not known.
	Era     uint64
	Version uint64
	Rows    []Row
	// Whole reports that Rows is a full snapshot of the table.
	Whole bool
	// PresentKeys, if set, are the keys of all rows of the table. Rows with other keys
	// have been removed, also those whose removal is not in Rows.
	PresentKeys []string
}

// isComplete reports whether the changes tell all keys of the table.
func (c Changes) isComplete() bool { return c.Whole || len(c.PresentKeys) > 0 }

// Page is one page of a read of a whole table. Pages are read at different
// versions, so the feed has to continue after the version of the first page.
type Page struct {
	// Era is that of the store, or 0 if it is not known.
	Era     uint64
	Version uint64
	Rows    []Row
	// Next is the first key of the next page, or "" after the last page.
	Next string
}

// Store reads tables from the platform's store.
type Store interface {
	// ReadPage returns rows of the table's empty partition, starting at key from.
	ReadPage(ctx context.Context, table, from string) (Page, error)
	// ReadChanges returns the changes after the version. It blocks until there is
	// one, for at most wait.
	ReadChanges(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
}

// Query asks for the changes of a table after a version.
type Query struct {
	Table string
	// Era is the era of After, or 0 if it is not known.
	Era   uint64
	After uint64
	// Wait is how long the follower may hold the reply until there is a change.
	Wait time.Duration
	// AcceptsKeys is set by hosts that read Changes.PresentKeys.
	AcceptsKeys bool
}

// Answer holds a follower's changes after the version of a query.
type Answer struct {
	Changes Changes
	// StoreAge is the time since the store last served the replying host, directly
	// or through other hosts.
	StoreAge time.Duration
	// Unserved is set while the store does not serve the replying host.
	Unserved bool
}

// Peers reads the copies that other entry hosts hold.
type Peers interface {
	// StoreReader returns the host that this one reads from, or "" if this host reads
	// the store itself. Hosts in excluded are skipped. No two hosts may return each
	// other, directly or through others.
	StoreReader(ctx context.Context, excluded map[string]time.Time) string
	// QueryHost sends the query to one host.
	QueryHost(ctx context.Context, host string, query Query) (Answer, error)
	// QueryAny sends the query to several hosts in turn and returns the first answer
	// that is newer than the query, or else the last one.
	QueryAny(ctx context.Context, query Query) (Answer, error)
}

// ChangesRequest asks a follower for the changes after a version.
type ChangesRequest struct {
	Query Query
	Reply task.Reply[Answer]
}

// requestsCapacity is the capacity of a follower's mailbox. Peers whose requests do
// not fit read the store or another host.
const requestsCapacity = 64

// Subscriber receives each new snapshot. Sending to a full mailbox is retried
// after subscriberRetryDelay.
type Subscriber = task.Mailbox[Snapshot]
