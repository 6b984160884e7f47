package control

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
)

// LeasePolicy holds the times of a lease.
type LeasePolicy struct {
	// Duration is how long a lease holds after it was written.
	Duration time.Duration
	// Margin is how much earlier the holder stops. It covers clock drift and
	// orders that are under way.
	Margin time.Duration
	// Stagger delays each next host in the order of preference.
	Stagger time.Duration
	// Unsafe takes a lease without waiting for the end of the old one and acts
	// from then on without renewing or checking it. It is the no-fencing baseline of the experiments.
	Unsafe bool
}

const (
	// candidateHosts is how many hosts read the lease row in each lease period.
	// The others read it less often, which keeps the reads of the table bounded.
	candidateHosts = 3
	// spectatorPeriods is the time between reads of the other hosts in lease
	// periods. They step in when all candidates are cut off from the platform; a
	// change of the host list makes them look at once.
	spectatorPeriods = 5
)

// unsafeTerm is the length of a term that is not checked.
const unsafeTerm = time.Hour

// LeaseRecord is the content of a lease row.
type LeaseRecord struct {
	Holder      model.HostID      `json:"holder"`
	Incarnation model.Incarnation `json:"incarnation"`
	// Fencing grows with each new holder.
	Fencing  uint64        `json:"fencing"`
	Duration time.Duration `json:"duration"`
	// Nonce identifies one write, to read back an outcome whose answer was lost.
	Nonce uint64 `json:"nonce"`
}

// LeaseView is what a host knows of a lease row.
type LeaseView struct {
	Record  LeaseRecord
	Version platform.RowVersion
	// FirstSeen is when this host first saw the row version, by its own clock.
	FirstSeen time.Time
}

// Owner is the identity under which an entry host holds leases.
type Owner struct {
	Host        model.HostID
	Incarnation model.Incarnation
}

// Owns reports whether the record names this host and incarnation.
func (o Owner) Owns(record LeaseRecord) bool {
	return record.Holder == o.Host && record.Incarnation == o.Incarnation
}

// Observe returns the view after a read of the row. The time of an unchanged
// version is kept, as the wait of a new holder starts when it first saw it.
func (v LeaseView) Observe(now time.Time, record LeaseRecord, version platform.RowVersion) LeaseView {
	if v.Version == version && !v.FirstSeen.IsZero() {
		return v
	}
	return LeaseView{Record: record, Version: version, FirstSeen: now}
}

// MayTake reports whether the host may try to become the holder. The old
// holder counts from before its write and this host from after it saw the
// result, so that the old lease is over by any clock that runs at the same rate.
func (p LeasePolicy) MayTake(now time.Time, owner Owner, view LeaseView, rank int) bool {
	switch {
	case view.Version == 0 || owner.Owns(view.Record) || p.Unsafe:
		return true
	default:
		return !now.Before(view.FirstSeen.Add(view.Record.Duration + time.Duration(rank)*p.Stagger))
	}
}

// Next returns the record that takes or renews the lease.
func (p LeasePolicy) Next(owner Owner, view LeaseView, renew bool, nonce uint64) LeaseRecord {
	fencing := view.Record.Fencing + 1
	if renew {
		fencing = view.Record.Fencing
	}
	return LeaseRecord{Holder: owner.Host, Incarnation: owner.Incarnation, Fencing: fencing, Duration: p.Duration, Nonce: nonce}
}

// Until returns the time at which a holder stops. Sent is the time before the
// write was sent.
func (p LeasePolicy) Until(sent time.Time) time.Time {
	if p.Unsafe {
		return sent.Add(unsafeTerm)
	}
	return sent.Add(p.Duration - p.Margin)
}

// Pause returns the time until the next read or write of the row.
func (p LeasePolicy) Pause(holds bool, rank int) time.Duration {
	switch {
	case holds:
		return p.Duration / 4
	case rank < candidateHosts:
		return p.Duration / 3
	default:
		return spectatorPeriods * p.Duration
	}
}

// Rank returns the place of a host among the live entry hosts in the order in
// which they try to take the lease of a service (rendezvous hashing), which
// spreads the leases over the hosts.
func Rank(service model.ServiceName, self model.HostID, hosts []model.HostID) int {
	order := slices.Clone(hosts)
	if !slices.Contains(order, self) {
		order = append(order, self)
	}
	slices.SortFunc(order, func(a, b model.HostID) int {
		return cmp.Or(cmp.Compare(weight(service, b), weight(service, a)), cmp.Compare(a, b))
	})
	return slices.Index(order, self)
}

func weight(service model.ServiceName, host model.HostID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(string(service) + "\x00" + string(host)))
	// FNV mixes the last bytes weakly into the high bits; the multiplication spreads them.
	sum := hash.Sum64()
	return (sum ^ sum>>29) * 0x9E3779B97F4A7C15
}
