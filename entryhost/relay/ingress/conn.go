package ingress

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/lentilpoint/lentilpoint/entryhost/intake"
	"github.com/lentilpoint/lentilpoint/entryhost/memory"
)

// connState is the state of a caller's connection, which decides whether it may
// be closed.
type connState = int32

const (
	// connNew means that no byte of a first request was read.
	connNew connState = iota
	// connBusy means that a request is being read or answered.
	connBusy
	// connAnswered means that the last answer is sent and net/http has not asked for more
	// bytes. Its buffer may hold the next request, so the connection is not closed.
	connAnswered
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
	// busy is the number of connections with a request that is being read or answered, or
	// that may be in the buffer of net/http.
	busy *atomic.Int64
	// guard bounds the heads and bodies, and table the connections. They are nil without
	// bounds.
	guard *intake.Guard
	table *memory.Table
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := l.track(accepted)
	if l.table != nil {
		l.table.Admit(conn)
	}
	return conn, nil
}

// track returns a connection whose state is tracked.
func (l callerListener) track(accepted net.Conn) *callerConn {
	conn := &callerConn{
		Conn: accepted, keepIdle: l.keepIdle, keepNew: l.keepNew, busy: l.busy,
		output: newCallerOutput(accepted), gate: intake.NewGate(accepted, l.guard),
	}
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
	keepNew  context.Context
	busy     *atomic.Int64
	detach   func()
	state    atomic.Int32
	// readAhead is set once a byte of the next request was read during an answer.
	readAhead atomic.Bool
	output    *callerOutput
	// gate bounds what is read.
	gate *intake.Gate
}

// errNotBegun is what net/http reads instead of a request that arrives while its
// connection is closed. After any error but one of a read, net/http answers with 400.
var errNotBegun = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// Read implements net.Conn.
func (c *callerConn) Read(buffer []byte) (int, error) {
	c.awaitRequest()
	if c.gate.HasYielded() {
		return 0, errNotBegun
	}
	count, err := c.Conn.Read(buffer)
	if count > 0 && !c.beginRequest() {
		return 0, errNotBegun
	}
	if count > 0 && len(buffer) == 1 {
		// net/http reads with a larger buffer except during an answer, when it reads one
		// byte ahead to notice that the caller leaves.
		c.readAhead.Store(true)
	}
	if !c.gate.AdmitBytes(buffer[:count]) {
		return 0, errNotBegun
	}
	return count, err
}

// awaitRequest makes an answered connection idle, since net/http asks for bytes of the
// next request only if it holds none of it, and closes it if it has to be closed.
func (c *callerConn) awaitRequest() {
	if c.state.Load() != connAnswered {
		return
	}
	if c.readAhead.Swap(false) {
		c.state.CompareAndSwap(connAnswered, connBusy)
		return
	}
	if c.state.CompareAndSwap(connAnswered, connIdle) {
		c.busy.Add(-1)
	}
	if c.keepIdle.Err() != nil {
		c.closeIdle()
	}
}

// beginRequest makes the connection busy and returns false if it is closed or has to be.
// A handler calls it too: a request that its caller sent together with the one before
// is in the buffer of net/http already and is not read again.
func (c *callerConn) beginRequest() bool {
	if c.state.CompareAndSwap(connAnswered, connBusy) {
		return true
	}
	// The connection counts before the contexts are checked. So a drain that ends them
	// and then finds none busy knows that no further request begins, although the
	// callbacks that close the connections may not have run yet.
	c.busy.Add(1)
	if c.beginFrom(connNew, c.keepNew) || c.beginFrom(connIdle, c.keepIdle) {
		return true
	}
	c.busy.Add(-1)
	return c.state.Load() == connBusy
}

// beginFrom makes a connection in the state busy unless it has to be closed.
func (c *callerConn) beginFrom(state connState, keep context.Context) bool {
	return keep.Err() == nil && c.state.CompareAndSwap(state, connBusy)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.detach()
	c.gate.ReleaseAll()
	if former := c.state.Swap(connClosing); former == connBusy || former == connAnswered {
		c.busy.Add(-1)
	}
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

// Ended implements memory.Connection.
func (c *callerConn) Ended() bool { return c.state.Load() == connClosing }

// YieldAt implements memory.Connection.
func (c *callerConn) YieldAt(stage memory.Stage) bool {
	switch stage {
	case memory.StageSilent:
		return c.closeIf(connNew)
	case memory.StageHead:
		return c.state.Load() == connBusy && c.gate.YieldHead()
	case memory.StageIdle:
		return c.closeIf(connIdle)
	default:
		return c.gate.YieldBody()
	}
}

// closeIdle closes the connection if it waits for its next request.
func (c *callerConn) closeIdle() { _ = c.closeIf(connIdle) }

// closeNew closes the connection if it waits for its first request.
func (c *callerConn) closeNew() { _ = c.closeIf(connNew) }

// closeIf closes the connection if it is in the state, and reports whether it was.
func (c *callerConn) closeIf(state connState) bool {
	if !c.state.CompareAndSwap(state, connClosing) {
		return false
	}
	// The error does not matter: the caller may have closed the connection.
	_ = c.Conn.Close()
	return true
}

// trackConnState records when an answer is sent. It is the ConnState hook of the
// server of net/http, which calls a connection idle also while its buffer holds the
// next request.
func trackConnState(conn net.Conn, state http.ConnState) {
	if c, ours := conn.(*callerConn); ours && state == http.StateIdle {
		c.state.CompareAndSwap(connBusy, connAnswered)
		c.gate.AwaitHead()
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
// its connection was closed or its head is refused.
func beginRequest(request *http.Request) bool {
	conn, tracked := request.Context().Value(connKey{}).(*callerConn)
	return !tracked || conn.beginRequest() && conn.gate.BeginBody() && conn.gate.AdmitHeader(request.Header)
}

// gateOf returns the gate of a request's connection. One that is not tracked, as that of
// another server, has no bounds.
func gateOf(ctx context.Context) *intake.Gate {
	if conn, tracked := ctx.Value(connKey{}).(*callerConn); tracked {
		return conn.gate
	}
	gate := intake.NewGate(nil, nil)
	gate.BeginBody()
	return gate
}
