package catalog

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

// mergeRegistrations returns the valid registrations and when to merge again, or
// a zero time. Servers in present are registered. A server that is only in old is
// kept until the grace period after the store's recovery ends, because its
// registration may have lapsed during the outage.
func mergeRegistrations(old, present routing.Servers, storeRecovered, now time.Time) (routing.Servers, time.Time) {
	end := storeRecovered.Add(lapseGracePeriod)
	if storeRecovered.IsZero() || !now.Before(end) {
		return present, time.Time{}
	}
	merged := make(routing.Servers, len(present)+len(old))
	for id, server := range present {
		merged[id] = server
	}
	var recheckAt time.Time
	for id, server := range old {
		if _, found := merged[id]; !found {
			merged[id] = server
			recheckAt = end
		}
	}
	return merged, recheckAt
}
