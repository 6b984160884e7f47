package model

// HostRole is the role of a host in the host list.
type HostRole string

// The roles of a host: entry hosts and backend servers.
const (
	RoleEntry   HostRole = "entry"
	RoleBackend HostRole = "backend"
)

// Host is an entry of the platform's host list.
type Host struct {
	ID   string   `json:"id"`
	Role HostRole `json:"role"`
	// Service is the service of a backend server; empty for an entry host.
	Service    ServiceName `json:"service,omitempty"`
	DataCentre DataCentre  `json:"data_centre"`
	Address    string      `json:"address"`
	// PeerAddress is where an entry host accepts connections of other entry hosts;
	// empty if it has no links to peers.
	PeerAddress string      `json:"peer_address,omitempty"`
	Incarnation Incarnation `json:"incarnation"`
	// Leaving is true if the host is shutting down and takes no new work.
	Leaving bool `json:"leaving"`
}
