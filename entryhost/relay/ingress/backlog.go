package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/lentilpoint/lentilpoint/task"
)

// slowCallerError reports that this host disconnects a caller because it reads too slowly.
type slowCallerError struct {
	reason cutReason
	// held is the number of bytes that the caller had not taken.
	held int
}

// Error implements error.
func (e *slowCallerError) Error() string {
	return fmt.Sprintf("the caller reads too slowly (%s) with %d bytes left; read the response as it arrives", e.reason, e.held)
}

// backlog is the task that writes the events of a stream whose caller's socket does not take
// them at once. While it runs it owns the write side of the socket, and its start and end pass
// that on between it and the goroutine of the connection.
type backlog struct {
	conn   net.Conn
	limits writeLimits
	claim  claim
	// cut ends the request when the caller is disconnected or has left.
	cut context.CancelCauseFunc
	// pieces receives events. It has no buffer, so that each is either received or left to
	// its sender.
	pieces chan []byte
	// done is closed when the socket has taken all, or after a failure, which is set before.
	done    chan struct{}
	failure error

	// The fields below are accessed only by the task's goroutine.
	queued []byte
	// writing are the bytes that are being written.
	writing []byte
	written chan error
}

// startBacklog starts a task that writes the first piece.
func startBacklog(conn net.Conn, limits writeLimits, holdings task.Mailbox[HoldingMessage], cut context.CancelCauseFunc, first []byte) *backlog {
	b := &backlog{
		conn: conn, limits: limits, claim: newClaim(holdings, limits.organisation), cut: cut,
		pieces: make(chan []byte), done: make(chan struct{}), written: make(chan error, 1),
	}
	go b.run(first)
	return b
}

func (b *backlog) run(first []byte) {
	defer b.claim.release()
	b.failure = b.serve(first)
	if slow := (*slowCallerError)(nil); errors.As(b.failure, &slow) {
		slow.held = len(b.queued) + len(b.writing)
	}
	close(b.done)
	if b.failure != nil {
		disconnect(b.conn)
		b.cut(b.failure)
	}
}

// serve returns when all pieces are written, or with the error that ends the response.
func (b *backlog) serve(first []byte) error {
	if err := b.add(first); err != nil {
		return err
	}
	b.writeQueued()
	var full <-chan time.Time
	for {
		pieces := b.pieces
		switch {
		case mayHold(len(b.queued) + len(b.writing)):
			full = nil
		case full == nil:
			full = time.After(maxHoldWait)
		}
		if full != nil {
			pieces = nil
		}
		select {
		case piece := <-pieces:
			if err := b.add(piece); err != nil {
				return err
			}
		case reason := <-b.claim.evicted:
			return &slowCallerError{reason: reason}
		case <-full:
			return &slowCallerError{reason: cutStreamBound}
		case err := <-b.written:
			if err != nil || len(b.queued) == 0 {
				return err
			}
			b.writeQueued()
		}
	}
}

// add queues a piece, or returns an error if the caller has to be disconnected.
func (b *backlog) add(piece []byte) error {
	b.queued = append(b.queued, piece...)
	if reason := b.claim.grow(toBlocks(cap(b.queued) + cap(b.writing))); reason != "" {
		return &slowCallerError{reason: reason}
	}
	return nil
}

// writeQueued writes the first part of what is queued in a goroutine, so that the task can take
// further pieces.
func (b *backlog) writeQueued() {
	size := min(len(b.queued), maxWriteBytes)
	b.writing, b.queued = b.queued[:size:size], b.queued[size:]
	conn, data, limits, written := b.conn, b.writing, b.limits, b.written
	go func() { written <- writeAll(conn, data, limits) }()
}

// writeAll writes data in parts, each within the pause that is granted to the caller.
func writeAll(conn net.Conn, data []byte, limits writeLimits) error {
	for len(data) > 0 {
		deadline, reason := limits.deadline(time.Now())
		if err := conn.SetWriteDeadline(deadline); err != nil {
			return Error.Wrap(err)
		}
		count, err := conn.Write(data[:min(len(data), maxWriteBytes)])
		data = data[count:]
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return &slowCallerError{reason: reason, held: len(data)}
		}
		if err != nil {
			return Error.Wrap(err)
		}
	}
	return Error.Wrap(conn.SetWriteDeadline(time.Time{}))
}

// disconnect closes the connection and discards what its caller has not read. The kernel
// would otherwise keep that for minutes.
func disconnect(conn net.Conn) {
	if lingering, supported := conn.(interface{ SetLinger(seconds int) error }); supported {
		_ = lingering.SetLinger(0)
	}
	_ = conn.Close()
}
