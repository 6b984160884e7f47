package backends

import "github.com/lentilpoint/lentilpoint/enginewire"

// cachePosition is the position in the cache events of one incarnation of a server:
// the sequence number of the last event read.
type cachePosition struct {
	incarnation uint64
	sequence    uint64
}

// advance returns the position after a page of cache events, and the blocks that
// the page stored and evicted. It reports a reset when the server restarted or
// events were lost; the blocks are then those after the reset.
func (p cachePosition) advance(page enginewire.CacheEvents) (next cachePosition, stored, evicted []uint64, reset bool) {
	next = p
	if page.Incarnation != p.incarnation {
		next = cachePosition{incarnation: page.Incarnation}
		reset = p.incarnation != 0
	}
	for _, event := range page.Events {
		if event.Sequence <= next.sequence {
			continue
		}
		if next.sequence != 0 && event.Sequence != next.sequence+1 {
			stored, evicted, reset = nil, nil, true
		}
		next.sequence = event.Sequence
		stored = append(stored, event.Stored...)
		evicted = append(evicted, event.Evicted...)
	}
	return next, stored, evicted, reset
}

// hopByHopHeaders are the headers that apply to one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}
