package catalog

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

// merge returns the registrations that count now, and when to look again. Ids
// of present are registered; an id that only old has is kept until the grace
// after the store's return is over, because it may have lapsed in the outage.
func merge(old, present routing.Servers, returned, now time.Time) (routing.Servers, time.Time) {
	end := returned.Add(lapseGrace)
	if returned.IsZero() || !now.Before(end) {
		return present, time.Time{}
	}
	merged := make(routing.Servers, len(present)+len(old))
	for id, server := range present {
		merged[id] = server
	}
	var again time.Time
	for id, server := range old {
		if _, found := merged[id]; !found {
			merged[id] = server
			again = end
		}
	}
	return merged, again
}
