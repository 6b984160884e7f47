package platform

import (
	"context"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/model"
)

// Error is the class of errors of this package.
var Error = errs.Class("platform")

// ErrUnavailable reports that the service could not be reached or answered too
// late. A write that ends with it may have taken effect.
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

// Condition holds when the row has exactly this version.
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

// Transaction applies all writes if all conditions hold, else none.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// TransactResult says whether the transaction was committed. If it was not,
// Conflicts holds the present rows of the failed conditions.
type TransactResult struct {
	Committed bool
	Conflicts []Row
	// Versions are the new versions of the written rows, in order.
	Versions []RowVersion
}

// Table is the transactional table service. All methods observe the context's
// deadline and return ErrUnavailable when the outcome is not known.
type Table interface {
	// Transact commits a transaction. After ErrUnavailable the caller reads the
	// rows back to learn the outcome.
	Transact(ctx context.Context, transaction Transaction) (TransactResult, error)
	// Read returns one row, or ErrNotFound.
	Read(ctx context.Context, key string) (Row, error)
	// Scan returns the rows whose keys start with the prefix and are at least
	// from, in order of key, at most limit of them.
	Scan(ctx context.Context, prefix, from string, limit int) ([]Row, error)
}

// Objects is the object store.
type Objects interface {
	// Put stores an object under the name, replacing an earlier one.
	Put(ctx context.Context, name string, content []byte) error
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names that start with the prefix, in order.
	List(ctx context.Context, prefix string) ([]string, error)
}

// HostQuery selects hosts of the list.
type HostQuery struct {
	// DataCentre limits the answer to one data centre; empty means all.
	DataCentre model.DataCentre
	// Known is the tag of the list that the caller has; an unchanged list is not
	// sent again.
	Known string
}

// HostAnswer is the answer to a query of the host list.
type HostAnswer struct {
	// Unchanged tells that the list still has the tag that the caller knew.
	Unchanged bool
	Tag       string
	Hosts     []model.Host
}

// Hosts is the lagging list of live and leaving hosts.
type Hosts interface {
	List(ctx context.Context, query HostQuery) (HostAnswer, error)
}

// Services are the services of the platform. It is a Table itself.
type Services struct {
	Table
	Objects Objects
	Hosts   Hosts
	// Close closes idle connections.
	Close func()
}
