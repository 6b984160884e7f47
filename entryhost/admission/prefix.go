package admission

// maxKnownBlocks bounds the prompt blocks recorded for each server. For 206
// servers, at about 24 bytes a block, the index takes about 5 MB.
const maxKnownBlocks = 1024

// prefixSet is the set of prompt blocks that a server probably holds in its cache.
// Its sources are cache events and, because these lag, assignments. Beyond
// maxKnownBlocks the oldest block is dropped.
type prefixSet struct {
	positions map[uint64]int
	ring      []uint64
	next      int
}

func newPrefixSet() *prefixSet { return &prefixSet{positions: make(map[uint64]int)} }

func (p *prefixSet) store(hash uint64) {
	if _, known := p.positions[hash]; known {
		return
	}
	if len(p.ring) < maxKnownBlocks {
		p.positions[hash] = len(p.ring)
		p.ring = append(p.ring, hash)
		return
	}
	if oldest := p.ring[p.next]; p.positions[oldest] == p.next {
		delete(p.positions, oldest)
	}
	p.ring[p.next] = hash
	p.positions[hash] = p.next
	p.next = (p.next + 1) % maxKnownBlocks
}

func (p *prefixSet) evict(hash uint64) { delete(p.positions, hash) }

// reset removes all blocks, after a restart of the server or a gap in its events.
func (p *prefixSet) reset() {
	clear(p.positions)
	p.ring, p.next = p.ring[:0], 0
}

// countLeading returns the number of leading blocks that are held.
func (p *prefixSet) countLeading(hashes []uint64) int {
	for i, hash := range hashes {
		if _, held := p.positions[hash]; !held {
			return i
		}
	}
	return len(hashes)
}
