package admission

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// usageLifetime is how long the usage of another host holds: several rounds
	// of upkeepInterval, in which each host shares its usage.
	usageLifetime = 5 * time.Second
	// maxBalance bounds how much faster or slower the limits of a host may grow.
	maxBalance = 4.0
	// maxUsageEntries fits one fact: 6 bytes for each organisation.
	maxUsageEntries = 40
)

// OrganisationHash stands for an organisation in a usage fact.
type OrganisationHash uint32

// UsageEntry is the number of requests that an organisation has open.
type UsageEntry struct {
	Organisation OrganisationHash
	Open         uint16
}

func hashOrganisation(id model.OrganisationID) OrganisationHash {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return OrganisationHash(hash.Sum32())
}

// largestUsage returns the entries of the organisations with the most open
// requests; the others are too small to matter for fairness.
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

// UsageTable holds the usage of the other entry hosts.
type UsageTable struct {
	hosts  map[model.HostID]hostUsage
	totals map[OrganisationHash]int
}

// NewUsageTable returns an empty table.
func NewUsageTable() *UsageTable {
	return &UsageTable{hosts: make(map[model.HostID]hostUsage), totals: make(map[OrganisationHash]int)}
}

// Learn replaces the usage of another host.
func (t *UsageTable) Learn(now time.Time, origin model.HostID, entries []UsageEntry) {
	t.forget(origin)
	t.hosts[origin] = hostUsage{entries: entries, at: now}
	for _, entry := range entries {
		t.totals[entry.Organisation] += int(entry.Open)
	}
}

func (t *UsageTable) forget(origin model.HostID) {
	for _, entry := range t.hosts[origin].entries {
		t.totals[entry.Organisation] -= int(entry.Open)
		if t.totals[entry.Organisation] <= 0 {
			delete(t.totals, entry.Organisation)
		}
	}
	delete(t.hosts, origin)
}

// Expire drops hosts that were not heard of within the lifetime.
func (t *UsageTable) Expire(now time.Time) {
	for origin, usage := range t.hosts {
		if now.Sub(usage.at) > usageLifetime {
			t.forget(origin)
		}
	}
}

// Elsewhere returns the requests that an organisation has open on other hosts.
func (t *UsageTable) Elsewhere(id model.OrganisationID) int { return t.totals[hashOrganisation(id)] }

// Balance compares the weight of the organisations with open requests on this
// host with that on the others, so that an organisation gets the same service
// whichever host it uses.
type Balance struct {
	// Step is the increase of limits, 1 for a host with the mean weight.
	Step float64
	// Part is this host's part of all weight, or 0 while no other host is known.
	Part float64
}

// Balance returns this host's balance, given its own usage.
func (t *UsageTable) Balance(own []UsageEntry) Balance {
	mine, theirs := 0.0, 0.0
	here := make(map[OrganisationHash]int, len(own))
	for _, entry := range own {
		here[entry.Organisation] = int(entry.Open)
		mine += presence(int(entry.Open), t.totals[entry.Organisation])
	}
	for _, usage := range t.hosts {
		for _, entry := range usage.entries {
			total := t.totals[entry.Organisation] + here[entry.Organisation]
			theirs += float64(entry.Open) / float64(max(total, 1))
		}
	}
	if mine == 0 || theirs == 0 {
		return Balance{Step: 1}
	}
	mean := (mine + theirs) / float64(1+len(t.hosts))
	return Balance{Step: min(max(mine/mean, 1/maxBalance), maxBalance), Part: mine / (mine + theirs)}
}

// presence is the part of an organisation's open requests that is on this host.
// Its weight here is multiplied by it, so that the weights over all hosts add up
// to its weight and spreading gains nothing.
func presence(here, elsewhere int) float64 {
	here = max(here, 1)
	return float64(here) / float64(here+elsewhere)
}
