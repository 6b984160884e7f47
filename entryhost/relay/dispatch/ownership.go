package dispatch

import (
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

// ownership divides the servers of a data centre among its entry hosts by
// rendezvous hashing. A host prefers its own servers, so that it knows most of
// their load and hosts do not pick the same server at the same time.
type ownership struct {
	self       string
	dataCentre string
	peers      []string
}

func newOwnership(self, dataCentre string, hosts []routing.Host) ownership {
	o := ownership{self: self, dataCentre: dataCentre}
	for _, host := range hosts {
		if host.DataCentre == dataCentre {
			o.peers = append(o.peers, host.Address)
		}
	}
	return o
}

// owns reports whether this host owns the server.
func (o ownership) owns(server *routing.Server) bool {
	if server.DataCentre != o.dataCentre {
		return false
	}
	own := routing.RendezvousWeight(o.self, server.Address)
	for _, peer := range o.peers {
		if routing.RendezvousWeight(peer, server.Address) > own {
			return false
		}
	}
	return true
}
