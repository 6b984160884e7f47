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
	// cancelled is closed when the client disconnects. A message that was deferred
	// by a pause is then dropped.
	cancelled <-chan struct{}
	body      enginewire.Generation
	chat      bool
	output    chan<- streamItem
	reply     task.Reply[startResult]
}

type startResult struct {
	stream string
	prompt []enginewire.TokenID
	load   enginewire.LoadReport
	err    string
	// status is the HTTP status of an error; 0 means 404.
	status int
}

type resumeStream struct {
	cancelled <-chan struct{}
	stream    string
	from      int
	output    chan<- streamItem
	reply     task.Reply[startResult]
}

type detachStream struct {
	stream string
	output chan<- streamItem
}

type readLoad struct {
	reply task.Reply[enginewire.LoadReport]
}

type readCacheEvents struct {
	after uint64
	reply task.Reply[enginewire.CacheEvents]
}

type executeOrder struct {
	order enginewire.Order
	reply task.Reply[enginewire.OrderResult]
}

// taskFunction runs a function of an experiment or of a timer in the engine task, also
// during a pause.
type taskFunction struct {
	run func(e *Engine)
	// done is closed after run. It may be nil.
	done chan<- struct{}
}

func (m detachStream) apply(e *Engine) { e.detach(m.stream, m.output) }
func (m readLoad) apply(e *Engine)     { m.reply.Send(e.loadReport()) }
func (m executeOrder) apply(e *Engine) { m.reply.Send(e.applyOrder(m.order)) }

func (m startStream) apply(e *Engine) {
	if !isClosed(m.cancelled) {
		m.reply.Send(e.startGeneration(m))
	}
}

func (m resumeStream) apply(e *Engine) {
	if !isClosed(m.cancelled) {
		m.reply.Send(e.resume(m))
	}
}

func isClosed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

func (m readCacheEvents) apply(e *Engine) {
	m.reply.Send(enginewire.CacheEvents{Incarnation: e.incarnation, Events: e.cache.eventsAfter(m.after)})
}

func (m taskFunction) apply(e *Engine) {
	m.run(e)
	if m.done != nil {
		close(m.done)
	}
}

// callTimeout limits a call of an experiment or a test into the task of a stand-in.
const callTimeout = 10 * time.Second

// runInTask runs a function in the engine task and waits until it has ended, at most
// for callTimeout.
func (e *Engine) runInTask(run func(e *Engine)) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	done := make(chan struct{})
	if err := e.messages.Send(ctx, taskFunction{run: run, done: done}); err != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Die closes all connections and drops all generations and the cache, as if the process
// were killed. The records for experiments stay.
func (e *Engine) Die() { e.runInTask((*Engine).die) }

// Revive starts the engine again at the same address after Die or a crash, with a new
// incarnation and the versions of its options. It has no effect on a running engine.
func (e *Engine) Revive() { e.runInTask(func(e *Engine) { _ = e.revive() }) }

// Pause stops all generations and answers. Connections stay open.
func (e *Engine) Pause() { e.runInTask(func(e *Engine) { e.paused = true }) }

// Unpause ends a pause and handles the requests that arrived meanwhile.
func (e *Engine) Unpause() { e.runInTask((*Engine).unpause) }

// Silence discards all further data on the open connections without closing them.
// New connections work.
func (e *Engine) Silence() { e.runInTask(func(e *Engine) { e.endpoint.silence() }) }

// EndStreams ends all open streams normally but early. With discard, they cannot be
// resumed.
func (e *Engine) EndStreams(discard bool) { e.runInTask(func(e *Engine) { e.endStreams(discard) }) }

// Slow multiplies the time of each token.
func (e *Engine) Slow(factor float64) { e.runInTask(func(e *Engine) { e.slowdown = factor }) }

// Drain makes the engine refuse new generations. Those accepted before continue.
func (e *Engine) Drain() { e.runInTask(func(e *Engine) { e.draining = true }) }

// Refused returns the times at which generations were refused because of Drain.
func (e *Engine) Refused() []time.Time {
	var refused []time.Time
	e.runInTask(func(e *Engine) { refused = append(refused, e.refusedAt...) })
	return refused
}

// Crashes returns the number of crashes caused by requests.
func (e *Engine) Crashes() int {
	var crashes int
	e.runInTask(func(e *Engine) { crashes = e.crashCount })
	return crashes
}

// Steps returns the number of steps so far, including those while the engine was
// paused or did not run. A step generates at most one token for each running
// generation.
func (e *Engine) Steps() int {
	var steps int
	e.runInTask(func(e *Engine) { steps = e.stepCount })
	return steps
}

// SetFault replaces the fault of a version. The zero value ends it.
func (e *Engine) SetFault(version string, fault VersionFault) {
	e.runInTask(func(e *Engine) { e.faults[version] = fault })
}

// Attempts returns the generations that the engine accepted, oldest first.
func (e *Engine) Attempts() []Attempt {
	var attempts []Attempt
	e.runInTask(func(e *Engine) {
		for _, attempt := range e.attempts {
			attempts = append(attempts, *attempt)
		}
	})
	return attempts
}

// Orders returns the orders that the engine accepted, oldest first.
func (e *Engine) Orders() []enginewire.Order {
	var orders []enginewire.Order
	e.runInTask(func(e *Engine) { orders = append(orders, e.orders...) })
	return orders
}

// Effects returns the changes of the loaded versions, oldest first.
func (e *Engine) Effects() []Effect {
	var effects []Effect
	e.runInTask(func(e *Engine) { effects = append(effects, e.effects...) })
	return effects
}

// Load returns the engine's current load report.
func (e *Engine) Load() enginewire.LoadReport {
	var load enginewire.LoadReport
	e.runInTask(func(e *Engine) { load = e.loadReport() })
	return load
}
