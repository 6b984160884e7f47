package backends

import (
	"cmp"
	"slices"

	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/model"
)

// Subset chooses the backend servers that an entry host connects to: all of its
// own data centre, and for each service a bounded number of others for
// spill-over, so that the cost does not grow with the size of the fleet.
type Subset struct {
	// Self is this entry host and Home its data centre.
	Self model.HostID
	Home model.DataCentre
	// RemotePerService bounds the servers of other data centres for each service.
	RemotePerService int
}

// Choose returns the chosen servers of a host list. Entry hosts choose different
// remote servers, and a change of the list changes few of them.
func (s Subset) Choose(hosts []model.Host) []model.Host {
	var chosen []model.Host
	remote := make(map[model.ServiceName][]model.Host)
	for _, host := range hosts {
		switch {
		case host.Role != model.RoleBackend:
		case host.DataCentre == s.Home:
			chosen = append(chosen, host)
		default:
			remote[host.Service] = append(remote[host.Service], host)
		}
	}
	for _, servers := range remote {
		chosen = append(chosen, s.topRanked(servers)...)
	}
	return chosen
}

// topRanked returns the RemotePerService servers with the highest rendezvous weight
// for this entry host.
func (s Subset) topRanked(servers []model.Host) []model.Host {
	if len(servers) <= s.RemotePerService {
		return servers
	}
	slices.SortFunc(servers, func(a, b model.Host) int {
		return cmp.Or(cmp.Compare(s.weight(b), s.weight(a)), cmp.Compare(a.ID, b.ID))
	})
	return servers[:s.RemotePerService]
}

func (s Subset) weight(host model.Host) uint64 {
	return peers.RendezvousWeight(string(s.Self), model.HostID(host.ID))
}
