package admission

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// usageLifetime is how long the usage of another host is valid: several times
	// maintenanceInterval, at which each host publishes its usage.
	usageLifetime = 5 * time.Second
	// maxStepFactor bounds the increase of limits on a host, and its inverse, as
	// multiples of the increase for the mean weight.
	maxStepFactor = 4.0
	// maxUsageEntries bounds the organisations in one usage fact. At usageEntryBytes,
	// 6 bytes each, their entries fit into peers.MaxFactBytes.
	maxUsageEntries = 40
)

// OrganisationHash identifies an organisation in a usage fact, in 4 bytes.
type OrganisationHash uint32

// UsageEntry is the number of requests that an organisation has open on one entry
// host, at most 65535.
type UsageEntry struct {
	Organisation OrganisationHash
	Open         uint16
}

func hashOrganisation(id model.OrganisationID) OrganisationHash {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return OrganisationHash(hash.Sum32())
}

// largestUsage returns the entries of the maxUsageEntries organisations with the
// most open requests; the others are too small to matter for fairness.
func largestUsage(open map[model.OrganisationID]int) []UsageEntry {
	entries := make([]UsageEntry, 0, len(open))
	for id, count := range open {
		if count > 0 {
			entries = append(entries, UsageEntry{Organisation: hashOrganisation(id), Open: uint16(min(count, 1<<16-1))})
		}
	}
	slices.SortFunc(entries, func(a, b UsageEntry) int {
		return cmp.Or(cmp.Compare(b.Open, a.Open), cmp.Compare(a.Organisation, b.Organisation))
	})
	return entries[:min(len(entries), maxUsageEntries)]
}

type hostUsage struct {
	entries []UsageEntry
	at      time.Time
}

// UsageTable holds the usage that other entry hosts published, and its totals by
// organisation.
type UsageTable struct {
	hosts  map[model.HostID]hostUsage
	totals map[OrganisationHash]int
}

// NewUsageTable returns an empty table.
func NewUsageTable() *UsageTable {
	return &UsageTable{hosts: make(map[model.HostID]hostUsage), totals: make(map[OrganisationHash]int)}
}

// Update replaces the usage of another host.
func (t *UsageTable) Update(now time.Time, origin model.HostID, entries []UsageEntry) {
	t.remove(origin)
	t.hosts[origin] = hostUsage{entries: entries, at: now}
	for _, entry := range entries {
		t.totals[entry.Organisation] += int(entry.Open)
	}
}

func (t *UsageTable) remove(origin model.HostID) {
	for _, entry := range t.hosts[origin].entries {
		t.totals[entry.Organisation] -= int(entry.Open)
		if t.totals[entry.Organisation] <= 0 {
			delete(t.totals, entry.Organisation)
		}
	}
	delete(t.hosts, origin)
}

// Expire removes hosts whose last fact is older than usageLifetime.
func (t *UsageTable) Expire(now time.Time) {
	for origin, usage := range t.hosts {
		if now.Sub(usage.at) > usageLifetime {
			t.remove(origin)
		}
	}
}

// OpenElsewhere returns the number of requests that an organisation has open on
// other entry hosts.
func (t *UsageTable) OpenElsewhere(id model.OrganisationID) int {
	return t.totals[hashOrganisation(id)]
}

// Balance compares the number of organisations with open requests on this entry
// host with that on the others; an organisation on several hosts counts on each in
// proportion. It scales the limits of the hosts, so that an organisation gets the
// same rate whichever host it uses.
type Balance struct {
	// Step is the additive increase of limits, 1 for a host with the mean weight.
	Step float64
	// Share is this host's share of the total weight, from 0 to 1, or 0 if this host
	// or all others are idle.
	Share float64
}

// Balance returns the balance of this host, given its own usage.
func (t *UsageTable) Balance(own []UsageEntry) Balance {
	localWeight, remoteWeight := 0.0, 0.0
	localOpen := make(map[OrganisationHash]int, len(own))
	for _, entry := range own {
		localOpen[entry.Organisation] = int(entry.Open)
		localWeight += localShare(int(entry.Open), t.totals[entry.Organisation])
	}
	for _, usage := range t.hosts {
		for _, entry := range usage.entries {
			total := t.totals[entry.Organisation] + localOpen[entry.Organisation]
			remoteWeight += float64(entry.Open) / float64(max(total, 1))
		}
	}
	if localWeight == 0 || remoteWeight == 0 {
		return Balance{Step: 1}
	}
	mean := (localWeight + remoteWeight) / float64(1+len(t.hosts))
	return Balance{Step: min(max(localWeight/mean, 1/maxStepFactor), maxStepFactor), Share: localWeight / (localWeight + remoteWeight)}
}

// localShare returns the share of an organisation's open requests that is on this
// host. The organisation's weight is multiplied by it on each host, so that the
// weights on all hosts add up to the configured one and an organisation gains
// nothing by spreading its requests.
func localShare(here, elsewhere int) float64 {
	here = max(here, 1)
	return float64(here) / float64(here+elsewhere)
}
