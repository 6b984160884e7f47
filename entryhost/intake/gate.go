// Package intake bounds what a server of net/http reads from one connection: the head before
// it is parsed, and the body before it is kept.
package intake

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/memory"
)

// readStage is what a connection reads. It decides whether its request may still be
// refused: the goroutine of the connection and those that need its memory or its place
// change it by comparing it first, so a request either runs or gives way.
type readStage = int32

const (
	// stageHead is the stage while no request runs.
	stageHead readStage = iota
	// stageBody is the stage from the end of the head to the end of the body.
	stageBody
	// stageRead means that the request is complete.
	stageRead
	// stageYielded means that the request was told to end before it was complete.
	stageYielded
)

// pastDeadline ends a read that waits.
var pastDeadline = time.Unix(1, 0)

// Gate is the part of a connection that claims memory for what is read, and that decides
// whether its request runs or gives way. It implements memory.Claimant.
type Gate struct {
	conn   net.Conn
	guard  *Guard
	stage  atomic.Int32
	holder *memory.Holder
	// claimed is set while the holder may have claims. The connection may be closed by
	// another goroutine than its own.
	claimed atomic.Bool
	// head and headClaimed are those of the head that is being read. Only the goroutine of
	// the connection uses them.
	head        headCounter
	headClaimed int64
}

// NewGate returns the gate of a connection. Without a guard it has no bounds.
func NewGate(conn net.Conn, guard *Guard) *Gate {
	g := &Gate{conn: conn, guard: guard}
	g.holder = memory.NewHolder(g.yield)
	return g
}

// HasYielded reports whether the connection was told to end. net/http may set a new deadline
// after that, so its reads have to ask.
func (g *Gate) HasYielded() bool { return g.stage.Load() == stageYielded }

// BeginBody returns false if the connection was told to end while its head was read.
func (g *Gate) BeginBody() bool { return g.stage.CompareAndSwap(stageHead, stageBody) }

// EndBody returns false if the connection was told to end while its body was read. Of a
// request without a body it is called as well.
func (g *Gate) EndBody() bool { return g.stage.CompareAndSwap(stageBody, stageRead) }

// AwaitHead prepares the connection for its next request once an answer is sent. Until
// then net/http may read the rest of a body.
func (g *Gate) AwaitHead() {
	g.head, g.headClaimed = headCounter{}, 0
	g.holder.Reset()
	// A connection that was told to end stays at its stage, and its next read fails.
	if !g.stage.CompareAndSwap(stageBody, stageHead) {
		g.stage.CompareAndSwap(stageRead, stageHead)
	}
}

// yield ends a request that is not complete. It is what the budget calls.
func (g *Gate) yield() bool { return g.YieldHead() || g.YieldBody() }

// YieldHead refuses a request whose head is being read.
func (g *Gate) YieldHead() bool {
	if !g.stage.CompareAndSwap(stageHead, stageYielded) {
		return false
	}
	g.sendRefusal(responseNoRoom)
	g.Interrupt()
	return true
}

// YieldBody ends the read of a body. The goroutine of the request then refuses it.
func (g *Gate) YieldBody() bool {
	if !g.stage.CompareAndSwap(stageBody, stageYielded) {
		return false
	}
	g.Interrupt()
	return true
}

// Interrupt ends the read that waits. The goroutine of the connection then closes it.
func (g *Gate) Interrupt() { _ = g.conn.SetReadDeadline(pastDeadline) }

// Claim implements memory.Claimant.
func (g *Gate) Claim(bytes int64) bool {
	if g.guard == nil {
		return true
	}
	// Set before the claim, so that a connection that ends meanwhile returns it.
	g.claimed.Store(true)
	return g.guard.budget.ClaimFor(g.holder, bytes)
}

// Release implements memory.Claimant.
func (g *Gate) Release(bytes int64) {
	if g.guard != nil {
		g.guard.budget.ReleaseFor(g.holder, bytes)
	}
}

// Receive implements memory.Claimant.
func (g *Gate) Receive(bytes int) { g.holder.Receive(bytes) }

// ReleaseAll returns what the connection has claimed.
func (g *Gate) ReleaseAll() {
	if g.claimed.Swap(false) {
		g.guard.budget.ReleaseAll(g.holder)
	}
}
