package admission

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("admission")

// DispatchID identifies one assignment of a request to a server.
type DispatchID uint64

// Request holds the properties of a request that admission decides by.
type Request struct {
	ID           model.RequestID
	Service      model.ServiceName
	Organisation model.OrganisationID
	// Weight is the organisation's weight in the fair queue.
	Weight int
	// MaxOpen bounds the organisation's open requests; 0 means no bound.
	MaxOpen  int
	Deadline time.Time
	// Fingerprint identifies the content, to recognise a request that crashes
	// servers when it is sent again.
	Fingerprint model.Fingerprint
	// PrefixHashes are the hashes of growing prefixes of the prompt, shortest first.
	PrefixHashes []uint64
	// Version pins the request to a version; if it is empty, the dispatcher draws
	// one by the shares in force.
	Version model.Version
	// Route is the path or endpoint by which evidence is grouped.
	Route string
	// Resume marks the continuation of a request that already ran.
	Resume bool
	// Exclude lists servers to avoid while another one may run the request.
	Exclude []model.ServerID
	// Cost is the estimated work in tokens, which the fair queue charges.
	Cost int
}

// Dispatch asks for a server. Unless Cancelled is closed before, the dispatcher
// replies exactly once, with an assignment or with a fault that states that the
// request did not run.
type Dispatch struct {
	Request Request
	Reply   task.Reply[DispatchResult]
	// Cancelled is closed when the request ends or is given up.
	Cancelled <-chan struct{}
}

// DispatchResult is an assignment, or a refusal if Fault is set.
type DispatchResult struct {
	Assignment Assignment
	Fault      *model.Fault
}

// Assignment names the server and version of one attempt.
type Assignment struct {
	ID         DispatchID
	Server     model.ServerID
	DataCentre model.DataCentre
	Version    model.Version
	Generation backends.TransportGeneration
	// Commands is the mailbox of the server task.
	Commands task.Mailbox[backends.Command]
	// Reports receives the Progressed and Done messages of this assignment.
	Reports task.Mailbox[Message]
	// FirstTokenTimeout bounds the time to the first token, TokenTimeout the time
	// between tokens.
	FirstTokenTimeout time.Duration
	TokenTimeout      time.Duration
	// ReportAfter is the number of tokens after which the request sends
	// Progressed to Reports, or 0 if it sends none.
	ReportAfter int
}

// Progressed reports that an assignment has delivered ReportAfter tokens.
type Progressed struct {
	ID DispatchID
}

// Outcome is how an assignment ended. The values are labels of metrics.
type Outcome string

// The outcomes of an assignment.
const (
	OutcomeDone      Outcome = "done"
	OutcomeRefused   Outcome = "refused"
	OutcomeConnect   Outcome = "connect_failed"
	OutcomeBroken    Outcome = "broken"
	OutcomeSilent    Outcome = "silent"
	OutcomeInvalid   Outcome = "invalid"
	OutcomeError     Outcome = "error"
	OutcomeCancelled Outcome = "cancelled"
)

// Done reports the end of an assignment and frees its slot.
type Done struct {
	ID      DispatchID
	Server  model.ServerID
	Request Request
	Version model.Version
	Outcome Outcome
	// FirstToken is the time to the first token, or 0 if there was none.
	FirstToken time.Duration
	// MeanGap is the mean time between tokens, or 0 if unknown.
	MeanGap time.Duration
	// Duration is the total time of the attempt.
	Duration time.Duration
	// Tokens is the number of tokens delivered.
	Tokens int
}

// Message is a message to a dispatcher.
type Message interface{ admissionMessage() }

func (Dispatch) admissionMessage()            {}
func (Progressed) admissionMessage()          {}
func (Done) admissionMessage()                {}
func (ServerEvent) admissionMessage()         {}
func (ConfigurationChange) admissionMessage() {}
func (FactReceived) admissionMessage()        {}

// ServerEvent carries an event of the backend pool to a dispatcher.
type ServerEvent struct{ Event backends.Event }

// ConfigurationChange carries the configuration in force to a dispatcher.
type ConfigurationChange struct{ Configuration *model.Configuration }

// FactReceived carries a fact of another entry host to a dispatcher.
type FactReceived struct{ Fact peers.Fact }
