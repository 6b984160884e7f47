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
	// connBusy means that the connection is new or that a request is being read
	// or answered.
	connBusy connState = iota
	// connIdle means that the connection waits for the next request.
	connIdle
	// connClosing means that the connection was closed while idle. Bytes that
	// still arrive are discarded.
	connClosing
)

// callerListener accepts callers' connections. After keepIdle has ended, each is
// closed as soon as it is idle.
type callerListener struct {
	net.Listener
	// keepIdle ends when idle connections have to be closed.
	keepIdle context.Context
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &callerConn{Conn: accepted, keepIdle: l.keepIdle}
	conn.detach = context.AfterFunc(l.keepIdle, conn.closeIdle)
	return conn, nil
}

// callerConn is a caller's connection. The server of net/http may close a
// connection as idle after it has read a request but before it has parsed it, and
// then runs that request without being able to respond. Here reading and closing
// exclude each other: a request is either read and answered, or never read.
type callerConn struct {
	net.Conn
	keepIdle context.Context
	detach   func() bool
	state    atomic.Int32
}

// Read implements net.Conn.
func (c *callerConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 && !c.state.CompareAndSwap(connIdle, connBusy) && c.state.Load() == connClosing {
		return 0, net.ErrClosed
	}
	return count, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.detach()
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

// closeIdle closes the connection unless a request is being read or answered.
func (c *callerConn) closeIdle() {
	if c.state.CompareAndSwap(connIdle, connClosing) {
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
	c.state.Store(connIdle)
	if c.keepIdle.Err() != nil {
		c.closeIdle()
	}
}
