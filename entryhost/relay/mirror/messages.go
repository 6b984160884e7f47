// Package mirror keeps copies of tables of the platform's store. One follower
// task for each table owns its copy, follows the change feed, and falls back to
// the copies of other entry hosts while the store does not serve this one.
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
}

// Store reads tables of the platform's store.
type Store interface {
	// ReadTable returns all rows of the table's empty partition.
	ReadTable(ctx context.Context, table string) (Snapshot, error)
	// ReadChanges waits until rows changed after the version, at most for wait.
	ReadChanges(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
}

// Peers reads the copies that other entry hosts hold.
type Peers interface {
	// FetchNewer returns a copy that is newer than the version, or one with the
	// same version when no peer has a newer one.
	FetchNewer(ctx context.Context, table string, after uint64) (Snapshot, error)
}

// Current asks a follower for its copy.
type Current struct {
	Reply task.Reply[Snapshot]
}

// currentSize is the capacity of a follower's mailbox; a full one makes peers
// ask another host.
const currentSize = 16

// Subscriber receives each new copy. A full mailbox loses the copy; the
// follower sends the latest one again after subscriberRetry.
type Subscriber = task.Mailbox[Snapshot]
