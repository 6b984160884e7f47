package ingress

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// connState is the state of a caller's connection, which decides whether it may
// be closed.
type connState = int32

const (
	// connNew means that no byte of a first request was read.
	connNew connState = iota
	// connBusy means that a request is being read or answered.
	connBusy
	// connIdle means that the connection waits for the next request.
	connIdle
	// connClosing means that the connection was closed while no request was being read
	// or answered. Bytes that still arrive are discarded.
	connClosing
)

// callerListener accepts callers' connections. After keepIdle has ended, each is
// closed as soon as it is idle.
type callerListener struct {
	net.Listener
	// keepIdle ends when idle connections have to be closed, and keepNew when those
	// without a first request have to be closed too.
	keepIdle context.Context
	keepNew  context.Context
	// busy is the number of connections with a request that is being read or answered.
	busy *atomic.Int64
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.track(accepted), nil
}

// track returns a connection whose state is tracked.
func (l callerListener) track(accepted net.Conn) *callerConn {
	conn := &callerConn{Conn: accepted, keepIdle: l.keepIdle, busy: l.busy}
	stopIdle := context.AfterFunc(l.keepIdle, conn.closeIdle)
	stopNew := context.AfterFunc(l.keepNew, conn.closeNew)
	conn.detach = func() { stopIdle(); stopNew() }
	return conn
}

// callerConn is a caller's connection. The server of net/http may close a
// connection as idle after it has read a request but before it has parsed it, and
// then runs that request without being able to respond. Here reading and closing
// exclude each other: a request is either read and answered, or never read.
type callerConn struct {
	net.Conn
	keepIdle context.Context
	busy     *atomic.Int64
	detach   func()
	state    atomic.Int32
}

// Read implements net.Conn.
func (c *callerConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 && !c.beginRequest() {
		return 0, net.ErrClosed
	}
	return count, err
}

// beginRequest makes the connection busy and returns false if it was closed before.
// A handler calls it too: a request that its caller sent together with the one before
// is in the buffer of net/http already and is not read again.
func (c *callerConn) beginRequest() bool {
	if c.state.CompareAndSwap(connNew, connBusy) || c.state.CompareAndSwap(connIdle, connBusy) {
		c.busy.Add(1)
	}
	return c.state.Load() != connClosing
}

// endRequest gives the connection a state in which no request is being read or
// answered.
func (c *callerConn) endRequest(state connState) {
	if c.state.Swap(state) == connBusy {
		c.busy.Add(-1)
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.detach()
	c.endRequest(connClosing)
	return c.Conn.Close()
}

// CloseWrite lets the server of net/http finish the response to a request whose
// body it has not read completely.
func (c *callerConn) CloseWrite() error {
	if half, supported := c.Conn.(interface{ CloseWrite() error }); supported {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

// closeIdle closes the connection if it waits for its next request.
func (c *callerConn) closeIdle() { c.closeIf(connIdle) }

// closeNew closes the connection if it waits for its first request.
func (c *callerConn) closeNew() { c.closeIf(connNew) }

func (c *callerConn) closeIf(state connState) {
	if c.state.CompareAndSwap(state, connClosing) {
		// The error does not matter: the caller may have closed the connection.
		_ = c.Conn.Close()
	}
}

// trackConnState records when a connection becomes idle. It is the ConnState
// hook of the server of net/http.
func trackConnState(conn net.Conn, state http.ConnState) {
	c, ours := conn.(*callerConn)
	if !ours || state != http.StateIdle {
		return
	}
	c.endRequest(connIdle)
	if c.keepIdle.Err() != nil {
		c.closeIdle()
	}
}

// connKey is the key of the caller's connection in the context of a request.
type connKey struct{}

// withConn adds the caller's connection to the contexts of its requests. It is the
// ConnContext hook of the server of net/http.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// beginRequest reports whether a request that was read may run, which it may not if
// its connection was closed.
func beginRequest(ctx context.Context) bool {
	conn, tracked := ctx.Value(connKey{}).(*callerConn)
	return !tracked || conn.beginRequest()
}
