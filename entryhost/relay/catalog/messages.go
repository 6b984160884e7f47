// Package catalog owns what this host believes of the configuration and the
// registered servers, made from copies of the store's tables.
package catalog

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/mirror"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("catalog")

// View is an immutable statement of what is in force.
type View struct {
	// Config is nil until a configuration was read.
	Config *routing.Config
	// Servers are the registrations that count, newest start of each address.
	Servers routing.Servers
	// Moves are the version moves that the operator ordered, by service.
	Moves map[string]routing.Move
}

// Decoder translates rows of the store into the product's values.
type Decoder interface {
	// Config returns the newest configuration among the operator's rows, or nil.
	Config(rows map[string]mirror.Row) (*routing.Config, error)
	// Moves returns the version moves among the operator's rows.
	Moves(rows map[string]mirror.Row) (map[string]routing.Move, error)
	// Server returns the registration in the row.
	Server(row mirror.Row) (*routing.Server, error)
}

// Current asks for the view in force.
type Current struct {
	Reply task.Reply[*View]
}

const (
	// currentSize is the capacity of the catalog's mailbox; a full one delays a
	// request until its deadline.
	currentSize = 256
	// copiesSize is the capacity for copies of one table; the follower sends the
	// latest copy again when it is full.
	copiesSize = 4
)

// lapseGrace is how long registrations that lapsed while the store was away
// count after its return. Live servers register again within about 2 s.
const lapseGrace = 1800 * time.Millisecond
