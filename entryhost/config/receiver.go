package config

import (
	"context"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// receiveTimeout bounds the wait of a peer's call for the store.
const receiveTimeout = time.Second

// AcceptArguments are revisions that a peer pushes.
type AcceptArguments struct{ Records []RevisionRecord }

// AcceptAnswer is the revision in force after a push.
type AcceptAnswer struct{ Revision model.Revision }

// SinceArguments ask for what follows a revision.
type SinceArguments struct{ Revision model.Revision }

// SinceAnswer holds records, or an encoded snapshot.
type SinceAnswer struct {
	Records  []RevisionRecord
	Snapshot []byte
}

// Peer answers the calls of other entry hosts. Its methods run in the goroutine
// of a connection and talk to the store by messages.
type Peer struct{ store task.Mailbox[Message] }

// NewPeer returns the receiver for the store with this mailbox.
func NewPeer(store task.Mailbox[Message]) *Peer { return &Peer{store: store} }

// Receiver returns the object under the name that peers call.
func (p *Peer) Receiver() peers.Receiver { return peers.Receiver{Name: receiverName, Object: p} }

// Accept takes pushed revisions.
func (p *Peer) Accept(arguments *AcceptArguments, answer *AcceptAnswer) error {
	ctx, cancel := context.WithTimeout(context.Background(), receiveTimeout)
	defer cancel()
	revision, err := task.Call(ctx, p.store, func(reply task.Reply[model.Revision]) Message {
		return Accepted{Records: arguments.Records, Reply: reply}
	})
	answer.Revision = revision
	return err
}

// Since returns what follows a revision.
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
