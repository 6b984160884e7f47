package ingress

import (
	"context"
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

// beginBody returns false if the connection was told to end while its head was read.
func (c *callerConn) beginBody() bool { return c.stage.CompareAndSwap(stageHead, stageBody) }

// endBody returns false if the connection was told to end while its body was read. Of a
// request without a body it is called as well.
func (c *callerConn) endBody() bool { return c.stage.CompareAndSwap(stageBody, stageRead) }

// awaitHead prepares the connection for its next request once an answer is sent. Until
// then net/http may read the rest of a body.
func (c *callerConn) awaitHead() {
	c.head, c.headClaimed = headCounter{}, 0
	c.holder.Reset()
	// A connection that was told to end stays at its stage, and its next read fails.
	if !c.stage.CompareAndSwap(stageBody, stageHead) {
		c.stage.CompareAndSwap(stageRead, stageHead)
	}
}

// Ended implements memory.Connection.
func (c *callerConn) Ended() bool { return c.state.Load() == connClosing }

// YieldAt implements memory.Connection.
func (c *callerConn) YieldAt(stage memory.Stage) bool {
	switch stage {
	case memory.StageSilent:
		return c.closeIf(connNew)
	case memory.StageHead:
		return c.state.Load() == connBusy && c.yieldHead()
	case memory.StageIdle:
		return c.closeIf(connIdle)
	default:
		return c.yieldBody()
	}
}

// yield ends a request that is not complete. It is what the budget calls.
func (c *callerConn) yield() bool { return c.yieldHead() || c.yieldBody() }

// yieldHead refuses a request whose head is being read.
func (c *callerConn) yieldHead() bool {
	if !c.stage.CompareAndSwap(stageHead, stageYielded) {
		return false
	}
	c.sendRefusal(responseNoRoom)
	c.interrupt()
	return true
}

// yieldBody ends the read of a body. The goroutine of the request then refuses it.
func (c *callerConn) yieldBody() bool {
	if !c.stage.CompareAndSwap(stageBody, stageYielded) {
		return false
	}
	c.interrupt()
	return true
}

// interrupt ends the read that waits. The goroutine of the connection then closes it.
func (c *callerConn) interrupt() { _ = c.Conn.SetReadDeadline(pastDeadline) }

// Claim implements memory.Claimant.
func (c *callerConn) Claim(bytes int64) bool {
	if c.guard == nil {
		return true
	}
	// Set before the claim, so that a connection that ends meanwhile returns it.
	c.claimed.Store(true)
	return c.guard.budget.ClaimFor(c.holder, bytes)
}

// Release implements memory.Claimant.
func (c *callerConn) Release(bytes int64) {
	if c.guard != nil {
		c.guard.budget.ReleaseFor(c.holder, bytes)
	}
}

// Receive implements memory.Claimant.
func (c *callerConn) Receive(bytes int) { c.holder.Receive(bytes) }

// releaseAll returns what the connection has claimed.
func (c *callerConn) releaseAll() {
	if c.claimed.Swap(false) {
		c.guard.budget.ReleaseAll(c.holder)
	}
}

// connOf returns the connection of a request. One that is not tracked, as that of another
// server, gets a connection without bounds.
func connOf(ctx context.Context) *callerConn {
	if conn, tracked := ctx.Value(connKey{}).(*callerConn); tracked {
		return conn
	}
	conn := &callerConn{holder: memory.NewHolder(nil)}
	conn.stage.Store(stageBody)
	return conn
}
