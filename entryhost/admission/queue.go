package admission

import (
	"container/heap"
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

// Waiting is a dispatch in the queue.
type Waiting struct {
	Dispatch Dispatch
	Since    time.Time
}

// Lane separates waiting work that needs different servers, so that a version
// without free servers does not block the others. Resumed requests have lanes
// of their own, which go first among the work of their organisation.
type Lane struct {
	Version model.Version
	Resume  bool
}

// resumeTries bounds the organisations that are offered in a lane of resumed
// work before it counts as blocked, as one may exclude the only servers with
// room. Other requests of a lane may use the same servers, so one try decides.
const resumeTries = 4

func (l Lane) tries() int {
	if l.Resume {
		return resumeTries
	}
	return 1
}

// FairQueue orders waiting dispatches by weighted virtual time of their
// organisations (start-time fair queueing). Each operation costs O(log n) in
// the number of active organisations.
type FairQueue struct {
	shared        bool
	organisations map[model.OrganisationID]*organisationQueue
	lanes         map[Lane]*laneHeap
	idle          idleHeap
	virtual       float64
	length        int
	active        int
}

// organisationQueue is the waiting work of one organisation.
type organisationQueue struct {
	id model.OrganisationID
	// finish is the virtual time up to which the organisation was served.
	finish  float64
	entries map[Lane]*laneEntry
	length  int
	// idleIndex is the place in the idle heap, or -1.
	idleIndex int
}

// laneEntry is the waiting work of one organisation in one lane, oldest first.
type laneEntry struct {
	owner   *organisationQueue
	waiting []Waiting
	index   int
}

// NewFairQueue returns an empty queue.
func NewFairQueue() *FairQueue {
	return &FairQueue{
		organisations: make(map[model.OrganisationID]*organisationQueue),
		lanes:         make(map[Lane]*laneHeap),
	}
}

// NewSharedQueue returns a queue that treats all work as that of one
// organisation: first come, first served within a lane.
func NewSharedQueue() *FairQueue {
	queue := NewFairQueue()
	queue.shared = true
	return queue
}

// Len returns the number of waiting dispatches.
func (q *FairQueue) Len() int { return q.length }

// Active returns the number of organisations with waiting work.
func (q *FairQueue) Active() int { return q.active }

// Owned returns the number of waiting dispatches of an organisation.
func (q *FairQueue) Owned(id model.OrganisationID) int {
	if owner := q.organisations[q.owner(id)]; owner != nil {
		return owner.length
	}
	return 0
}

// AddOwned adds the number of waiting dispatches of each organisation to counts.
func (q *FairQueue) AddOwned(counts map[model.OrganisationID]int) {
	for id, owner := range q.organisations {
		if owner.length > 0 {
			counts[id] += owner.length
		}
	}
}

func (q *FairQueue) owner(id model.OrganisationID) model.OrganisationID {
	if q.shared {
		return ""
	}
	return id
}

// Push adds a dispatch.
func (q *FairQueue) Push(waiting Waiting) {
	request := waiting.Dispatch.Request
	owner := q.activate(q.owner(request.Organisation))
	lane := Lane{Version: request.Version, Resume: request.Resume}
	entry := owner.entries[lane]
	if entry == nil {
		entry = &laneEntry{owner: owner}
		owner.entries[lane] = entry
		q.enterLane(lane, entry)
	}
	entry.waiting = append(entry.waiting, waiting)
	owner.length++
	q.length++
}

// activate returns the organisation with a virtual time that gives it no credit
// for the time it was idle.
func (q *FairQueue) activate(id model.OrganisationID) *organisationQueue {
	owner := q.organisations[id]
	if owner == nil {
		owner = &organisationQueue{id: id, entries: make(map[Lane]*laneEntry), idleIndex: -1}
		q.organisations[id] = owner
	}
	if owner.length == 0 {
		owner.finish = max(owner.finish, q.virtual)
		q.active++
	}
	if owner.idleIndex >= 0 {
		heap.Remove(&q.idle, owner.idleIndex)
	}
	return owner
}

func (q *FairQueue) enterLane(lane Lane, entry *laneEntry) {
	entries := q.lanes[lane]
	if entries == nil {
		entries = &laneHeap{}
		q.lanes[lane] = entries
	}
	heap.Push(entries, entry)
}

// Next offers waiting dispatches in fair order. It removes the first one that
// take accepts, charges its organisation the returned cost, and reports whether
// one was taken.
func (q *FairQueue) Next(take func(Waiting) (cost float64, taken bool)) bool {
	for _, lane := range q.laneOrder() {
		if q.nextInLane(lane, take) {
			return true
		}
	}
	return false
}

// laneOrder sorts the lanes by their earliest organisation; resumed work goes
// first on equal terms. The number of lanes is twice the versions in use.
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

func (q *FairQueue) nextInLane(lane Lane, take func(Waiting) (float64, bool)) bool {
	entries := q.lanes[lane]
	var refused []*laneEntry
	taken := false
	for len(refused) < lane.tries() && entries.Len() > 0 && !taken {
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
		q.enterLane(lane, entry)
	}
	if entries.Len() == 0 && len(refused) == 0 {
		delete(q.lanes, lane)
	}
	return taken
}

// remove drops the oldest dispatch of an entry.
func (q *FairQueue) remove(lane Lane, entry *laneEntry) {
	entry.waiting[0] = Waiting{}
	entry.waiting = entry.waiting[1:]
	q.shrink(lane, entry, 1)
}

// shrink accounts for dispatches that were taken out of an entry.
func (q *FairQueue) shrink(lane Lane, entry *laneEntry, count int) {
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

// charge advances the virtual time of an organisation and of the queue.
func (q *FairQueue) charge(owner *organisationQueue, cost float64) {
	q.virtual = max(q.virtual, owner.finish)
	owner.finish += cost
	q.reorder(owner)
	q.forgetIdle()
}

// Credit gives back a part of an earlier charge that was not used. An
// organisation that was idle since and is forgotten has no use for it.
func (q *FairQueue) Credit(id model.OrganisationID, cost float64) {
	owner := q.organisations[q.owner(id)]
	if owner == nil {
		return
	}
	owner.finish = max(owner.finish-cost, q.virtual)
	q.reorder(owner)
	q.forgetIdle()
}

// reorder moves an organisation to its place after its virtual time changed.
func (q *FairQueue) reorder(owner *organisationQueue) {
	for lane, entry := range owner.entries {
		heap.Fix(q.lanes[lane], entry.index)
	}
	if owner.idleIndex >= 0 {
		heap.Fix(&q.idle, owner.idleIndex)
	}
}

// forgetIdle drops idle organisations whose virtual time has passed, so that
// the state is bounded by the active organisations.
func (q *FairQueue) forgetIdle() {
	for q.idle.Len() > 0 && q.idle[0].finish <= q.virtual {
		owner := heap.Pop(&q.idle).(*organisationQueue)
		delete(q.organisations, owner.id)
	}
}

// Each visits all waiting dispatches. It reads only the lists and not the
// heaps, so it is safe on a queue whose owner failed in the middle of a change.
func (q *FairQueue) Each(visit func(Waiting)) {
	for _, owner := range q.organisations {
		for _, entry := range owner.entries {
			for _, waiting := range entry.waiting {
				visit(waiting)
			}
		}
	}
}

// RemoveIf removes the dispatches for which drop returns true.
func (q *FairQueue) RemoveIf(drop func(Waiting) bool) {
	for _, owner := range q.organisations {
		for lane, entry := range owner.entries {
			q.removeFrom(lane, entry, drop)
		}
	}
}

func (q *FairQueue) removeFrom(lane Lane, entry *laneEntry, drop func(Waiting) bool) {
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
		q.shrink(lane, entry, dropped)
	}
}

func (o *organisationQueue) before(other *organisationQueue) bool {
	if o.finish != other.finish {
		return o.finish < other.finish
	}
	return o.id < other.id
}
