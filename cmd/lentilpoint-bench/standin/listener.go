package standin

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("standin")

// loopback lets the kernel choose a port.
const loopback = "127.0.0.1:0"

// endpoint is an HTTP server that can be closed and opened again, and whose
// connections can be made silent. Except for silence, only the task of its stand-in
// uses it.
type endpoint struct {
	// address is loopback until the first open, and then the address bound.
	address string
	handler http.Handler
	// server is nil while the endpoint is closed.
	server *http.Server
	// epoch counts calls of silence. Connections of an older epoch are silent.
	epoch *atomic.Int64
	// pausedUntil is the time in Unix nanoseconds until which no connection passes on
	// data. Nothing is lost.
	pausedUntil *atomic.Int64
}

func newEndpoint(handler http.Handler) (*endpoint, error) {
	endpoint := &endpoint{address: loopback, handler: handler, epoch: new(atomic.Int64), pausedUntil: new(atomic.Int64)}
	return endpoint, endpoint.open()
}

// open starts to serve, on the same address as before if it was open already.
func (e *endpoint) open() error {
	listener, err := listen(e.address)
	if err != nil {
		return Error.Wrap(err)
	}
	e.address = listener.Addr().String()
	server := &http.Server{Handler: e.handler, ReadHeaderTimeout: time.Minute}
	e.server = server
	go func() {
		_ = server.Serve(&silenceableListener{Listener: listener, epoch: e.epoch, pausedUntil: e.pausedUntil})
	}()
	return nil
}

// bindTimeout limits how long listen retries an address that is still in use after
// its socket was closed.
const bindTimeout = 5 * time.Second

func listen(address string) (net.Listener, error) {
	deadline := time.Now().Add(bindTimeout)
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil || address == loopback || time.Now().After(deadline) {
			return listener, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// close closes the socket and all connections, as if the process were killed.
func (e *endpoint) close() {
	if e.server == nil {
		return
	}
	_ = e.server.Close()
	e.server = nil
}

// silence makes all open connections silent permanently. New connections work.
func (e *endpoint) silence() { e.epoch.Add(1) }

// pause keeps the data of all connections, also of new ones, until the time.
func (e *endpoint) pause(until time.Time) { e.pausedUntil.Store(until.UnixNano()) }

type silenceableListener struct {
	net.Listener
	epoch       *atomic.Int64
	pausedUntil *atomic.Int64
}

// Accept implements net.Listener.
func (l *silenceableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &silenceableConn{Conn: conn, epoch: l.epoch, openedEpoch: l.epoch.Load(), pausedUntil: l.pausedUntil}, nil
}

// silenceableConn discards all data in both directions once it is silent, without a
// reset, as when a middlebox has dropped the state of the connection.
type silenceableConn struct {
	net.Conn
	epoch *atomic.Int64
	// openedEpoch is the epoch in which the connection was accepted.
	openedEpoch int64
	pausedUntil *atomic.Int64
}

// waitForPause waits until no pause is in effect.
func (c *silenceableConn) waitForPause() {
	for {
		left := time.Until(time.Unix(0, c.pausedUntil.Load()))
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (c *silenceableConn) silent() bool { return c.epoch.Load() != c.openedEpoch }

// Write implements net.Conn.
func (c *silenceableConn) Write(content []byte) (int, error) {
	c.waitForPause()
	if c.silent() {
		return len(content), nil
	}
	return c.Conn.Write(content)
}

// Read implements net.Conn.
func (c *silenceableConn) Read(buffer []byte) (int, error) {
	for {
		n, err := c.Conn.Read(buffer)
		c.waitForPause()
		if err != nil || !c.silent() {
			return n, err
		}
	}
}
