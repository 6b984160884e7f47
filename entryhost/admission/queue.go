package admission

import (
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

// FairQueue orders waiting dispatches by weighted virtual time of their
// organisations; resumed requests of an organisation go first.
type FairQueue struct {
	organisations map[model.OrganisationID]*organisationQueue
	virtual       float64
	length        int
}

type organisationQueue struct {
	waiting []Waiting
	// finish is the virtual time up to which the organisation was served.
	finish float64
}

// Waiting is a dispatch in the queue.
type Waiting struct {
	Dispatch Dispatch
	Since    time.Time
}

// NewFairQueue returns an empty queue.
func NewFairQueue() *FairQueue {
	return &FairQueue{organisations: make(map[model.OrganisationID]*organisationQueue)}
}

// Len returns the number of waiting dispatches.
func (q *FairQueue) Len() int { return q.length }

// Push adds a dispatch.
func (q *FairQueue) Push(waiting Waiting) {
	id := waiting.Dispatch.Request.Organisation
	queue := q.organisations[id]
	if queue == nil {
		queue = &organisationQueue{finish: q.virtual}
		q.organisations[id] = queue
	}
	queue.push(waiting)
	q.length++
}

func (o *organisationQueue) push(waiting Waiting) {
	if !waiting.Dispatch.Request.Resume {
		o.waiting = append(o.waiting, waiting)
		return
	}
	at := 0
	for at < len(o.waiting) && o.waiting[at].Dispatch.Request.Resume {
		at++
	}
	o.waiting = append(o.waiting, Waiting{})
	copy(o.waiting[at+1:], o.waiting[at:])
	o.waiting[at] = waiting
}

// Next visits the queue in fair order. It removes and charges the first
// dispatch that take accepts, at most one for each organisation being offered,
// and reports whether one was taken.
func (q *FairQueue) Next(take func(Waiting) bool) bool {
	tried := make(map[model.OrganisationID]bool)
	for len(tried) < len(q.organisations) {
		id, queue := q.earliest(tried)
		if queue == nil {
			return false
		}
		tried[id] = true
		if !take(queue.waiting[0]) {
			continue
		}
		q.charge(id, queue)
		return true
	}
	return false
}

func (q *FairQueue) earliest(tried map[model.OrganisationID]bool) (model.OrganisationID, *organisationQueue) {
	var bestID model.OrganisationID
	var best *organisationQueue
	for id, queue := range q.organisations {
		if tried[id] || len(queue.waiting) == 0 {
			continue
		}
		if best == nil || queue.finish < best.finish || (queue.finish == best.finish && id < bestID) {
			bestID, best = id, queue
		}
	}
	return bestID, best
}

func (q *FairQueue) charge(id model.OrganisationID, queue *organisationQueue) {
	request := queue.waiting[0].Dispatch.Request
	start := max(queue.finish, q.virtual)
	q.virtual = start
	queue.finish = start + float64(max(request.Cost, 1))/float64(max(request.Weight, 1))
	queue.waiting = queue.waiting[1:]
	q.length--
	q.forgetIdle(id)
}

// forgetIdle drops organisations without waiting work whose virtual time has
// passed, so that the state is bounded by the active organisations.
func (q *FairQueue) forgetIdle(last model.OrganisationID) {
	for id, queue := range q.organisations {
		if id != last && len(queue.waiting) == 0 && queue.finish <= q.virtual {
			delete(q.organisations, id)
		}
	}
}

// RemoveIf removes the dispatches for which drop returns true.
func (q *FairQueue) RemoveIf(drop func(Waiting) bool) {
	for _, queue := range q.organisations {
		kept := queue.waiting[:0]
		for _, waiting := range queue.waiting {
			if drop(waiting) {
				q.length--
				continue
			}
			kept = append(kept, waiting)
		}
		clear(queue.waiting[len(kept):])
		queue.waiting = kept
	}
}
