package peers

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("peers")

// ErrUnreachable reports that a peer is not a member or did not answer.
var ErrUnreachable = errs.Class("peer unreachable")

// FactKind is the kind of a shared fact.
type FactKind string

// The kinds of fact.
const (
	// FactWithdrawal withdraws the new version of a move; the key is the move id.
	FactWithdrawal FactKind = "withdrawal"
	// FactSuspect reports a request that may crash servers; the key is its
	// fingerprint.
	FactSuspect FactKind = "suspect"
	// FactUsage is the number of open requests on an entry host by organisation.
	FactUsage FactKind = "usage"
	// FactEvidence counts the outcomes of a move's new version; the key is the move
	// id and the route.
	FactEvidence FactKind = "evidence"
	// FactRevision is the highest configuration revision of an entry host.
	FactRevision FactKind = "revision"
)

// MaxFactBytes bounds the size of a fact's value. Publish drops a larger fact.
const MaxFactBytes = 256

// Fact is a small piece of state that an entry host shares with the others. Of
// facts with the same kind, key and origin, the one with the highest sequence is
// kept.
type Fact struct {
	Kind     FactKind
	Key      string
	Origin   model.HostID
	Sequence uint64
	Value    []byte
	// Lifetime is how long the fact is kept after its origin last published or
	// refreshed it; 0 means defaultLifetime.
	Lifetime time.Duration
	// Everywhere shares the fact with other data centres as well.
	Everywhere bool
}

// Publish shares a fact. The membership task sets its origin and sequence. If the
// membership mailbox is full, publishers send the fact with their next change.
type Publish struct{ Fact Fact }

// Subscriber receives the facts of some kinds from other hosts. If its mailbox is
// full, the fact is dropped and counted; a later sequence of it is delivered again.
type Subscriber struct {
	Kinds   []FactKind
	Mailbox task.Mailbox[Fact]
}

// Member is a known entry host.
type Member struct {
	ID          model.HostID
	DataCentre  model.DataCentre
	Address     string
	Incarnation model.Incarnation
	// Alive is true if the member was seen recently, or is in another data centre
	// and no call to it has failed recently.
	Alive   bool
	Leaving bool
}

// Members asks for all known members except this host.
type Members struct{ Reply task.Reply[[]Member] }

// Invoke calls a net/rpc method of a peer. Result is a pointer that the link task
// owns until the reply. After a reply with an error the sender must not read it,
// because a late answer may still be written to it.
type Invoke struct {
	Context   context.Context
	Host      model.HostID
	Method    string
	Arguments any
	Result    any
	Reply     task.Reply[error]
}

// Message is a message to the membership task.
type Message interface{ peersMessage() }

func (Publish) peersMessage() {}
func (Members) peersMessage() {}
func (Invoke) peersMessage()  {}

// Receiver is an object whose methods peers may call by net/rpc under the name.
// The methods run in the goroutine of a connection and send messages to tasks.
type Receiver struct {
	Name   string
	Object any
}
