package forward

import (
	"context"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// refreshShare is the part of a copy's lifetime after which it is made again;
	// only what the run has added since is sent.
	refreshShare = 0.6
	// copyPause is the time before another engine is asked to take a copy.
	copyPause = 300 * time.Millisecond
	// copyTries is how often a copy is ordered for one attempt without success.
	copyTries = 3
)

// copies is what the task of a stream knows of the copy of its run's cache.
// Engines keep the first copy up to date by themselves; when its holder is lost,
// another engine gets one on demand.
type copies struct {
	held dispatch.CopyMade
	// lost receives a message when the holder is lost, made the outcome of an order.
	lost chan struct{}
	made chan dispatch.CopyMade
	// due fires when a copy has to be ordered, the same one again if keep is set.
	due  <-chan time.Time
	keep bool
	// tries counts the orders without success.
	tries int
}

func newCopies() copies {
	return copies{lost: make(chan struct{}, 1), made: make(chan dispatch.CopyMade, 1)}
}

// take returns the copy held and forgets it and what was ordered, since it
// belongs to an attempt that has ended.
func (c *copies) take() dispatch.CopyMade {
	held := c.held
	*c = newCopies()
	return held
}

// copyLost orders another copy for a run that has started.
func (r *run) copyLost(l *live, s *streamState) {
	s.copies.held = dispatch.CopyMade{}
	if r.request.Service.Engine.CopyLifetime == 0 {
		return
	}
	s.copies.keep = false
	s.copies.due = r.Clock.After(0)
}

// orderCopy asks for a copy of the run's cache.
func (r *run) orderCopy(ctx context.Context, l *live, s *streamState) {
	s.copies.due = nil
	if l.note.Events == 0 {
		// A run has no cache to copy before its first event.
		s.copies.due = r.Clock.After(copyPause)
		return
	}
	order := dispatch.MoveCopy{
		Lease: l.assignment.Lease, Request: r.request.ID, Keep: s.copies.keep, Reply: task.Reply[dispatch.CopyMade](s.copies.made),
	}
	if err := r.Dispatcher.Send(ctx, order); err != nil {
		r.Logger.Warn("copy of a run not ordered", eventcode.CopyMoved.Attr(), "request", r.request.ID, "error", err)
	}
}

// copyMade takes the outcome of an order and plans the next one.
func (r *run) copyMade(l *live, s *streamState, made dispatch.CopyMade) {
	r.Logger.Info("copy of a run made on demand", eventcode.CopyMoved.Attr(), "request", r.request.ID, "server", l.note.Server,
		"again", s.copies.keep, "holder", made.HolderID(), "error", made.Err)
	s.copies.held = made
	if made.Err == nil {
		s.copies.tries, s.copies.keep = 0, true
		s.copies.due = r.Clock.After(time.Duration(refreshShare * float64(r.request.Service.Engine.CopyLifetime)))
		return
	}
	s.copies.tries++
	s.copies.keep = false
	if s.copies.tries < copyTries {
		s.copies.due = r.Clock.After(copyPause)
	}
}
