package ingress

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/lentilpoint/lentilpoint/task"
)

// callerOutput is the write side of a caller's connection. Only the goroutine of the connection
// uses it. It writes to the socket directly as long as that takes the bytes at once. What it
// does not take of a stream goes to a backlog, so that the server is read meanwhile; an answer,
// whose server is done, waits for its caller.
type callerOutput struct {
	conn net.Conn
	// raw is nil for connections without a descriptor.
	raw      syscall.RawConn
	limits   writeLimits
	holdings task.Mailbox[HoldingMessage]
	// request is the context of the request, which ends when its caller leaves. Cut ends it.
	request context.Context
	cut     context.CancelCauseFunc
	// streaming is set from the head of a stream to its end.
	streaming bool
	// pending is the part of the current event that the socket did not take.
	pending []byte
	backlog *backlog
	failure error

	// tryOnce writes unsent without waiting and sets the result.
	tryOnce func(descriptor uintptr) bool
	unsent  []byte
	sent    int
	sendErr error
}

func newCallerOutput(conn net.Conn) *callerOutput {
	o := &callerOutput{conn: conn, limits: writeLimits{pause: minWritePause}}
	if described, supported := conn.(syscall.Conn); supported {
		// Without a descriptor every write waits with a deadline.
		o.raw, _ = described.SyscallConn()
	}
	o.tryOnce = o.writeDescriptor
	return o
}

// outputOf returns the output of the connection of a request, or nil if it has none.
func outputOf(ctx context.Context) *callerOutput {
	conn, tracked := ctx.Value(connKey{}).(*callerConn)
	if !tracked {
		return nil
	}
	return conn.output
}

// Write implements net.Conn.
func (c *callerConn) Write(data []byte) (int, error) { return c.output.write(data) }

// begin sets the limits of the response to a request. Cut ends the request's context.
func (o *callerOutput) begin(request context.Context, cut context.CancelCauseFunc, limits writeLimits, holdings task.Mailbox[HoldingMessage]) {
	if o != nil {
		o.request, o.cut, o.limits, o.holdings = request, cut, limits, holdings
	}
}

// beginStream makes writes hold what the socket does not take.
func (o *callerOutput) beginStream() {
	if o != nil {
		o.streaming = true
	}
}

func (o *callerOutput) write(data []byte) (int, error) {
	if !o.canWrite() {
		if o.failure != nil {
			return 0, o.failure
		}
		o.pending = append(o.pending, data...)
		return len(data), nil
	}
	count, err := o.writeNow(data)
	if err != nil || count == len(data) {
		return count, err
	}
	if !o.streaming {
		return o.writeWaiting(data, count)
	}
	o.pending = append(o.pending, data[count:]...)
	return len(data), nil
}

// canWrite reports whether the connection's goroutine owns the write side of the socket and
// nothing has to be written first.
func (o *callerOutput) canWrite() bool {
	if o.backlog != nil {
		select {
		case <-o.backlog.done:
			o.endBacklog()
		default:
			return false
		}
	}
	return o.failure == nil && len(o.pending) == 0
}

// endBacklog takes over the socket of a backlog that has ended. After a failure it ends the
// request, so that no further attempt is made for it; the backlog may not have done so yet.
func (o *callerOutput) endBacklog() {
	o.failure, o.backlog = o.backlog.failure, nil
	if o.failure != nil {
		o.cut(o.failure)
	}
}

// writeNow writes what the socket takes without waiting.
func (o *callerOutput) writeNow(data []byte) (int, error) {
	if o.raw == nil {
		return 0, nil
	}
	o.unsent = data
	err := o.raw.Write(o.tryOnce)
	o.unsent = nil
	if err != nil {
		return 0, Error.Wrap(err)
	}
	return o.sent, Error.Wrap(o.sendErr)
}

func (o *callerOutput) writeDescriptor(descriptor uintptr) bool {
	for {
		o.sent, o.sendErr = syscall.Write(int(descriptor), o.unsent)
		if !errors.Is(o.sendErr, syscall.EINTR) {
			break
		}
	}
	o.sent = max(o.sent, 0)
	if errors.Is(o.sendErr, syscall.EAGAIN) {
		o.sendErr = nil
	}
	return true
}

// writeWaiting writes the rest of an answer of which a number of bytes is sent. After
// writeGrace the whole answer counts as held for a slow caller.
func (o *callerOutput) writeWaiting(data []byte, sent int) (int, error) {
	count, err := o.writeWithin(data[sent:], writeGrace)
	sent += count
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = o.writeHeld(data, sent)
		sent = len(data)
	}
	if err != nil {
		o.failure = err
		disconnect(o.conn)
		return 0, err
	}
	return sent, nil
}

func (o *callerOutput) writeWithin(data []byte, grace time.Duration) (int, error) {
	if err := o.conn.SetWriteDeadline(time.Now().Add(grace)); err != nil {
		return 0, Error.Wrap(err)
	}
	count, err := o.conn.Write(data)
	if err != nil {
		return count, err
	}
	return count, Error.Wrap(o.conn.SetWriteDeadline(time.Time{}))
}

// writeHeld writes the rest of an answer to a slow caller, unless its memory is needed.
func (o *callerOutput) writeHeld(data []byte, sent int) error {
	claimed := newClaim(o.holdings, o.limits.organisation)
	defer claimed.release()
	reason := claimed.grow(int64(len(data)))
	if reason == "" {
		written := make(chan error, 1)
		go func() { written <- writeAll(o.conn, data[sent:], o.limits) }()
		select {
		case err := <-written:
			return err
		case reason = <-claimed.evicted:
			disconnect(o.conn)
			<-written
		}
	}
	return &slowCallerError{reason: reason, held: len(data) - sent}
}

// pass hands what the socket did not take of an event to the backlog.
func (o *callerOutput) pass() error {
	if o == nil || len(o.pending) == 0 {
		return nil
	}
	piece := o.pending
	o.pending = nil
	if o.backlog != nil {
		select {
		case o.backlog.pieces <- piece:
			return nil
		case <-o.backlog.done:
			o.endBacklog()
		case <-o.request.Done():
			return Error.Wrap(context.Cause(o.request))
		}
	}
	if o.failure == nil {
		o.backlog = startBacklog(o.conn, o.limits, o.holdings, o.cut, piece)
	}
	return o.failure
}

// finish ends a stream: it waits until the socket has taken all events. The end of the
// response, which net/http writes later, then waits like an answer.
func (o *callerOutput) finish() error {
	if o == nil || !o.streaming {
		return nil
	}
	if err := o.pass(); err != nil {
		return err
	}
	if o.backlog != nil {
		<-o.backlog.done
		o.endBacklog()
	}
	o.streaming = false
	return o.failure
}

// slowCaller returns the error with which this host has disconnected its caller, or nil.
func (o *callerOutput) slowCaller() *slowCallerError {
	if o == nil {
		return nil
	}
	// The result of a backlog that has ended counts too.
	_ = o.canWrite()
	var slow *slowCallerError
	errors.As(o.failure, &slow)
	return slow
}
