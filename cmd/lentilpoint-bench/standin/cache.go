package standin

import (
	"container/list"

	"github.com/lentilpoint/lentilpoint/enginewire"
)

// maxCacheEvents bounds the events kept for readers; older ones are a gap.
const maxCacheEvents = 512

// prefixCache holds the most recently used prompt blocks and logs changes.
type prefixCache struct {
	capacity int
	recent   *list.List
	blocks   map[uint64]*list.Element
	events   []enginewire.CacheEvent
	sequence uint64
}

func newPrefixCache(capacity int) prefixCache {
	return prefixCache{capacity: capacity, recent: list.New(), blocks: make(map[uint64]*list.Element)}
}

// touch stores all blocks and returns how many leading ones were present.
func (c *prefixCache) touch(hashes []uint64) int {
	present := 0
	for i, hash := range hashes {
		if c.blocks[hash] == nil {
			break
		}
		present = i + 1
	}
	if c.capacity == 0 {
		return 0
	}
	var event enginewire.CacheEvent
	for _, hash := range hashes {
		if element := c.blocks[hash]; element != nil {
			c.recent.MoveToFront(element)
			continue
		}
		c.blocks[hash] = c.recent.PushFront(hash)
		event.Stored = append(event.Stored, hash)
	}
	event.Evicted = c.evict()
	c.log(event)
	return present
}

func (c *prefixCache) evict() []uint64 {
	var evicted []uint64
	for c.recent.Len() > c.capacity {
		hash := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.blocks, hash)
		evicted = append(evicted, hash)
	}
	return evicted
}

func (c *prefixCache) log(event enginewire.CacheEvent) {
	if len(event.Stored)+len(event.Evicted) == 0 {
		return
	}
	c.sequence++
	event.Sequence = c.sequence
	c.events = append(c.events, event)
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

func (c *prefixCache) since(after uint64) []enginewire.CacheEvent {
	events := make([]enginewire.CacheEvent, 0)
	for _, event := range c.events {
		if event.Sequence > after {
			events = append(events, event)
		}
	}
	return events
}

func (c *prefixCache) used() float64 {
	if c.capacity == 0 {
		return 0
	}
	return float64(c.recent.Len()) / float64(c.capacity)
}
