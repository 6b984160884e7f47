package backends

import "github.com/lentilpoint/lentilpoint/enginewire"

// cachePosition is how far the cache events of a server were read.
type cachePosition struct {
	incarnation uint64
	sequence    uint64
}

// advance applies a page of cache events to the position. It reports a reset
// when the server restarted or events were lost.
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

// hopByHop lists the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}
