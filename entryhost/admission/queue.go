package admission

import (
	"container/heap"
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

// WaitingDispatch is a dispatch that waits for a server.
type WaitingDispatch struct {
	Dispatch Dispatch
	Since    time.Time
}

// Lane is the class of waiting dispatches that can use the same servers. Separate
// lanes keep a version without free servers from blocking the others. Resumed
// requests have lanes of their own, which precede the other lanes of the same
// organisation.
type Lane struct {
	Version model.Version
	Resume  bool
}

// maxResumeOffers bounds the organisations offered in one pass over a lane of
// resumed requests: the first one may exclude the only servers with free slots.
// In other lanes all requests can use the same servers, so one offer is enough.
const maxResumeOffers = 4

func (l Lane) maxOffers() int {
	if l.Resume {
		return maxResumeOffers
	}
	return 1
}

// FairQueue orders waiting dispatches by weighted virtual time of their
// organisations (start-time fair queueing). Pushing and taking a dispatch cost
// O(log n) in the number of active organisations.
type FairQueue struct {
	// singleOwner queues all dispatches under one organisation.
	singleOwner   bool
	organisations map[model.OrganisationID]*organisationQueue
	lanes         map[Lane]*laneHeap
	idle          idleHeap
	virtualTime   float64
	length        int
	active        int
}

// organisationQueue is the waiting work of one organisation.
type organisationQueue struct {
	id model.OrganisationID
	// finishTag is the virtual time up to which the organisation was served.
	finishTag float64
	entries   map[Lane]*laneEntry
	// length is the number of waiting dispatches in all lanes.
	length int
	// idleIndex is the index in the idle heap, or -1.
	idleIndex int
}

// laneEntry is the waiting work of one organisation in one lane, oldest first.
type laneEntry struct {
	owner   *organisationQueue
	waiting []WaitingDispatch
	// index is the position in the heap of the lane.
	index int
}

// NewFairQueue returns an empty queue.
func NewFairQueue() *FairQueue {
	return &FairQueue{
		organisations: make(map[model.OrganisationID]*organisationQueue),
		lanes:         make(map[Lane]*laneHeap),
	}
}

// NewSharedQueue returns an empty queue that treats all dispatches as those of
// one organisation: first come, first served within a lane.
func NewSharedQueue() *FairQueue {
	queue := NewFairQueue()
	queue.singleOwner = true
	return queue
}

// Len returns the number of waiting dispatches.
func (q *FairQueue) Len() int { return q.length }

// Active returns the number of organisations with waiting dispatches.
func (q *FairQueue) Active() int { return q.active }

// WaitingOf returns the number of waiting dispatches of an organisation.
func (q *FairQueue) WaitingOf(id model.OrganisationID) int {
	if owner := q.organisations[q.ownerID(id)]; owner != nil {
		return owner.length
	}
	return 0
}

// AddWaiting adds the number of waiting dispatches of each organisation to counts.
func (q *FairQueue) AddWaiting(counts map[model.OrganisationID]int) {
	for id, owner := range q.organisations {
		if owner.length > 0 {
			counts[id] += owner.length
		}
	}
}

func (q *FairQueue) ownerID(id model.OrganisationID) model.OrganisationID {
	if q.singleOwner {
		return ""
	}
	return id
}

// Push adds a dispatch.
func (q *FairQueue) Push(waiting WaitingDispatch) {
	request := waiting.Dispatch.Request
	owner := q.activate(q.ownerID(request.Organisation))
	lane := Lane{Version: request.Version, Resume: request.Resume}
	entry := owner.entries[lane]
	if entry == nil {
		entry = &laneEntry{owner: owner}
		owner.entries[lane] = entry
		q.addToLane(lane, entry)
	}
	entry.waiting = append(entry.waiting, waiting)
	owner.length++
	q.length++
}

// activate returns the queue of an organisation that is about to receive a
// dispatch. An idle one gets the current virtual time, so that it earns no credit
// for the time it was idle.
func (q *FairQueue) activate(id model.OrganisationID) *organisationQueue {
	owner := q.organisations[id]
	if owner == nil {
		owner = &organisationQueue{id: id, entries: make(map[Lane]*laneEntry), idleIndex: -1}
		q.organisations[id] = owner
	}
	if owner.length == 0 {
		owner.finishTag = max(owner.finishTag, q.virtualTime)
		q.active++
	}
	if owner.idleIndex >= 0 {
		heap.Remove(&q.idle, owner.idleIndex)
	}
	return owner
}

func (q *FairQueue) addToLane(lane Lane, entry *laneEntry) {
	entries := q.lanes[lane]
	if entries == nil {
		entries = &laneHeap{}
		q.lanes[lane] = entries
	}
	heap.Push(entries, entry)
}

// Next offers waiting dispatches to take in fair order. It removes the first one
// that take accepts, charges the returned cost to its organisation and reports
// whether there was one.
func (q *FairQueue) Next(take func(WaitingDispatch) (cost float64, taken bool)) bool {
	for _, lane := range q.laneOrder() {
		if q.nextInLane(lane, take) {
			return true
		}
	}
	return false
}

// laneOrder returns the lanes sorted by their first organisation; for the same
// organisation, resumed requests go first. There are at most two lanes for each
// version in use.
func (q *FairQueue) laneOrder() []Lane {
	order := make([]Lane, 0, len(q.lanes))
	for lane := range q.lanes {
		at := len(order)
		order = append(order, lane)
		for at > 0 && q.laneBefore(lane, order[at-1]) {
			order[at] = order[at-1]
			at--
		}
		order[at] = lane
	}
	return order
}

func (q *FairQueue) laneBefore(a, b Lane) bool {
	first, second := (*q.lanes[a])[0].owner, (*q.lanes[b])[0].owner
	if first != second {
		return first.before(second)
	}
	if a.Resume != b.Resume {
		return a.Resume
	}
	return a.Version < b.Version
}

func (q *FairQueue) nextInLane(lane Lane, take func(WaitingDispatch) (float64, bool)) bool {
	entries := q.lanes[lane]
	var refused []*laneEntry
	taken := false
	for len(refused) < lane.maxOffers() && entries.Len() > 0 && !taken {
		entry := (*entries)[0]
		cost, accepted := take(entry.waiting[0])
		if !accepted {
			refused = append(refused, heap.Pop(entries).(*laneEntry))
			continue
		}
		taken = true
		q.remove(lane, entry)
		q.charge(entry.owner, cost)
	}
	for _, entry := range refused {
		q.addToLane(lane, entry)
	}
	if entries.Len() == 0 && len(refused) == 0 {
		delete(q.lanes, lane)
	}
	return taken
}

// remove drops the oldest dispatch of an entry.
func (q *FairQueue) remove(lane Lane, entry *laneEntry) {
	entry.waiting[0] = WaitingDispatch{}
	entry.waiting = entry.waiting[1:]
	q.updateCounts(lane, entry, 1)
}

// updateCounts updates lengths, heaps and maps after count dispatches were removed
// from an entry.
func (q *FairQueue) updateCounts(lane Lane, entry *laneEntry, count int) {
	q.length -= count
	entry.owner.length -= count
	if len(entry.waiting) == 0 {
		heap.Remove(q.lanes[lane], entry.index)
		delete(entry.owner.entries, lane)
		if q.lanes[lane].Len() == 0 {
			delete(q.lanes, lane)
		}
	}
	if entry.owner.length == 0 {
		q.active--
		heap.Push(&q.idle, entry.owner)
	}
}

// charge advances the queue to the start of the served dispatch and the
// organisation by its cost, both in virtual time.
func (q *FairQueue) charge(owner *organisationQueue, cost float64) {
	q.virtualTime = max(q.virtualTime, owner.finishTag)
	owner.finishTag += cost
	q.reorder(owner)
	q.dropIdle()
}

// Credit returns the unused part of an earlier charge. It does nothing for an
// organisation that was dropped as idle: its virtual time has already passed.
func (q *FairQueue) Credit(id model.OrganisationID, cost float64) {
	owner := q.organisations[q.ownerID(id)]
	if owner == nil {
		return
	}
	owner.finishTag = max(owner.finishTag-cost, q.virtualTime)
	q.reorder(owner)
	q.dropIdle()
}

// reorder restores the heaps after the finish tag of an organisation changed.
func (q *FairQueue) reorder(owner *organisationQueue) {
	for lane, entry := range owner.entries {
		heap.Fix(q.lanes[lane], entry.index)
	}
	if owner.idleIndex >= 0 {
		heap.Fix(&q.idle, owner.idleIndex)
	}
}

// dropIdle removes idle organisations whose finish tag has passed, so that memory
// is bounded by the active organisations.
func (q *FairQueue) dropIdle() {
	for q.idle.Len() > 0 && q.idle[0].finishTag <= q.virtualTime {
		owner := heap.Pop(&q.idle).(*organisationQueue)
		delete(q.organisations, owner.id)
	}
}

// Each calls visit for all waiting dispatches. It reads the lists but not the
// heaps, so it is safe after a panic in the middle of a change.
func (q *FairQueue) Each(visit func(WaitingDispatch)) {
	for _, owner := range q.organisations {
		for _, entry := range owner.entries {
			for _, waiting := range entry.waiting {
				visit(waiting)
			}
		}
	}
}

// RemoveIf removes the dispatches for which drop returns true.
func (q *FairQueue) RemoveIf(drop func(WaitingDispatch) bool) {
	for _, owner := range q.organisations {
		for lane, entry := range owner.entries {
			q.removeFrom(lane, entry, drop)
		}
	}
}

func (q *FairQueue) removeFrom(lane Lane, entry *laneEntry, drop func(WaitingDispatch) bool) {
	kept := entry.waiting[:0]
	for _, waiting := range entry.waiting {
		if !drop(waiting) {
			kept = append(kept, waiting)
		}
	}
	dropped := len(entry.waiting) - len(kept)
	clear(entry.waiting[len(kept):])
	entry.waiting = kept
	if dropped > 0 {
		q.updateCounts(lane, entry, dropped)
	}
}

// before orders by finish tag, then by id.
func (o *organisationQueue) before(other *organisationQueue) bool {
	if o.finishTag != other.finishTag {
		return o.finishTag < other.finishTag
	}
	return o.id < other.id
}
