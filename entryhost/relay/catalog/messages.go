// Package catalog owns this host's view of the configuration, the version moves and
// the registered servers. It derives the view from copies of the store's tables.
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

// View is an immutable snapshot of what is in force on this host.
type View struct {
	// Config is nil until a configuration has been read.
	Config *routing.Config
	// Servers holds the valid registrations; of several of a service at one address,
	// only the one that started last, and those that are draining. Superseded holds
	// the others.
	Servers    routing.Servers
	Superseded routing.Servers
	// Moves holds the version moves that the operator ordered, by service.
	Moves map[string]routing.Move
}

// Decoder decodes rows of the store. Errors of Config and Moves name the versions of the
// rows, so that the same error is one about the same rows.
type Decoder interface {
	// Config returns the configuration among the operator's rows, or nil.
	Config(rows map[string]mirror.Row) (*routing.Config, error)
	// Moves returns the version moves among the operator's rows.
	Moves(rows map[string]mirror.Row) (map[string]routing.Move, error)
	// Server returns the registration in the row.
	Server(row mirror.Row) (*routing.Server, error)
}

// ViewRequest asks for the view in force.
type ViewRequest struct {
	Reply task.Reply[*View]
}

const (
	// requestsCapacity is the capacity of the catalog's mailbox. A full mailbox
	// blocks callers until their deadlines.
	requestsCapacity = 256
	// snapshotsCapacity is the capacity for snapshots of one table. The follower
	// retries with the latest snapshot while it is full.
	snapshotsCapacity = 4
)

// lapseGracePeriod is how long registrations that lapsed during an outage of
// the store stay valid after its end. Running servers register again within about
// 2 s.
const lapseGracePeriod = 1800 * time.Millisecond
