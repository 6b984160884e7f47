package admission

// maxKnownBlocks bounds the prompt blocks remembered for each server. At 206
// servers and about 24 bytes a block the index stays near 5 MB.
const maxKnownBlocks = 1024

// prefixSet is the set of prompt blocks that a server is believed to hold. It
// learns from cache events and, because these lag, from assignments. The oldest
// blocks are forgotten first.
type prefixSet struct {
	slots map[uint64]int
	ring  []uint64
	next  int
}

func newPrefixSet() *prefixSet { return &prefixSet{slots: make(map[uint64]int)} }

func (p *prefixSet) store(hash uint64) {
	if _, known := p.slots[hash]; known {
		return
	}
	if len(p.ring) < maxKnownBlocks {
		p.slots[hash] = len(p.ring)
		p.ring = append(p.ring, hash)
		return
	}
	if oldest := p.ring[p.next]; p.slots[oldest] == p.next {
		delete(p.slots, oldest)
	}
	p.ring[p.next] = hash
	p.slots[hash] = p.next
	p.next = (p.next + 1) % maxKnownBlocks
}

func (p *prefixSet) evict(hash uint64) { delete(p.slots, hash) }

// reset forgets all blocks, after a restart of the server or a gap in its events.
func (p *prefixSet) reset() {
	clear(p.slots)
	p.ring, p.next = p.ring[:0], 0
}

// leading returns how many of the first blocks are held.
func (p *prefixSet) leading(hashes []uint64) int {
	for i, hash := range hashes {
		if _, held := p.slots[hash]; !held {
			return i
		}
	}
	return len(hashes)
}
