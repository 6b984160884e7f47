package events

// Ring is a ring buffer that holds the newest events up to a fixed number.
type Ring struct {
	events []Event
	start  int
}

// NewRing returns an empty ring with room for size events.
func NewRing(size int) *Ring {
	return &Ring{events: make([]Event, 0, size)}
}

// Add stores an event. If the ring is full, the event replaces the oldest one.
func (r *Ring) Add(event Event) {
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, event)
		return
	}
	r.events[r.start] = event
	r.start = (r.start + 1) % len(r.events)
}

// Select returns the matching events, oldest first. If the query has a limit, it
// returns the newest events up to that limit.
func (r *Ring) Select(query Query) []Event {
	selected := make([]Event, 0)
	for i := range r.events {
		event := r.events[(r.start+i)%len(r.events)]
		if query.Matches(event) {
			selected = append(selected, event)
		}
	}
	if query.Limit > 0 && len(selected) > query.Limit {
		selected = selected[len(selected)-query.Limit:]
	}
	return selected
}

// Matches reports whether the query selects the event.
func (q Query) Matches(event Event) bool {
	switch {
	case q.Request != "" && event.Request != q.Request:
		return false
	case q.Move != "" && event.Move != q.Move:
		return false
	case q.Organisation != "" && event.Organisation != q.Organisation:
		return false
	}
	return !event.At.Before(q.Since)
}
