package dispatch

import (
	"context"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/eventcode"
)

// copyTimeout bounds a copy request to an engine. A cache of 5,000 tokens takes
// about 10 ms on an engine's link and queues behind the copies of other runs.
const copyTimeout = time.Second

// notifyCopyLost sends the server's id to each request that has a copy on it.
func (t *Task) notifyCopyLost(state *serverState) {
	for _, granted := range t.leases {
		if granted.backup != state && granted.copyHolder != state || granted.copyLost == nil {
			continue
		}
		select {
		case granted.copyLost <- state.server.ID:
		default:
			// Both holders have been reported already.
		}
	}
}

// handleCopyRequest chooses a holder and asks the run's server to copy its cache
// to it.
func (t *Task) handleCopyRequest(ctx context.Context, message RequestCopy) {
	granted, found := t.leases[message.Lease]
	if !found {
		message.Reply.Send(CopyResult{Err: Error.New("the attempt has ended")})
		return
	}
	if message.Placement != CopyRenewed || granted.copyHolder == nil {
		t.chooseCopyHolder(&granted, message.Placement)
		t.leases[message.Lease] = granted
	}
	if granted.copyHolder == nil {
		message.Reply.Send(CopyResult{Err: Error.New("no other server can hold a copy")})
		return
	}
	source, holder := granted.server.server, granted.copyHolder.server
	go func() {
		copyContext, cancel := context.WithTimeout(ctx, copyTimeout)
		defer cancel()
		name, err := t.Prober.Copy(copyContext, source.Address, message.Request, holder.Address)
		if err != nil {
			message.Reply.Send(CopyResult{Err: err})
			return
		}
		message.Reply.Send(CopyResult{Holder: holder, Copy: exchange.CacheCopy{Address: source.Address, Name: name}})
	}()
}

// chooseCopyHolder replaces the lease's holder of a requested copy by another
// server, or by none if no candidate is left.
func (t *Task) chooseCopyHolder(granted *leaseState, placement CopyPlacement) {
	excluded := map[string]bool{}
	if granted.backup != nil {
		excluded[granted.backup.server.Address] = true
	}
	if granted.copyHolder != nil {
		excluded[granted.copyHolder.server.Address] = true
		granted.copyHolder.copies--
		granted.copyHolder = nil
	}
	candidates := filterCandidates(t.candidates(granted.service, t.Clock.Now()), func(c *candidate) bool {
		return !excluded[c.server.Address] && (placement != CopyLocal || c.server.DataCentre == t.DataCentre)
	})
	if holder := chooseBackup(t.Random, t.DataCentre, &Acquire{}, candidates, granted.server.server); holder != nil {
		granted.copyHolder = t.servers[holder.server.ID]
		granted.copyHolder.copies++
	}
}

// handleDropCopy frees a copy at the engine that made it.
func (t *Task) handleDropCopy(ctx context.Context, message DropCopy) {
	go func() {
		dropContext, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		if err := t.Prober.Drop(dropContext, message.Copy); err != nil {
			t.Logger.Info("copy of a run's cache not freed; it expires after its lifetime", eventcode.CopyNotDeleted.Attr(), "address", message.Copy.Address, "copy", message.Copy.Name, "error", err)
		}
	}()
}
