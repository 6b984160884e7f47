package routing

import "time"

// Server is the registration of one process of a backend server.
type Server struct {
	// ID identifies this process of the server; a restart usually registers
	// another id.
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Version is the version of the server's software.
	Version string
	// Draining servers finish their requests and take no new work.
	Draining bool
	// StartedAt is the server's wall-clock time when it started; 0 if unknown.
	// It orders the processes that used the same address.
	StartedAt time.Duration
}

// SameProcess reports whether both registrations are of the same process.
func (s *Server) SameProcess(other *Server) bool {
	return s.ID == other.ID && s.StartedAt == other.StartedAt && s.Address == other.Address
}

// Servers is an immutable set of registrations by id.
type Servers map[string]*Server

// NewestPerAddress removes registrations whose address was taken over by a
// later process, so that a server that crashed and restarted is not tried
// under its old id.
func (s Servers) NewestPerAddress() Servers {
	byAddress := make(map[string]*Server, len(s))
	for _, server := range s {
		other, found := byAddress[server.Address]
		if !found || server.StartedAt > other.StartedAt ||
			server.StartedAt == other.StartedAt && server.ID > other.ID {
			byAddress[server.Address] = server
		}
	}
	newest := make(Servers, len(byAddress))
	for _, server := range byAddress {
		newest[server.ID] = server
	}
	return newest
}
