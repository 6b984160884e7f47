package forward

import (
	"context"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// refreshShare is the part of a copy's lifetime after which it is made again.
	// Most runs end before, and engines keep copies somewhat longer than they say.
	refreshShare = 0.9
	// copyPause is the time before another engine is asked to take a copy.
	copyPause = 300 * time.Millisecond
	// homePause is the time after which a run in another data centre gets a copy
	// in the own one; engines that crashed are back after about a second.
	homePause = 1500 * time.Millisecond
	// copyTries is how often a copy is ordered for one attempt without success.
	copyTries = 3
)

// copies is what the task of a stream knows of the copies of its run's cache.
// An engine keeps the first copy up to date by itself. Another one is ordered
// when the holder of the first is lost, or when neither the run nor the first
// copy is in the own data centre, which may be cut off from the others.
type copies struct {
	kept    dispatch.CopyMade
	ordered dispatch.CopyMade
	// spare are copies of former attempts that the next one may go on from.
	spare []dispatch.CopyMade

	// lost receives the ids of holders that are lost, made the outcome of an order.
	lost chan string
	made chan dispatch.CopyMade
	// due fires when a copy has to be ordered, and next tells which.
	due  <-chan time.Time
	next dispatch.CopyOrder
	// tries counts the orders without success.
	tries int
}

func newCopies() copies {
	// A run has two holders at most, and one order at a time.
	return copies{lost: make(chan string, 2), made: make(chan dispatch.CopyMade, 1)}
}

// ended ends the attempt that the copies belong to. The copies of a run that
// sent events are those to go on from.
func (c *copies) ended(started bool) {
	spare := c.spare
	if started {
		spare = nil
		// A copy in the own data centre is reached in any case.
		for _, copied := range []dispatch.CopyMade{c.ordered, c.kept} {
			if copied.Holder != nil {
				spare = append(spare, copied)
			}
		}
	}
	*c = newCopies()
	c.spare = spare
}

// takeSpare returns a copy to go on from, with no holder if there is none left.
func (c *copies) takeSpare() dispatch.CopyMade {
	if len(c.spare) == 0 {
		return dispatch.CopyMade{}
	}
	taken := c.spare[0]
	c.spare = c.spare[1:]
	return taken
}

// assigned notes the holder of the first copy of a new attempt.
func (r *run) assigned(s *streamState, assignment dispatch.Assignment) {
	if assignment.Backup == nil {
		return
	}
	// The holder names this copy by the request's id.
	s.copies.kept = dispatch.CopyMade{
		Holder: assignment.Backup, Copy: exchange.CacheCopy{Address: assignment.Backup.Address, Name: r.request.ID},
	}
	if assignment.Away {
		r.planCopy(s, dispatch.CopyHome, homePause)
	}
}

func (r *run) planCopy(s *streamState, order dispatch.CopyOrder, after time.Duration) {
	if r.request.Service.Engine.CopyLifetime == 0 {
		return
	}
	s.copies.next = order
	s.copies.due = r.Clock.After(after)
}

// copyLost orders another copy when the last one is lost.
func (r *run) copyLost(s *streamState, holder string) {
	if s.copies.kept.HolderID() == holder {
		s.copies.kept = dispatch.CopyMade{}
	}
	if s.copies.ordered.HolderID() == holder {
		s.copies.ordered = dispatch.CopyMade{}
	}
	if s.copies.kept.Holder == nil && s.copies.ordered.Holder == nil {
		r.planCopy(s, dispatch.CopyAnywhere, 0)
	}
}

// orderCopy asks for a copy of the run's cache.
func (r *run) orderCopy(ctx context.Context, l *live, s *streamState) {
	s.copies.due = nil
	if l.note.Events == 0 {
		// A run has no cache to copy before its first event.
		s.copies.due = r.Clock.After(copyPause)
		return
	}
	order := dispatch.OrderCopy{
		Lease: l.assignment.Lease, Request: r.request.ID, Order: s.copies.next, Reply: task.Reply[dispatch.CopyMade](s.copies.made),
	}
	if err := r.Dispatcher.Send(ctx, order); err != nil {
		r.Logger.Warn("copy of a run not ordered", eventcode.CopyOrdered.Attr(), "request", r.request.ID, "error", err)
	}
}

// copyMade takes the outcome of an order and plans the next one.
func (r *run) copyMade(l *live, s *streamState, made dispatch.CopyMade) {
	r.Logger.Info("copy of a run ordered", eventcode.CopyOrdered.Attr(), "request", r.request.ID, "server", l.note.Server,
		"order", s.copies.next.String(), "holder", made.HolderID(), "error", made.Err)
	if made.Err == nil {
		s.copies.ordered, s.copies.tries = made, 0
		r.planCopy(s, dispatch.CopyAgain, time.Duration(refreshShare*float64(r.request.Service.Engine.CopyLifetime)))
		return
	}
	if s.copies.next == dispatch.CopyAgain {
		s.copies.ordered, s.copies.next = dispatch.CopyMade{}, dispatch.CopyAnywhere
	}
	s.copies.tries++
	if s.copies.tries < copyTries {
		r.planCopy(s, s.copies.next, copyPause)
	}
}

// dropCopy frees the copy that was ordered for a run that has ended, which would
// otherwise take an engine's memory until it lapses.
func (r *run) dropCopy(s *streamState) {
	if s.copies.ordered.Holder == nil {
		return
	}
	if r.Dispatcher.TrySend(dispatch.DropCopy{Copy: s.copies.ordered.Copy}) != nil {
		r.Metrics.GetOrCreateCounter("lentilpoint_relay_copies_not_dropped_total").Inc()
	}
}
