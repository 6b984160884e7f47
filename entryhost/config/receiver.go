package config

import (
	"context"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// receiveTimeout bounds how long a peer's call waits for the store task.
const receiveTimeout = time.Second

// AcceptArguments are the revisions that a peer pushes.
type AcceptArguments struct{ Records []RevisionRecord }

// AcceptAnswer holds the revision in force after a push.
type AcceptAnswer struct{ Revision model.Revision }

// SinceArguments ask for the update that follows a revision.
type SinceArguments struct{ Revision model.Revision }

// SinceAnswer holds the records after a revision, or a snapshot as
// EncodeSnapshot writes it.
type SinceAnswer struct {
	Records  []RevisionRecord
	Snapshot []byte
}

// Peer answers the net/rpc calls of other entry hosts. Its methods run in the
// goroutine of a connection and send messages to the store.
type Peer struct{ store task.Mailbox[Message] }

// NewPeer returns the receiver for the store with this mailbox.
func NewPeer(store task.Mailbox[Message]) *Peer { return &Peer{store: store} }

// Receiver returns the peer as a net/rpc receiver with the name that peers call.
func (p *Peer) Receiver() peers.Receiver { return peers.Receiver{Name: receiverName, Object: p} }

// Accept passes pushed revisions to the store.
func (p *Peer) Accept(arguments *AcceptArguments, answer *AcceptAnswer) error {
	ctx, cancel := context.WithTimeout(context.Background(), receiveTimeout)
	defer cancel()
	revision, err := task.Call(ctx, p.store, func(reply task.Reply[model.Revision]) Message {
		return Accepted{Records: arguments.Records, Reply: reply}
	})
	answer.Revision = revision
	return err
}

// Since returns the update that follows a revision.
func (p *Peer) Since(arguments *SinceArguments, answer *SinceAnswer) error {
	ctx, cancel := context.WithTimeout(context.Background(), receiveTimeout)
	defer cancel()
	update, err := task.Call(ctx, p.store, func(reply task.Reply[Update]) Message {
		return Since{Revision: arguments.Revision, Reply: reply}
	})
	if err != nil {
		return err
	}
	answer.Records = update.Records
	if update.Snapshot != nil && update.Snapshot.Revision > arguments.Revision {
		answer.Snapshot, err = EncodeSnapshot(update.Snapshot)
	}
	return err
}
