package dispatch

import (
	"context"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
)

// copyTimeout bounds an order for a copy. A cache of 5,000 tokens takes about
// 10 ms on an engine's link and waits behind the copies of other runs.
const copyTimeout = time.Second

// tellCopyLost tells the requests whose copies the server held.
func (t *Task) tellCopyLost(state *serverState) {
	for _, granted := range t.leases {
		if granted.backup != state || granted.copyLost == nil {
			continue
		}
		select {
		case granted.copyLost <- struct{}{}:
		default:
			// The request has not read the last message yet.
		}
	}
}

// moveCopy chooses another holder for the copy of a run, unless the present one
// is kept, and orders the copy.
func (t *Task) moveCopy(ctx context.Context, message MoveCopy) {
	granted, found := t.leases[message.Lease]
	if !found {
		message.Reply.Send(CopyMade{Err: Error.New("the attempt has ended")})
		return
	}
	if !message.Keep || granted.backup == nil {
		t.replaceBackup(&granted)
		t.leases[message.Lease] = granted
	}
	if granted.backup == nil {
		message.Reply.Send(CopyMade{Err: Error.New("no other server can hold a copy")})
		return
	}
	source, holder := granted.server.server, granted.backup.server
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

// replaceBackup gives the lease another holder, or none.
func (t *Task) replaceBackup(granted *use) {
	former := granted.backup
	if former != nil {
		former.copies--
		granted.backup = nil
	}
	candidates := t.candidates(granted.service, t.Clock.Now())
	if former != nil {
		candidates = keep(candidates, func(c *candidate) bool { return c.server.Address != former.server.Address })
	}
	if backup := chooseBackup(t.Random, t.DataCentre, &Acquire{}, candidates, granted.server.server); backup != nil {
		granted.backup = t.servers[backup.server.ID]
		granted.backup.copies++
	}
}
