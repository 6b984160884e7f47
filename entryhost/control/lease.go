package control

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
)

// LeasePolicy holds the timing of leases.
type LeasePolicy struct {
	// Duration is how long a lease is valid after it was written.
	Duration time.Duration
	// Margin is how long before the end of the lease the holder stops. It covers
	// clock drift and orders that are in flight.
	Margin time.Duration
	// Stagger is the additional wait per rank before a host takes an expired lease.
	Stagger time.Duration
	// Unsafe takes a lease without waiting for the end of the old one, and never
	// renews or checks it afterwards. It is the no-fencing baseline of the
	// experiments.
	Unsafe bool
}

const (
	// candidateHosts is the number of hosts that read the lease row several times
	// per lease duration. The others read it less often, which bounds the reads of
	// the table.
	candidateHosts = 3
	// otherHostReadPeriods is the read interval of the other hosts, in lease
	// durations. They take over when all candidates have lost the platform; a
	// change of the host list makes them read at once.
	otherHostReadPeriods = 5
)

// unsafeTermLength is the length of a term under LeasePolicy.Unsafe.
const unsafeTermLength = time.Hour

// LeaseRecord is the content of a lease row.
type LeaseRecord struct {
	Holder      model.HostID      `json:"holder"`
	Incarnation model.Incarnation `json:"incarnation"`
	// Fencing grows with each new holder.
	Fencing  uint64        `json:"fencing"`
	Duration time.Duration `json:"duration"`
	// Nonce identifies one write, so that the host can read back whether a write
	// whose answer was lost took effect.
	Nonce uint64 `json:"nonce"`
}

// LeaseView is the lease row as a host last read or wrote it.
type LeaseView struct {
	Record  LeaseRecord
	Version platform.RowVersion
	// FirstSeen is when this host first saw this row version, by its own clock.
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

// Observe returns the view after a read of the row. FirstSeen is kept while the
// version is unchanged, because the wait before taking a lease starts there.
func (v LeaseView) Observe(now time.Time, record LeaseRecord, version platform.RowVersion) LeaseView {
	if v.Version == version && !v.FirstSeen.IsZero() {
		return v
	}
	return LeaseView{Record: record, Version: version, FirstSeen: now}
}

// MayTake reports whether the host may try to become the holder. The old holder
// measures its lease from before its write, and this host from after it saw the
// result, so the old lease has ended if both clocks run at the same rate.
func (p LeasePolicy) MayTake(now time.Time, owner Owner, view LeaseView, rank int) bool {
	switch {
	case view.Version == 0 || owner.Owns(view.Record) || p.Unsafe:
		return true
	default:
		return !now.Before(view.FirstSeen.Add(view.Record.Duration + time.Duration(rank)*p.Stagger))
	}
}

// NextRecord returns the record that takes the lease, with the next fencing
// number, or that renews it with the same one.
func (p LeasePolicy) NextRecord(owner Owner, view LeaseView, renew bool, nonce uint64) LeaseRecord {
	fencing := view.Record.Fencing + 1
	if renew {
		fencing = view.Record.Fencing
	}
	return LeaseRecord{Holder: owner.Host, Incarnation: owner.Incarnation, Fencing: fencing, Duration: p.Duration, Nonce: nonce}
}

// TermEnd returns the end of the holder's term, given the time just before the
// lease write was sent.
func (p LeasePolicy) TermEnd(sent time.Time) time.Time {
	if p.Unsafe {
		return sent.Add(unsafeTermLength)
	}
	return sent.Add(p.Duration - p.Margin)
}

// PollInterval returns the time until the next read or renewal of the row.
func (p LeasePolicy) PollInterval(holds bool, rank int) time.Duration {
	switch {
	case holds:
		return p.Duration / 4
	case rank < candidateHosts:
		return p.Duration / 3
	default:
		return otherHostReadPeriods * p.Duration
	}
}

// Rank returns the position of a host among the live entry hosts in the order in
// which they try to take the lease of a service. The order comes from rendezvous
// hashing, which spreads the leases over the hosts.
func Rank(service model.ServiceName, self model.HostID, hosts []model.HostID) int {
	order := slices.Clone(hosts)
	if !slices.Contains(order, self) {
		order = append(order, self)
	}
	slices.SortFunc(order, func(a, b model.HostID) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(service, b), rendezvousWeight(service, a)), cmp.Compare(a, b))
	})
	return slices.Index(order, self)
}

func rendezvousWeight(service model.ServiceName, host model.HostID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(string(service) + "\x00" + string(host)))
	// FNV hardly mixes the last bytes into the high bits; the multiplication does.
	sum := hash.Sum64()
	return (sum ^ sum>>29) * 0x9E3779B97F4A7C15
}
