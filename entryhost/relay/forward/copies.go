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
	// copyRefreshShare is the part of a copy's lifetime after which it is
	// renewed. Most runs end before that, and engines keep copies somewhat
	// longer than they state.
	copyRefreshShare = 0.9
	// copyRetryDelay is the time before another copy request after a failed one.
	copyRetryDelay = 300 * time.Millisecond
	// localCopyDelay is the time after which a run gets a copy in this host's data
	// centre if its server and its backup are in others; engines that crashed are
	// back after about a second.
	localCopyDelay = 1500 * time.Millisecond
	// maxCopyFailures is the number of consecutive failed copy requests after
	// which an attempt makes no more.
	maxCopyFailures = 3
)

// copies is the state of the copies of a run's cache. An engine keeps its backup
// up to date by itself. Another copy is requested when the holder of the backup
// is lost, or when neither the run nor the backup is in this host's data centre,
// which may be cut off from the others.
type copies struct {
	backup    dispatch.CopyResult
	requested dispatch.CopyResult
	// resumable are copies of earlier attempts from which the next one may
	// continue.
	resumable []dispatch.CopyResult

	// lost receives the ids of lost holders, results the outcomes of copy
	// requests.
	lost    chan string
	results chan dispatch.CopyResult
	// due fires when a copy is to be requested, and nextPlacement says where.
	due           <-chan time.Time
	nextPlacement dispatch.CopyPlacement
	// failures is the number of consecutive failed copy requests.
	failures int
}

func newCopies() copies {
	// A run has at most two holders and one copy request at a time.
	return copies{lost: make(chan string, 2), results: make(chan dispatch.CopyResult, 1)}
}

// attemptEnded resets the state after an attempt. If the attempt sent events,
// its copies replace the resumable ones of earlier attempts.
func (c *copies) attemptEnded(started bool) {
	resumable := c.resumable
	if started {
		resumable = nil
		// The requested copy may be in this host's data centre, which stays
		// reachable in a partition, so it comes first.
		for _, copied := range []dispatch.CopyResult{c.requested, c.backup} {
			if copied.Holder != nil {
				resumable = append(resumable, copied)
			}
		}
	}
	*c = newCopies()
	c.resumable = resumable
}

// takeResumable removes and returns the next copy to continue from; its holder
// is nil if none is left.
func (c *copies) takeResumable() dispatch.CopyResult {
	if len(c.resumable) == 0 {
		return dispatch.CopyResult{}
	}
	taken := c.resumable[0]
	c.resumable = c.resumable[1:]
	return taken
}

// recordBackup records the backup of a new attempt.
func (r *requestTask) recordBackup(s *streamState, assignment dispatch.Assignment) {
	if assignment.Backup == nil {
		return
	}
	// The holder stores the backup under the request's id.
	s.copies.backup = dispatch.CopyResult{
		Holder: assignment.Backup, Copy: exchange.CacheCopy{Address: assignment.Backup.Address, Name: r.request.ID},
	}
	if assignment.AllRemote {
		r.scheduleCopy(s, dispatch.CopyLocal, localCopyDelay)
	}
}

func (r *requestTask) scheduleCopy(s *streamState, placement dispatch.CopyPlacement, after time.Duration) {
	if r.request.Service.Engine.CopyLifetime == 0 {
		return
	}
	s.copies.nextPlacement = placement
	s.copies.due = r.Clock.After(after)
}

// handleCopyLost schedules another copy when the last holder is lost.
func (r *requestTask) handleCopyLost(s *streamState, holder string) {
	if s.copies.backup.HolderID() == holder {
		s.copies.backup = dispatch.CopyResult{}
	}
	if s.copies.requested.HolderID() == holder {
		s.copies.requested = dispatch.CopyResult{}
	}
	if s.copies.backup.Holder == nil && s.copies.requested.Holder == nil {
		r.scheduleCopy(s, dispatch.CopyAnywhere, 0)
	}
}

// requestCopy asks the dispatcher for a copy of the run's cache.
func (r *requestTask) requestCopy(ctx context.Context, running *runningAttempt, s *streamState) {
	s.copies.due = nil
	if running.note.Events == 0 {
		// A run has no cache to copy before its first event.
		s.copies.due = r.Clock.After(copyRetryDelay)
		return
	}
	request := dispatch.RequestCopy{
		Lease: running.assignment.Lease, Request: r.request.ID, Placement: s.copies.nextPlacement, Reply: task.Reply[dispatch.CopyResult](s.copies.results),
	}
	if err := r.Dispatcher.Send(ctx, request); err != nil {
		r.Logger.Warn("copy of a run's cache not requested", eventcode.CopyOrdered.Attr(), "request", r.request.ID, "error", err)
	}
}

// handleCopyResult records the outcome of a copy request and schedules the next
// one.
func (r *requestTask) handleCopyResult(running *runningAttempt, s *streamState, result dispatch.CopyResult) {
	r.Logger.Info("copy of a run's cache requested", eventcode.CopyOrdered.Attr(), "request", r.request.ID, "server", running.note.Server,
		"order", s.copies.nextPlacement.String(), "holder", result.HolderID(), "error", result.Err)
	if result.Err == nil {
		s.copies.requested, s.copies.failures = result, 0
		r.scheduleCopy(s, dispatch.CopyRenewed, time.Duration(copyRefreshShare*float64(r.request.Service.Engine.CopyLifetime)))
		return
	}
	if s.copies.nextPlacement == dispatch.CopyRenewed {
		s.copies.requested, s.copies.nextPlacement = dispatch.CopyResult{}, dispatch.CopyAnywhere
	}
	s.copies.failures++
	if s.copies.failures < maxCopyFailures {
		r.scheduleCopy(s, s.copies.nextPlacement, copyRetryDelay)
	}
}

// dropCopy frees the requested copy of a run that has ended, which would
// otherwise occupy an engine's memory until it expires.
func (r *requestTask) dropCopy(s *streamState) {
	if s.copies.requested.Holder == nil {
		return
	}
	if r.Dispatcher.TrySend(dispatch.DropCopy{Copy: s.copies.requested.Copy}) != nil {
		r.Metrics.GetOrCreateCounter("lentilpoint_relay_copies_not_dropped_total").Inc()
	}
}
