package dispatch

import (
	"context"
	"maps"
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
		if !t.copyAllowed(granted) {
			message.Reply.Send(CopyResult{Err: Error.New("no copy is made while prompts of more urgent streams wait")})
			return
		}
		t.chooseCopyHolder(&granted, message.Placement)
		t.leases[message.Lease] = granted
	}
	if granted.copyHolder == nil {
		message.Reply.Send(CopyResult{Err: Error.New("no other server can hold a copy")})
		return
	}
	source, holder := granted.server, granted.copyHolder.server
	address := source.server.Address
	go func() {
		copyContext, cancel := context.WithTimeout(ctx, copyTimeout)
		defer cancel()
		name, err := t.Prober.Copy(copyContext, address, message.Request, holder.Address)
		made := copyMade{request: message, source: source, result: CopyResult{Err: err}}
		if err == nil {
			made.result = CopyResult{Holder: holder, Copy: exchange.CacheCopy{Address: address, Name: name}}
		}
		// The dispatcher always drains its mailbox; the context bounds the wait at its end.
		_ = t.mailbox.Send(ctx, made)
	}()
}

// copyOwner is the request whose cache a copy holds, and when its name was last
// received.
type copyOwner struct {
	request string
	namedAt time.Time
}

// copyOwnerLifetime is how long the owner of a copy is kept. Copies expire after some
// seconds unless they are renewed, and an answer that is written once more comes with
// one of the next calls on the connection.
const copyOwnerLifetime = time.Minute

// handleCopyMade passes on the result of a copy request. A name that the server has
// given for another request is that of an earlier answer, and a run must not continue
// from the cache of another one.
func (t *Task) handleCopyMade(message copyMade) {
	source, now := message.source, t.Clock.Now()
	if message.result.Err == nil {
		maps.DeleteFunc(source.copyOwners, func(_ string, owner copyOwner) bool { return now.Sub(owner.namedAt) > copyOwnerLifetime })
		name := message.result.Copy.Name
		if owner, found := source.copyOwners[name]; found && owner.request != message.request.Request {
			message.result = CopyResult{Err: Error.New("server %s gave the name of a copy of another request, %s", source.server.ID, owner.request)}
		} else {
			if source.copyOwners == nil {
				source.copyOwners = map[string]copyOwner{}
			}
			source.copyOwners[name] = copyOwner{request: message.request.Request, namedAt: now}
		}
	}
	message.request.Reply.Send(message.result)
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
