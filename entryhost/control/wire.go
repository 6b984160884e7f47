package control

import (
	"encoding/json"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/model"
)

// Prefixes of the rows in the table service. The number of rows is bounded by
// the services and their servers.
const (
	prefixLease  = "control/lease/"
	prefixHolder = "control/holder/"
	prefixOrder  = "control/order/"
)

// LeaseKey is the row of a service's lease, written at each renewal.
func LeaseKey(service model.ServiceName) string { return prefixLease + string(service) }

// HolderKey is the row that is written only when the holder changes. Writes of
// a holder are conditional on its version, so that an earlier holder's fail.
func HolderKey(service model.ServiceName) string { return prefixHolder + string(service) }

func orderPrefix(service model.ServiceName) string { return prefixOrder + string(service) + "/" }

func orderKey(service model.ServiceName, server model.ServerID) string {
	return orderPrefix(service) + string(server)
}

// OrderRecord is the last order to a server, written before it is sent.
type OrderRecord struct {
	Server model.ServerID   `json:"server"`
	Order  enginewire.Order `json:"order"`
}

func encode(value any) ([]byte, error) {
	content, err := json.Marshal(value)
	return content, Error.Wrap(err)
}

func decode(content []byte, target any) error {
	return Error.Wrap(json.Unmarshal(content, target))
}
