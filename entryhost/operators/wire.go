package operators

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/model"
)

// Paths of the operator API.
const (
	PathConfiguration = "/v1/configuration"
	PathHistory       = "/v1/configuration/history"
	PathDifference    = "/v1/configuration/difference"
	PathCommit        = "/v1/configuration/commit"
	PathServices      = "/v1/services"
	PathOrganisations = "/v1/organisations"
	PathMoves         = "/v1/moves"
	PathStatus        = "/v1/status"
	PathEvents        = "/v1/events"
)

// ConfigurationBody is the configuration in force on the host that answers.
type ConfigurationBody struct {
	Revision      model.Revision                              `json:"revision"`
	Services      map[model.ServiceName]model.Service         `json:"services"`
	Organisations map[model.OrganisationID]model.Organisation `json:"organisations"`
	Moves         map[model.MoveID]model.Move                 `json:"moves"`
}

// Configuration returns the body as a configuration.
func (b ConfigurationBody) Configuration() *model.Configuration {
	return &model.Configuration{Revision: b.Revision, Services: b.Services, Organisations: b.Organisations, Moves: b.Moves}
}

// CommitBody asks for changes as the revision after the expected one.
type CommitBody struct {
	Expected model.Revision `json:"expected"`
	// ID identifies the commit. Sending it again with the same id is safe.
	ID      string          `json:"id"`
	Note    string          `json:"note,omitempty"`
	Changes []config.Change `json:"changes"`
}

// CommitAnswer confirms a revision.
type CommitAnswer struct {
	Revision model.Revision `json:"revision"`
	ID       string         `json:"id"`
}

// DifferenceAnswer is what changes would do, and why they would be refused.
type DifferenceAnswer struct {
	Revision    model.Revision      `json:"revision"`
	Differences []config.Difference `json:"differences"`
	Problems    []config.Problem    `json:"problems"`
}

// HistoryAnswer lists accepted revisions, oldest first.
type HistoryAnswer struct {
	Records []config.RevisionRecord `json:"records"`
}

// StartMoveBody asks for a move. From may be empty: then it is the version with
// the largest share.
type StartMoveBody struct {
	ID       model.MoveID      `json:"id"`
	Service  model.ServiceName `json:"service"`
	From     model.Version     `json:"from,omitempty"`
	To       model.Version     `json:"to"`
	Deadline time.Time         `json:"deadline"`
}

// MovesAnswer lists moves, the newest first.
type MovesAnswer struct {
	Moves []model.Move `json:"moves"`
}

// ServicesAnswer lists services by name.
type ServicesAnswer struct {
	Services []model.Service `json:"services"`
}

// OrganisationsAnswer lists organisations by id.
type OrganisationsAnswer struct {
	Organisations []model.Organisation `json:"organisations"`
}

// HostStatus is what the answering host knows of an entry host.
type HostStatus struct {
	ID          model.HostID      `json:"id"`
	DataCentre  model.DataCentre  `json:"data_centre"`
	Incarnation model.Incarnation `json:"incarnation,omitempty"`
	Alive       bool              `json:"alive"`
	Leaving     bool              `json:"leaving,omitempty"`
	// Revision is the revision in force, or 0 if it is not known.
	Revision model.Revision `json:"revision"`
	// Answering marks the host that answers.
	Answering bool `json:"answering,omitempty"`
}

// StatusAnswer lists entry hosts by id.
type StatusAnswer struct {
	Hosts []HostStatus `json:"hosts"`
}

// EventsAnswer holds events of all hosts that answered, oldest first.
type EventsAnswer struct {
	Events []events.Event `json:"events"`
	// Unanswered lists the hosts whose events are missing.
	Unanswered []model.HostID `json:"unanswered,omitempty"`
	// ArchiveIncomplete tells that flushed events could not all be read.
	ArchiveIncomplete bool `json:"archive_incomplete,omitempty"`
}

// ErrorBody is the JSON body of every refusal and error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error. Problems is set for a refused change, and
// Winner for a conflict.
type ErrorDetail struct {
	Kind     model.Kind             `json:"kind"`
	Reason   model.Reason           `json:"reason"`
	Executed model.Executed         `json:"executed"`
	Message  string                 `json:"message"`
	Remedy   string                 `json:"remedy"`
	Field    string                 `json:"field,omitempty"`
	Problems []config.Problem       `json:"problems,omitempty"`
	Winner   *config.RevisionRecord `json:"winner,omitempty"`
}

// Fault returns the error as a fault.
func (d ErrorDetail) Fault() *model.Fault {
	return &model.Fault{Kind: d.Kind, Reason: d.Reason, Executed: d.Executed, Message: d.Message, Remedy: d.Remedy, Field: d.Field}
}
