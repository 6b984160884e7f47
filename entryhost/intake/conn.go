package intake

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/lentilpoint/lentilpoint/entryhost/memory"
)

// The states of a Conn.
const (
	// connSilent means that no byte was read, and connIdle that an answer was sent and no
	// byte of the next request was read.
	connSilent int32 = iota
	connBusy
	connIdle
	connClosed
)

// errYielded is what net/http reads of a connection that was told to end. After an error
// of a read it does not answer.
var errYielded = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// Listener accepts connections for a server of net/http, which calls TrackState and
// WithConn as its hooks.
type Listener struct {
	net.Listener

	Guard *Guard
	Table *memory.Table
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &Conn{Conn: accepted, gate: NewGate(accepted, l.Guard)}
	l.Table.Admit(conn)
	return conn, nil
}

// Conn is a connection that is closed without a request, or with a request that has not
// run, when others need its place or its memory.
type Conn struct {
	net.Conn

	gate  *Gate
	state atomic.Int32
}

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	if c.gate.HasYielded() {
		return 0, errYielded
	}
	count, err := c.Conn.Read(buffer)
	if count > 0 && (!c.begin() || !c.gate.AdmitBytes(buffer[:count])) {
		return 0, errYielded
	}
	return count, err
}

// begin makes the connection busy. It returns false if it was closed.
func (c *Conn) begin() bool {
	return c.state.CompareAndSwap(connSilent, connBusy) || c.state.CompareAndSwap(connIdle, connBusy) || c.state.Load() == connBusy
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.state.Store(connClosed)
	c.gate.ReleaseAll()
	return c.Conn.Close()
}

// CloseWrite lets net/http finish the response to a request whose body it has not read.
func (c *Conn) CloseWrite() error {
	if half, supported := c.Conn.(interface{ CloseWrite() error }); supported {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

// Ended implements memory.Connection.
func (c *Conn) Ended() bool { return c.state.Load() == connClosed }

// YieldAt implements memory.Connection.
func (c *Conn) YieldAt(stage memory.Stage) bool {
	switch stage {
	case memory.StageSilent:
		return c.closeIf(connSilent)
	case memory.StageHead:
		return c.state.Load() == connBusy && c.gate.YieldHead()
	case memory.StageIdle:
		return c.closeIf(connIdle)
	default:
		return c.gate.YieldBody()
	}
}

func (c *Conn) closeIf(state int32) bool {
	if !c.state.CompareAndSwap(state, connClosed) {
		return false
	}
	_ = c.Conn.Close()
	return true
}

// TrackState is the ConnState hook of the server.
func TrackState(conn net.Conn, state http.ConnState) {
	if c, ours := conn.(*Conn); ours && state == http.StateIdle {
		c.state.CompareAndSwap(connBusy, connIdle)
		c.gate.AwaitHead()
	}
}

type connKey struct{}

// WithConn is the ConnContext hook of the server.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Begin returns the gate of a request, or false if its connection was closed or its head is
// refused and it must not run. A connection of another listener has no bounds.
func Begin(request *http.Request) (*Gate, bool) {
	conn, ours := request.Context().Value(connKey{}).(*Conn)
	if !ours {
		gate := NewGate(nil, nil)
		return gate, gate.BeginBody()
	}
	return conn.gate, conn.begin() && conn.gate.BeginBody() && conn.gate.AdmitHeader(request.Header)
}
