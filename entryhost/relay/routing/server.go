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

// NewestPerAddress separates the registrations whose address was taken over by a later
// process, so that a server that crashed and restarted is not tried under its old id.
//
// A registration may come from another writer, so only one that takes work for the
// service supersedes another: attempts at it show which process is at the address. One
// that is draining or of another service would hide a server that nobody tries again.
func (s Servers) NewestPerAddress() (newest, superseded Servers) {
	type place struct{ address, service string }
	latest := make(map[place]*Server, len(s))
	for _, server := range s {
		at := place{server.Address, server.Service}
		if other, found := latest[at]; !server.Draining && (!found || server.isLaterThan(other)) {
			latest[at] = server
		}
	}
	newest, superseded = make(Servers, len(s)), Servers{}
	for id, server := range s {
		if other, found := latest[place{server.Address, server.Service}]; found && other.isLaterThan(server) {
			superseded[id] = server
			continue
		}
		newest[id] = server
	}
	return newest, superseded
}

// isLaterThan reports whether the server started after the other one. Of two starts at
// the same time, the one with the higher id counts as the later one.
func (s *Server) isLaterThan(other *Server) bool {
	return s.StartedAt > other.StartedAt || s.StartedAt == other.StartedAt && s.ID > other.ID
}
