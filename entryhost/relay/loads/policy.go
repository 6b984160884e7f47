package loads

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

// hostReport is the last report of a host on a data centre.
type hostReport struct {
	sequence   int64
	receivedAt time.Time
	servers    map[string]Load
}

// board holds the reports on one data centre by host, and their sums.
type board struct {
	hosts  map[string]hostReport
	totals Totals
}

func newBoard() board { return board{hosts: map[string]hostReport{}, totals: Totals{}} }

// apply replaces the host's report unless it is older than the one before.
func (b board) apply(report HostLoads, now time.Time) {
	before, found := b.hosts[report.Host]
	if found && report.Sequence < before.sequence {
		return
	}
	b.add(before.servers, -1)
	b.add(report.Servers, 1)
	b.hosts[report.Host] = hostReport{sequence: report.Sequence, receivedAt: now, servers: report.Servers}
}

// add adds the loads to the totals, or subtracts them if sign is -1.
func (b board) add(servers map[string]Load, sign int) {
	for id, load := range servers {
		total := b.totals[id]
		total.Reading += sign * load.Reading
		total.Decoding += sign * load.Decoding
		if total == (Load{}) {
			delete(b.totals, id)
			continue
		}
		b.totals[id] = total
	}
}

// others returns the totals without the host's own attempts.
func (b board) others(host string) Totals {
	own := b.hosts[host].servers
	others := make(Totals, len(b.totals))
	for id, total := range b.totals {
		total.Reading -= own[id].Reading
		total.Decoding -= own[id].Decoding
		if total != (Load{}) {
			others[id] = total
		}
	}
	return others
}

// expire removes the reports of hosts that have not reported within reportLifetime.
func (b board) expire(now time.Time) {
	for host, report := range b.hosts {
		if now.Sub(report.receivedAt) >= reportLifetime {
			b.add(report.servers, -1)
			delete(b.hosts, host)
		}
	}
}

// collectorKey is the prefix of the rendezvous keys by which collectors are chosen.
const collectorKey = "loads/"

// Collector returns the address of the host that collects the loads of a data
// centre, or "" if the data centre has no host that is not excluded. Hosts with the
// same list choose the same one.
func Collector(dataCentre string, hosts []routing.Host, excluded func(address string) bool) string {
	collector, highest := "", uint64(0)
	for _, host := range hosts {
		if host.DataCentre != dataCentre || excluded(host.Address) {
			continue
		}
		if weight := routing.RendezvousWeight(host.Address, collectorKey+dataCentre); collector == "" || weight > highest {
			collector, highest = host.Address, weight
		}
	}
	return collector
}
