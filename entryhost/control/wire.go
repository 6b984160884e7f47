package control

import (
	"encoding/json"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/model"
)

// Key prefixes in the table service. Each service has one lease row, one holder
// row and at most one order row for each of its servers.
const (
	prefixLease  = "control/lease/"
	prefixHolder = "control/holder/"
	prefixOrder  = "control/order/"
)

// LeaseKey returns the key of a service's lease row, which each renewal writes.
func LeaseKey(service model.ServiceName) string { return prefixLease + string(service) }

// HolderKey returns the key of a service's holder row, which is written only
// when the holder changes. A holder makes its writes conditional on the version
// of this row, so that the writes of an earlier holder fail.
func HolderKey(service model.ServiceName) string { return prefixHolder + string(service) }

func orderPrefix(service model.ServiceName) string { return prefixOrder + string(service) + "/" }

func orderKey(service model.ServiceName, server model.ServerID) string {
	return orderPrefix(service) + string(server)
}

// OrderRecord is the content of an order row: the last order to a server. It is
// written before the order is sent.
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
