package standin

import (
	"container/list"

	"github.com/lentilpoint/lentilpoint/enginewire"
)

// maxCacheEvents limits the events kept for readers. A reader that is further behind
// sees a gap in the sequence numbers.
const maxCacheEvents = 512

// prefixCache is an LRU cache of the hashes of prompt blocks. It records an event for
// each change.
type prefixCache struct {
	// capacity is in blocks; 0 turns the cache off.
	capacity int
	// lru holds the hashes, the most recently used first.
	lru          *list.List
	blocks       map[uint64]*list.Element
	events       []enginewire.CacheEvent
	lastSequence uint64
}

func newPrefixCache(capacity int) prefixCache {
	return prefixCache{capacity: capacity, lru: list.New(), blocks: make(map[uint64]*list.Element)}
}

// lookupAndStore returns how many leading blocks were in the cache and stores all
// blocks.
func (c *prefixCache) lookupAndStore(hashes []uint64) int {
	hits := 0
	for i, hash := range hashes {
		if c.blocks[hash] == nil {
			break
		}
		hits = i + 1
	}
	if c.capacity == 0 {
		return 0
	}
	var event enginewire.CacheEvent
	for _, hash := range hashes {
		if element := c.blocks[hash]; element != nil {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[hash] = c.lru.PushFront(hash)
		event.Stored = append(event.Stored, hash)
	}
	event.Evicted = c.evict()
	c.recordEvent(event)
	return hits
}

func (c *prefixCache) evict() []uint64 {
	var evicted []uint64
	for c.lru.Len() > c.capacity {
		hash := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.blocks, hash)
		evicted = append(evicted, hash)
	}
	return evicted
}

func (c *prefixCache) recordEvent(event enginewire.CacheEvent) {
	if len(event.Stored)+len(event.Evicted) == 0 {
		return
	}
	c.lastSequence++
	event.Sequence = c.lastSequence
	c.events = append(c.events, event)
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

func (c *prefixCache) eventsAfter(after uint64) []enginewire.CacheEvent {
	events := make([]enginewire.CacheEvent, 0)
	for _, event := range c.events {
		if event.Sequence > after {
			events = append(events, event)
		}
	}
	return events
}

func (c *prefixCache) usedShare() float64 {
	if c.capacity == 0 {
		return 0
	}
	return float64(c.lru.Len()) / float64(c.capacity)
}
