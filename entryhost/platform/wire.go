package platform

import "github.com/lentilpoint/lentilpoint/model"

// Paths of the platform's HTTP services.
const (
	PathTransact = "/table/transact"
	PathRow      = "/table/row"
	PathScan     = "/table/scan"
	PathObjects  = "/objects/"
	PathList     = "/objects"
	PathHosts    = "/hosts"
)

// RowsBody is the answer to a scan.
type RowsBody struct {
	Rows []Row `json:"rows"`
}

// NamesBody is the answer to a listing of objects.
type NamesBody struct {
	Names []string `json:"names"`
}

// HostsBody is the answer to a request for the host list.
type HostsBody struct {
	Hosts []model.Host `json:"hosts"`
}
