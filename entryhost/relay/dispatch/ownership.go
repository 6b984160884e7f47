package dispatch

import (
	"hash/fnv"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

// ownership divides the servers of a data centre among its entry hosts by rendezvous
// hashing. A host sends work to its own servers first, so that it knows most of
// what they have to do and hosts do not pick the same server at the same time.
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

// owns reports whether this host prefers the server.
func (o ownership) owns(server *routing.Server) bool {
	if server.DataCentre != o.dataCentre {
		return false
	}
	own := rendezvous(o.self, server.Address)
	for _, peer := range o.peers {
		if rendezvous(peer, server.Address) > own {
			return false
		}
	}
	return true
}

func rendezvous(host, server string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(host))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(server))
	// Addresses differ in few bits; the multiplication spreads them.
	value := hash.Sum64()
	value ^= value >> 32
	return value * 0x9e3779b97f4a7c15
}
