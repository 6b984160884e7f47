package ingress

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// connState tells whether a caller's connection may be closed.
type connState = int32

const (
	// connBusy connections are new or have a request that was read in part.
	connBusy connState = iota
	// connIdle connections wait for the next request.
	connIdle
	// connClosing connections were closed while idle. What arrives on them is not
	// read as a request any more.
	connClosing
)

// callerListener makes connections that can be closed while they are idle.
type callerListener struct {
	net.Listener
	// quiet ends when idle connections are to be closed.
	quiet context.Context
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &callerConn{Conn: accepted, quiet: l.quiet}
	conn.release = context.AfterFunc(l.quiet, conn.closeIdle)
	return conn, nil
}

// callerConn is a caller's connection. The server of net/http closes a connection
// as idle although a request was read from it but not parsed yet, and then runs
// that request without a way to answer it. Here a read and a close exclude each
// other: either the request is read and answered, or it is never read.
type callerConn struct {
	net.Conn
	quiet   context.Context
	release func() bool
	state   atomic.Int32
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
	c.release()
	return c.Conn.Close()
}

// CloseWrite lets the server of net/http end an answer to a request that it has
// not read to the end.
func (c *callerConn) CloseWrite() error {
	if half, supported := c.Conn.(interface{ CloseWrite() error }); supported {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

// closeIdle closes the connection unless a request is being read or answered.
func (c *callerConn) closeIdle() {
	if c.state.CompareAndSwap(connIdle, connClosing) {
		// The caller may have closed it already.
		_ = c.Conn.Close()
	}
}

// followState notes when a connection waits for its next request. It is called
// by the server of net/http.
func followState(conn net.Conn, state http.ConnState) {
	c, ours := conn.(*callerConn)
	if !ours || state != http.StateIdle {
		return
	}
	c.state.Store(connIdle)
	if c.quiet.Err() != nil {
		c.closeIdle()
	}
}
