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

// Request holds what the policies read of a request.
type Request struct {
	ID           model.RequestID
	Service      model.ServiceName
	Organisation model.OrganisationID
	// Weight is the organisation's weight in the fair queue.
	Weight   int
	MaxOpen  int
	Deadline time.Time
	// Fingerprint identifies the content, for suspicion of crashing requests.
	Fingerprint model.Fingerprint
	// PrefixHashes cover growing prefixes of the prompt, shortest first.
	PrefixHashes []uint64
	// Version fixes the version; empty lets the dispatcher choose by share.
	Version model.Version
	// Route names the path or endpoint, for evidence by route.
	Route string
	// Resume marks the continuation of a request that already ran.
	Resume bool
	// Exclude lists servers that this request should avoid.
	Exclude []model.ServerID
	// Cost estimates the work in tokens; the fair queue charges it.
	Cost int
}

// Dispatch asks for a server. The dispatcher answers once, with an assignment
// or a fault that says "not run".
type Dispatch struct {
	Request Request
	Reply   task.Reply[DispatchResult]
	// Cancelled is closed when the request no longer waits.
	Cancelled <-chan struct{}
}

// DispatchResult is an assignment or a refusal.
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
	Generation backends.Generation
	// Commands reaches the server task.
	Commands task.Mailbox[backends.Command]
	// Finished receives the Done message of this assignment.
	Finished task.Mailbox[Message]
	// FirstTokenTimeout and TokenTimeout are the progress limits of the attempt.
	FirstTokenTimeout time.Duration
	TokenTimeout      time.Duration
	// ReportAfter is the number of tokens after which the request sends
	// Progressed to Finished; 0 means never.
	ReportAfter int
}

// Progressed reports that an assignment has delivered ReportAfter tokens.
type Progressed struct {
	ID DispatchID
}

// Outcome says how an assignment ended.
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
	// FirstToken is the time to the first token; 0 if there was none.
	FirstToken time.Duration
	// MeanGap is the mean time between tokens; 0 if unknown.
	MeanGap time.Duration
	// Duration is the whole time of the attempt.
	Duration time.Duration
	Tokens   int
}

// Message is what a dispatcher receives.
type Message interface{ admissionMessage() }

func (Dispatch) admissionMessage()            {}
func (Progressed) admissionMessage()          {}
func (Done) admissionMessage()                {}
func (ServerEvent) admissionMessage()         {}
func (ConfigurationChange) admissionMessage() {}
func (FactReceived) admissionMessage()        {}

// ServerEvent passes an event of the backend pool to the dispatcher.
type ServerEvent struct{ Event backends.Event }

// ConfigurationChange gives a dispatcher the configuration in force.
type ConfigurationChange struct{ Configuration *model.Configuration }

// FactReceived passes a fact of another entry host to the dispatcher.
type FactReceived struct{ Fact peers.Fact }
