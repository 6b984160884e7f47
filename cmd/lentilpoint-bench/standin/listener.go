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

// loopback is where stand-ins listen when no address is given.
const loopback = "127.0.0.1:0"

// endpoint is an HTTP server whose connections can be cut or made silent. The
// owner is one stand-in task.
type endpoint struct {
	address string
	handler http.Handler
	server  *http.Server
	// epoch counts calls of silence; a connection of an older epoch is silent.
	epoch *atomic.Int64
}

func newEndpoint(handler http.Handler) (*endpoint, error) {
	endpoint := &endpoint{address: loopback, handler: handler, epoch: new(atomic.Int64)}
	return endpoint, endpoint.open()
}

// open starts to listen, on the same address as before if there was one.
func (e *endpoint) open() error {
	listener, err := listen(e.address)
	if err != nil {
		return Error.Wrap(err)
	}
	e.address = listener.Addr().String()
	server := &http.Server{Handler: e.handler, ReadHeaderTimeout: time.Minute}
	e.server = server
	go func() { _ = server.Serve(&silenceableListener{Listener: listener, epoch: e.epoch}) }()
	return nil
}

// bindTimeout bounds the wait for an address that was in use a moment ago.
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

// cut closes the socket and all connections, as the death of a process does.
func (e *endpoint) cut() {
	if e.server == nil {
		return
	}
	_ = e.server.Close()
	e.server = nil
}

// silence makes the open connections silent for good; new ones work.
func (e *endpoint) silence() { e.epoch.Add(1) }

type silenceableListener struct {
	net.Listener
	epoch *atomic.Int64
}

// Accept implements net.Listener.
func (l *silenceableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &silenceableConn{Conn: conn, epoch: l.epoch, born: l.epoch.Load()}, nil
}

// silenceableConn drops what is written and read once it is silent, as if a
// device between the two ends had lost track of the connection.
type silenceableConn struct {
	net.Conn
	epoch *atomic.Int64
	born  int64
}

func (c *silenceableConn) silent() bool { return c.epoch.Load() != c.born }

// Write implements net.Conn.
func (c *silenceableConn) Write(content []byte) (int, error) {
	if c.silent() {
		return len(content), nil
	}
	return c.Conn.Write(content)
}

// Read implements net.Conn.
func (c *silenceableConn) Read(buffer []byte) (int, error) {
	for {
		n, err := c.Conn.Read(buffer)
		if err != nil || !c.silent() {
			return n, err
		}
	}
}
