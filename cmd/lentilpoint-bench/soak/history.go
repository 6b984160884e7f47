package soak

import "time"

// span is a period of time. A zero end means that it has not ended.
type span struct{ from, to time.Time }

// overlaps reports whether the span has a moment in common with the period.
func (s span) overlaps(from, to time.Time) bool {
	return !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from))
}

// history records what the soak did to hosts and servers, so that the checks can
// apply the excuses that the guarantees grant.
type history struct {
	// hosts holds, by number, the unplanned disturbances of each host: kills, pauses
	// and starts.
	hosts map[int][]span
	// services holds the unplanned disturbances of servers and of their links, by
	// service.
	services map[string][]span
	// stops holds, by number, when each host was sent a SIGTERM.
	stops map[int][]time.Time
}

func newHistory() *history {
	return &history{hosts: map[int][]span{}, services: map[string][]span{}, stops: map[int][]time.Time{}}
}

// disturbHost records a disturbance of a moment.
func (h *history) disturbHost(host int) {
	now := time.Now()
	h.hosts[host] = append(h.hosts[host], span{from: now, to: now})
}

// beginHost records the begin of a disturbance, and returns a function that records its
// end.
func (h *history) beginHost(host int) func() {
	h.hosts[host] = append(h.hosts[host], span{from: time.Now()})
	index := len(h.hosts[host]) - 1
	return func() { h.hosts[host][index].to = time.Now() }
}

// beginService does the same for the servers of a service.
func (h *history) beginService(service string) func() {
	h.services[service] = append(h.services[service], span{from: time.Now()})
	index := len(h.services[service]) - 1
	return func() { h.services[service][index].to = time.Now() }
}

// contactTime is how long before a request a disturbance still excuses its result. It is
// the contact time of the installations.
const contactTime = 3 * time.Second

// hostDisturbed reports whether the host had an unplanned disturbance from contactTime
// before the request until its end.
func (h *history) hostDisturbed(o outcome) bool {
	return overlapsAny(h.hosts[o.host], o.startedAt.Add(-contactTime), o.endedAt)
}

// servicesDisturbed reports the same for the services that may run the request.
func (h *history) servicesDisturbed(o outcome) bool {
	for _, service := range servicesByKind[o.kind] {
		if overlapsAny(h.services[service], o.startedAt.Add(-contactTime), o.endedAt) {
			return true
		}
	}
	return false
}

// lastStop returns when the host was last sent a SIGTERM before the request ended, or
// the zero time.
func (h *history) lastStop(o outcome) time.Time {
	var last time.Time
	for _, stop := range h.stops[o.host] {
		if !stop.After(o.endedAt) {
			last = stop
		}
	}
	return last
}

func overlapsAny(spans []span, from, to time.Time) bool {
	for _, s := range spans {
		if s.overlaps(from, to) {
			return true
		}
	}
	return false
}
