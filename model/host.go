package model

// HostRole tells entry hosts from backend servers in the host list.
type HostRole string

// The roles of a host.
const (
	RoleEntry   HostRole = "entry"
	RoleBackend HostRole = "backend"
)

// Host is an entry of the platform's host list.
type Host struct {
	ID          string      `json:"id"`
	Role        HostRole    `json:"role"`
	Service     ServiceName `json:"service,omitempty"`
	DataCentre  DataCentre  `json:"data_centre"`
	Address     string      `json:"address"`
	PeerAddress string      `json:"peer_address,omitempty"`
	Incarnation Incarnation `json:"incarnation"`
	Leaving     bool        `json:"leaving"`
}
