package platform

import (
	"context"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/model"
)

// Error is the class of errors of this package.
var Error = errs.Class("platform")

// ErrUnavailable reports that the service could not be reached or did not answer
// in time. A write that fails with it may have taken effect.
var ErrUnavailable = errs.Class("platform unavailable")

// ErrNotFound reports that a row or object does not exist.
var ErrNotFound = errs.Class("platform not found")

// RowVersion counts the writes of a row; 0 means that the row does not exist.
type RowVersion uint64

// Row is one row of the table service.
type Row struct {
	Key     string
	Value   []byte
	Version RowVersion
}

// Condition holds if the row has exactly this version.
type Condition struct {
	Key     string
	Version RowVersion
}

// Write sets or deletes a row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Transaction applies all writes if all conditions hold, and otherwise none.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// TransactResult is the outcome of a transaction.
type TransactResult struct {
	Committed bool
	// Conflicts holds the current rows of the conditions that did not hold.
	Conflicts []Row
	// Versions holds the new versions of the written rows, in order of the writes.
	Versions []RowVersion
}

// Table is the transactional table service. All methods observe the deadline of
// the context and return ErrUnavailable if the outcome is unknown.
type Table interface {
	// Transact commits a transaction. After ErrUnavailable the caller must read the
	// rows back to find out whether it was committed.
	Transact(ctx context.Context, transaction Transaction) (TransactResult, error)
	// Read returns one row, or ErrNotFound.
	Read(ctx context.Context, key string) (Row, error)
	// Scan returns at most limit rows whose keys start with the prefix and are not
	// less than from, in order of key.
	Scan(ctx context.Context, prefix, from string, limit int) ([]Row, error)
}

// Objects is the object store.
type Objects interface {
	// Put stores an object under the name and replaces an existing one.
	Put(ctx context.Context, name string, content []byte) error
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names that start with the prefix, sorted.
	List(ctx context.Context, prefix string) ([]string, error)
}

// HostQuery selects hosts of the list.
type HostQuery struct {
	// DataCentre limits the answer to one data centre; empty means all.
	DataCentre model.DataCentre
	// Known is the tag of the list that the caller already has. A list with this tag
	// is not transferred again.
	Known string
}

// HostAnswer is the answer to a query of the host list.
type HostAnswer struct {
	// Unchanged is true if the list still has the tag HostQuery.Known. Hosts is then
	// empty.
	Unchanged bool
	// Tag identifies the content of the list.
	Tag   string
	Hosts []model.Host
}

// Hosts is the platform's list of live and leaving hosts. It lags behind the
// actual state.
type Hosts interface {
	List(ctx context.Context, query HostQuery) (HostAnswer, error)
}

// RefreshHosts asks the host list task to read the full list with its next poll
// instead of the one that is due.
type RefreshHosts struct{}

// refreshMailboxSize is 1, since requests that arrive before the next poll are
// served by it together. A full mailbox drops the request.
const refreshMailboxSize = 1

// Services bundles the clients of the platform's services.
type Services struct {
	Table
	Objects Objects
	Hosts   Hosts
	// Close closes idle connections.
	Close func()
}
