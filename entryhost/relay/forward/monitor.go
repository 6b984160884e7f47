package forward

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
)

// monitor watches the silence of one attempt. It belongs to the request's task.
type monitor struct {
	run      *run
	live     *live
	state    *streamState
	timer    clockwork.Timer
	verdicts chan dispatch.Verdict
	// quiet is when the last event arrived, first when the first one did.
	quiet time.Time
	first time.Time
	asked bool
}

func newMonitor(r *run, l *live, s *streamState) *monitor {
	m := &monitor{run: r, live: l, state: s, quiet: r.Clock.Now()}
	m.verdicts = make(chan dispatch.Verdict, 1)
	m.timer = r.Clock.NewTimer(silenceLimit(false, 0))
	return m
}

func (m *monitor) stop() { m.timer.Stop() }

func (m *monitor) started() bool { return m.live.note.Events > 0 }

// heard notes that the attempt made progress.
func (m *monitor) heard() {
	m.quiet = m.run.Clock.Now()
	if m.first.IsZero() {
		m.first = m.quiet
	}
	m.again(silenceLimit(m.started(), m.state.longestGap))
}

func (m *monitor) again(after time.Duration) {
	if !m.timer.Stop() {
		select {
		case <-m.timer.Chan():
		default:
		}
	}
	m.timer.Reset(after)
}

// expired handles silence: the server is asked, or the attempt is given up.
func (m *monitor) expired(ctx context.Context) error {
	silence := m.run.Clock.Since(m.quiet)
	limit := patience(m.run.request.Route, m.started())
	last := m.run.counts.runs+1 >= m.run.request.Route.MaxAttempts
	if silence >= limit && !last && m.run.request.Route.Resumable {
		return Error.New("no event for %d ms", silence.Milliseconds())
	}
	if !m.asked && m.run.request.Service.Engine != nil {
		if err := m.run.check(ctx, m.live.note.Server, m.verdicts); err != nil {
			return err
		}
		m.asked = true
	}
	if m.started() {
		m.again(checkPause)
	} else {
		m.again(firstPause)
	}
	return nil
}

// judge reads the server's answer to the question.
func (m *monitor) judge(verdict dispatch.Verdict) error {
	m.asked = false
	// Events that arrived after the question prove that the run goes on.
	if m.quiet.After(verdict.At) {
		return nil
	}
	known := progress{
		id: m.run.request.ID, started: m.started(), running: m.run.Clock.Since(m.first),
		received: max(m.live.note.Events, int(m.state.ledger.last)),
	}
	if isLost(verdict, known) {
		if !verdict.Alive {
			return Error.New("the server does not answer after %d ms without an event", m.run.Clock.Since(m.quiet).Milliseconds())
		}
		return Error.New("the server's run is ahead of the connection or gone")
	}
	return nil
}
