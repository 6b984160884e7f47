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

// FactKind says what a shared fact is about.
type FactKind string

// The kinds of fact.
const (
	// FactWithdrawal takes traffic from a version; the key is the move id.
	FactWithdrawal FactKind = "withdrawal"
	// FactSuspect names a request that may crash servers; the key is its fingerprint.
	FactSuspect FactKind = "suspect"
	// FactUsage is an entry host's open requests by organisation.
	FactUsage FactKind = "usage"
	// FactEvidence counts outcomes of a version that moves; the key is the move id and route.
	FactEvidence FactKind = "evidence"
	// FactRevision is the highest configuration revision of an entry host.
	FactRevision FactKind = "revision"
)

// MaxFactBytes bounds the value of one fact.
const MaxFactBytes = 256

// Fact is a small piece of state that an entry host shares with the others. A
// newer sequence of the same kind, key and origin replaces an older one.
type Fact struct {
	Kind     FactKind
	Key      string
	Origin   model.HostID
	Sequence uint64
	Value    []byte
	// Lifetime is how long the fact holds after its origin last published it.
	Lifetime time.Duration
	// Everywhere shares the fact with other data centres too.
	Everywhere bool
}

// Publish shares a fact. The membership task sets origin and sequence. A full
// mailbox returns ErrMailboxFull; publishers try again with the next change.
type Publish struct{ Fact Fact }

// Subscriber receives the facts of some kinds from other hosts. A full mailbox
// drops the fact and counts it; the next round brings it again if it changed.
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
	// Alive tells that the member was heard of recently.
	Alive   bool
	Leaving bool
}

// Members asks the membership task for all known members except this host.
type Members struct{ Reply task.Reply[[]Member] }

// Invoke calls a net/rpc method of a peer. Result is a pointer that belongs to
// the link task; the sender reads it only after a reply without an error, as a
// late answer may still be written to it otherwise.
type Invoke struct {
	Context   context.Context
	Host      model.HostID
	Method    string
	Arguments any
	Result    any
	Reply     task.Reply[error]
}

// Message is what the membership task receives.
type Message interface{ peersMessage() }

func (Publish) peersMessage() {}
func (Members) peersMessage() {}
func (Invoke) peersMessage()  {}

// Receiver is an object whose methods peers may call by net/rpc under the name.
// Its methods run in the goroutine of a connection and talk to tasks by messages.
type Receiver struct {
	Name   string
	Object any
}
