package dispatch

import (
	"context"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/eventcode"
)

// copyTimeout bounds an order for a copy. A cache of 5,000 tokens takes about
// 10 ms on an engine's link and waits behind the copies of other runs.
const copyTimeout = time.Second

// tellCopyLost tells the requests whose copies the server held.
func (t *Task) tellCopyLost(state *serverState) {
	for _, granted := range t.leases {
		if granted.backup != state && granted.ordered != state || granted.copyLost == nil {
			continue
		}
		select {
		case granted.copyLost <- state.server.ID:
		default:
			// The request has been told of both holders already.
		}
	}
}

// orderCopy chooses the holder of a copy and orders it from the run's server.
func (t *Task) orderCopy(ctx context.Context, message OrderCopy) {
	granted, found := t.leases[message.Lease]
	if !found {
		message.Reply.Send(CopyMade{Err: Error.New("the attempt has ended")})
		return
	}
	if message.Order != CopyAgain || granted.ordered == nil {
		t.chooseHolder(&granted, message.Order)
		t.leases[message.Lease] = granted
	}
	if granted.ordered == nil {
		message.Reply.Send(CopyMade{Err: Error.New("no other server can hold a copy")})
		return
	}
	source, holder := granted.server.server, granted.ordered.server
	go func() {
		copyContext, cancel := context.WithTimeout(ctx, copyTimeout)
		defer cancel()
		name, err := t.Prober.Copy(copyContext, source.Address, message.Request, holder.Address)
		if err != nil {
			message.Reply.Send(CopyMade{Err: err})
			return
		}
		message.Reply.Send(CopyMade{Holder: holder, Copy: exchange.CacheCopy{Address: source.Address, Name: name}})
	}()
}

// chooseHolder gives the lease another server for an ordered copy, or none.
func (t *Task) chooseHolder(granted *use, order CopyOrder) {
	former := map[string]bool{}
	if granted.backup != nil {
		former[granted.backup.server.Address] = true
	}
	if granted.ordered != nil {
		former[granted.ordered.server.Address] = true
		granted.ordered.copies--
		granted.ordered = nil
	}
	candidates := keep(t.candidates(granted.service, t.Clock.Now()), func(c *candidate) bool {
		return !former[c.server.Address] && (order != CopyHome || c.server.DataCentre == t.DataCentre)
	})
	if holder := chooseBackup(t.Random, t.DataCentre, &Acquire{}, candidates, granted.server.server); holder != nil {
		granted.ordered = t.servers[holder.server.ID]
		granted.ordered.copies++
	}
}

// dropCopy frees a copy at the engine that made it.
func (t *Task) dropCopy(ctx context.Context, message DropCopy) {
	go func() {
		dropContext, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		if err := t.Prober.Drop(dropContext, message.Copy); err != nil {
			t.Logger.Info("copy of a run lapses", eventcode.CopyNotDeleted.Attr(), "address", message.Copy.Address, "copy", message.Copy.Name, "error", err)
		}
	}()
}
