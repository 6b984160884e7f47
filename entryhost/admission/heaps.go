package admission

// laneHeap is a container/heap of the organisations that wait in one lane, the
// one with the lowest finish tag first.
type laneHeap []*laneEntry

func (h laneHeap) Len() int           { return len(h) }
func (h laneHeap) Less(i, j int) bool { return h[i].owner.before(h[j].owner) }

func (h laneHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *laneHeap) Push(entry any) {
	added := entry.(*laneEntry)
	added.index = len(*h)
	*h = append(*h, added)
}

// Pop implements heap.Interface.
func (h *laneHeap) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return entry
}

// idleHeap is a container/heap of the organisations without waiting dispatches,
// the one with the lowest finish tag first.
type idleHeap []*organisationQueue

func (h idleHeap) Len() int           { return len(h) }
func (h idleHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h idleHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].idleIndex, h[j].idleIndex = i, j
}

// Push implements heap.Interface.
func (h *idleHeap) Push(owner any) {
	added := owner.(*organisationQueue)
	added.idleIndex = len(*h)
	*h = append(*h, added)
}

// Pop implements heap.Interface.
func (h *idleHeap) Pop() any {
	last := len(*h) - 1
	owner := (*h)[last]
	owner.idleIndex = -1
	(*h)[last] = nil
	*h = (*h)[:last]
	return owner
}
