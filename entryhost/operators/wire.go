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

// Configuration converts the body to a model.Configuration.
func (b ConfigurationBody) Configuration() *model.Configuration {
	return &model.Configuration{Revision: b.Revision, Services: b.Services, Organisations: b.Organisations, Moves: b.Moves}
}

// CommitBody asks to commit changes as one revision.
type CommitBody struct {
	// Expected is the revision in force that the changes build on. The commit
	// fails with a conflict if it is no longer the newest one.
	Expected model.Revision `json:"expected"`
	// ID identifies the commit. A retry with the same id does not commit twice.
	ID      string          `json:"id"`
	Note    string          `json:"note,omitempty"`
	Changes []config.Change `json:"changes"`
}

// CommitAnswer confirms a committed revision.
type CommitAnswer struct {
	Revision model.Revision `json:"revision"`
	ID       string         `json:"id"`
}

// DifferenceAnswer lists what changes would do, and the problems that would cause
// them to be refused.
type DifferenceAnswer struct {
	Revision    model.Revision      `json:"revision"`
	Differences []config.Difference `json:"differences"`
	Problems    []config.Problem    `json:"problems"`
}

// HistoryAnswer lists accepted revisions, oldest first.
type HistoryAnswer struct {
	Records []config.RevisionRecord `json:"records"`
}

// StartMoveBody asks to start a move. An empty From means the version with the
// largest share.
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

// ServicesAnswer lists services, sorted by name.
type ServicesAnswer struct {
	Services []model.Service `json:"services"`
}

// OrganisationsAnswer lists organisations, sorted by id.
type OrganisationsAnswer struct {
	Organisations []model.Organisation `json:"organisations"`
}

// HostStatus is the state of an entry host as the answering host knows it.
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

// StatusAnswer lists entry hosts, sorted by id.
type StatusAnswer struct {
	Hosts []HostStatus `json:"hosts"`
}

// EventsAnswer holds the matching events of all hosts that answered, oldest first.
type EventsAnswer struct {
	Events []events.Event `json:"events"`
	// Unanswered lists the hosts that did not answer in time.
	Unanswered []model.HostID `json:"unanswered,omitempty"`
	// ArchiveIncomplete is set if not all events in the object store could be read.
	ArchiveIncomplete bool `json:"archive_incomplete,omitempty"`
}

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error. Problems is set if changes are invalid, and
// Winner, the revision committed first, on a conflict.
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

// Fault converts the error to a model.Fault.
func (d ErrorDetail) Fault() *model.Fault {
	return &model.Fault{Kind: d.Kind, Reason: d.Reason, Executed: d.Executed, Message: d.Message, Remedy: d.Remedy, Field: d.Field}
}
