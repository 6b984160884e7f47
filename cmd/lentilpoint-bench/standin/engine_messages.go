package standin

import (
	"context"
	"time"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/task"
)

// engineMessage is a message to the engine task.
type engineMessage interface{ apply(e *Engine) }

type startStream struct {
	// cancelled is closed when the client has gone; an engine that was paused
	// does not start its request then.
	cancelled <-chan struct{}
	body      enginewire.Generation
	chat      bool
	output    chan<- step
	reply     task.Reply[startResult]
}

type startResult struct {
	stream string
	prompt []enginewire.TokenID
	load   enginewire.LoadReport
	err    string
	// status is the HTTP status of an error; 0 means not found.
	status int
}

type resumeStream struct {
	cancelled <-chan struct{}
	stream    string
	from      int
	output    chan<- step
	reply     task.Reply[startResult]
}

type detachStream struct {
	stream string
	output chan<- step
}

type readLoad struct {
	reply task.Reply[enginewire.LoadReport]
}

type readCache struct {
	after uint64
	reply task.Reply[enginewire.CacheEvents]
}

type sendOrder struct {
	order enginewire.Order
	reply task.Reply[enginewire.OrderResult]
}

// change runs a fault or a delayed step inside the engine task.
type change struct {
	run  func(e *Engine)
	done chan<- struct{}
}

func (m detachStream) apply(e *Engine) { e.detach(m.stream, m.output) }
func (m readLoad) apply(e *Engine)     { m.reply.Send(e.load()) }
func (m sendOrder) apply(e *Engine)    { m.reply.Send(e.order(m.order)) }

func (m startStream) apply(e *Engine) {
	if !closed(m.cancelled) {
		m.reply.Send(e.begin(m))
	}
}

func (m resumeStream) apply(e *Engine) {
	if !closed(m.cancelled) {
		m.reply.Send(e.resume(m))
	}
}

func closed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

func (m readCache) apply(e *Engine) {
	m.reply.Send(enginewire.CacheEvents{Incarnation: e.incarnation, Events: e.cache.since(m.after)})
}

func (m change) apply(e *Engine) {
	m.run(e)
	if m.done != nil {
		close(m.done)
	}
}

// controlTimeout bounds a fault or a read by a test.
const controlTimeout = 10 * time.Second

func (e *Engine) do(run func(e *Engine)) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	done := make(chan struct{})
	if err := e.messages.Send(ctx, change{run: run, done: done}); err != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Die cuts all connections and forgets all state.
func (e *Engine) Die() { e.do((*Engine).die) }

// Revive starts the engine again after Die, with a new incarnation.
func (e *Engine) Revive() { e.do(func(e *Engine) { _ = e.revive() }) }

// Pause stops all progress; connections stay open.
func (e *Engine) Pause() { e.do(func(e *Engine) { e.paused = true }) }

// Unpause ends a pause; late tokens are sent at once.
func (e *Engine) Unpause() { e.do((*Engine).unpause) }

// Silence makes the open connections silent for good; new ones work.
func (e *Engine) Silence() { e.do(func(e *Engine) { e.endpoint.silence() }) }

// EndStreams ends all open streams cleanly but early; with forget, they cannot
// be resumed.
func (e *Engine) EndStreams(forget bool) { e.do(func(e *Engine) { e.endStreams(forget) }) }

// Slow multiplies the time of each token.
func (e *Engine) Slow(factor float64) { e.do(func(e *Engine) { e.slow = factor }) }

// Drain makes the engine refuse new generations; running ones go on.
func (e *Engine) Drain() { e.do(func(e *Engine) { e.draining = true }) }

// Refused returns when generations were refused because the engine drains.
func (e *Engine) Refused() []time.Time {
	var refused []time.Time
	e.do(func(e *Engine) { refused = append(refused, e.refused...) })
	return refused
}

// Crashes returns how often a request crashed the engine.
func (e *Engine) Crashes() int {
	var crashes int
	e.do(func(e *Engine) { crashes = e.crashes })
	return crashes
}

// Steps returns the number of steps so far. Each offers one token to each
// generation that runs.
func (e *Engine) Steps() int {
	var steps int
	e.do(func(e *Engine) { steps = e.steps })
	return steps
}

// SetFault makes a version bad.
func (e *Engine) SetFault(version string, fault VersionFault) {
	e.do(func(e *Engine) { e.faults[version] = fault })
}

// Attempts returns the generations that the engine ran.
func (e *Engine) Attempts() []Attempt {
	var attempts []Attempt
	e.do(func(e *Engine) {
		for _, attempt := range e.attempts {
			attempts = append(attempts, *attempt)
		}
	})
	return attempts
}

// Orders returns the orders that the engine carried out.
func (e *Engine) Orders() []enginewire.Order {
	var orders []enginewire.Order
	e.do(func(e *Engine) { orders = append(orders, e.orders...) })
	return orders
}

// Effects returns the changes of versions that orders made, oldest first.
func (e *Engine) Effects() []Effect {
	var effects []Effect
	e.do(func(e *Engine) { effects = append(effects, e.effects...) })
	return effects
}

// Load returns the engine's present load report.
func (e *Engine) Load() enginewire.LoadReport {
	var load enginewire.LoadReport
	e.do(func(e *Engine) { load = e.load() })
	return load
}
