package forward

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
)

// silenceMonitor detects that an attempt has stalled. It is used only by the
// request's task.
type silenceMonitor struct {
	task         *requestTask
	attempt      *runningAttempt
	state        *streamState
	timer        clockwork.Timer
	checkResults chan dispatch.CheckResult
	// lastEvent is when the last event arrived, firstEvent when the first one
	// did.
	lastEvent    time.Time
	firstEvent   time.Time
	checkRunning bool
	// busyElsewhere is set if the last probe found no idle server. A prompt that is
	// abandoned on a live server would then wait as long elsewhere, and what was read
	// of it is wasted.
	busyElsewhere bool
	// waitLogged is set once the log has a line on a wait for this attempt.
	waitLogged bool
}

func newSilenceMonitor(r *requestTask, attempt *runningAttempt, s *streamState) *silenceMonitor {
	m := &silenceMonitor{task: r, attempt: attempt, state: s, lastEvent: r.Clock.Now()}
	m.checkResults = make(chan dispatch.CheckResult, 1)
	m.timer = r.Clock.NewTimer(checkAfter(false, 0))
	return m
}

func (m *silenceMonitor) stop() { m.timer.Stop() }

func (m *silenceMonitor) started() bool { return m.attempt.note.Events > 0 }

// recordEvent resets the timer after an event.
func (m *silenceMonitor) recordEvent() {
	m.lastEvent = m.task.Clock.Now()
	if m.firstEvent.IsZero() {
		m.firstEvent = m.lastEvent
	}
	m.resetTimer(checkAfter(m.started(), m.state.longestGap))
}

func (m *silenceMonitor) resetTimer(after time.Duration) {
	if !m.timer.Stop() {
		select {
		case <-m.timer.Chan():
		default:
		}
	}
	m.timer.Reset(after)
}

// handleTimeout probes the server after a time without events, or returns an
// error if the attempt is to be abandoned.
func (m *silenceMonitor) handleTimeout(ctx context.Context) error {
	silence := m.task.Clock.Since(m.lastEvent)
	limit := silenceTimeout(m.task.request.Route, m.started())
	if silence >= limit && (m.started() || !m.busyElsewhere) {
		return Error.New("no event for %d ms", silence.Milliseconds())
	}
	if !m.checkRunning && m.task.request.Service.Engine != nil {
		if err := m.task.check(ctx, m.attempt.note.Server, m.checkResults); err != nil {
			return err
		}
		m.checkRunning = true
	}
	m.resetTimer(m.checkInterval())
	return nil
}

func (m *silenceMonitor) checkInterval() time.Duration {
	if m.started() {
		return gapCheckInterval
	}
	return firstEventCheckInterval
}

// giveUp reserves another server for the stream and reports whether it has one. A
// silent server may be sound and go on, so without another one the stream stays with it.
func (m *silenceMonitor) giveUp(ctx context.Context, cause error) bool {
	if m.task.reserveStream(ctx, m.attempt, m.state) {
		return true
	}
	if !m.waitLogged {
		m.waitLogged = true
		m.task.logSilenceWait(m.attempt, cause)
	}
	m.resetTimer(m.checkInterval())
	return false
}

// handleCheckResult returns an error if the probe shows that the attempt is
// lost.
func (m *silenceMonitor) handleCheckResult(result dispatch.CheckResult) error {
	m.checkRunning = false
	m.busyElsewhere = result.Alive && !result.IdleServer
	// Events that arrived after the probe was sent prove that the run continues.
	if m.lastEvent.After(result.SentAt) {
		return nil
	}
	known := progress{
		id: m.task.request.ID, started: m.started(), sinceFirst: m.task.Clock.Since(m.firstEvent),
		received: max(m.attempt.note.Events, int(m.state.events.lastID)),
	}
	if attemptLost(result, known) {
		if !result.Alive {
			return Error.New("the server does not answer after %d ms without an event", m.task.Clock.Since(m.lastEvent).Milliseconds())
		}
		return Error.New("the server's run is ahead of the connection or gone")
	}
	return nil
}
