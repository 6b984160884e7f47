package loads

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

// hostReport is the last report of a host on a data centre.
type hostReport struct {
	HostLoads

	receivedAt time.Time
}

// board holds the reports on one data centre by host, and their sums.
type board struct {
	hosts         map[string]hostReport
	servers       map[string]Load
	organisations map[string]int
	ranks         map[int]int
	// grants are the servers reserved for hosts that have asked, few at a time.
	grants []grant
	speeds *Speeds
}

func newBoard() *board {
	return &board{hosts: map[string]hostReport{}, servers: map[string]Load{}, organisations: map[string]int{}, ranks: map[int]int{}, speeds: NewSpeeds()}
}

// exchange applies the host's report and returns the attempts of the others, with a grant if
// it asks for one.
func (b *board) exchange(report HostLoads, now time.Time) Others {
	b.apply(report, now)
	b.settle(report, now)
	for server, event := range report.FirstEvents {
		b.speeds.Observe(server, event)
	}
	others := b.others(report.Host)
	others.Granted = b.grant(report, now)
	return others
}

// apply replaces the host's report unless it is older than the one before.
func (b *board) apply(report HostLoads, now time.Time) {
	before, found := b.hosts[report.Host]
	if found && report.Sequence < before.Sequence {
		return
	}
	b.add(before.HostLoads, -1)
	b.add(report, 1)
	b.hosts[report.Host] = hostReport{HostLoads: report, receivedAt: now}
}

// add adds a report to the sums, or subtracts it if sign is -1.
func (b *board) add(report HostLoads, sign int) {
	for id, load := range report.Servers {
		setOrDelete(b.servers, id, b.servers[id].plus(load, sign))
	}
	for name, count := range report.Organisations {
		setOrDelete(b.organisations, name, b.organisations[name]+sign*count)
	}
	for rank, count := range report.Ranks {
		setOrDelete(b.ranks, rank, b.ranks[rank]+sign*count)
	}
}

func (l Load) plus(other Load, sign int) Load {
	return Load{Reading: l.Reading + sign*other.Reading, Decoding: l.Decoding + sign*other.Decoding, Failed: l.Failed + sign*other.Failed}
}

// setOrDelete sets the value of a key, or deletes the key if the value is zero.
func setOrDelete[K, V comparable](values map[K]V, key K, value V) {
	var zero V
	if value == zero {
		delete(values, key)
		return
	}
	values[key] = value
}

// others returns the sums without the host's own report.
func (b *board) others(host string) Others {
	own := b.hosts[host]
	others := Others{
		Servers: make(map[string]Load, len(b.servers)), Organisations: make(map[string]int, len(b.organisations)), Ranks: make(map[int]int, len(b.ranks)),
	}
	for id, total := range b.servers {
		setOrDelete(others.Servers, id, total.plus(own.Servers[id], -1))
	}
	for id, load := range b.reserved(host) {
		others.Servers[id] = others.Servers[id].plus(load, 1)
	}
	for name, total := range b.organisations {
		setOrDelete(others.Organisations, name, total-own.Organisations[name])
	}
	for rank, total := range b.ranks {
		setOrDelete(others.Ranks, rank, total-own.Ranks[rank])
	}
	return others
}

// mostUrgent is the rank of attempts of which the rank is not known.
const mostUrgent = 0

// ByRank returns the reading attempts by rank. Attempts that are counted only by
// organisation are those of hosts of earlier builds, and count as the most urgent.
func (o Others) ByRank() map[int]int {
	counts, unranked := make(map[int]int, len(o.Ranks)+1), 0
	for _, count := range o.Organisations {
		unranked += count
	}
	for rank, count := range o.Ranks {
		counts[rank] = count
		unranked -= count
	}
	if unranked > 0 {
		counts[mostUrgent] += unranked
	}
	return counts
}

// expire removes the reports of hosts that have not reported within reportLifetime.
func (b *board) expire(now time.Time) {
	for host, report := range b.hosts {
		if now.Sub(report.receivedAt) >= reportLifetime {
			b.add(report.HostLoads, -1)
			delete(b.hosts, host)
		}
	}
}

// collectorKey is the prefix of the rendezvous keys by which collectors are chosen.
const collectorKey = "loads/"

// Collectors returns the addresses of the hosts of a data centre in the order in which they
// collect its loads: the first one that is not excluded does. Hosts with the same list
// choose the same one.
func Collectors(dataCentre string, hosts []routing.Host) []string {
	weights := map[string]uint64{}
	for _, host := range hosts {
		if host.DataCentre == dataCentre {
			weights[host.Address] = routing.RendezvousWeight(host.Address, collectorKey+dataCentre)
		}
	}
	return slices.SortedFunc(maps.Keys(weights), func(a, b string) int { return cmp.Compare(weights[b], weights[a]) })
}

// Collector returns the address of the host that collects the loads of a data centre, or
// "" if none of those in order is left.
func Collector(order []string, excluded func(address string) bool) string {
	for _, address := range order {
		if !excluded(address) {
			return address
		}
	}
	return ""
}
