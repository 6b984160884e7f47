package tickets

import (
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/entryhost/requests/claims"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("tickets")

// Ticket is the signed payload of a ticket.
type Ticket struct {
	ID           string               `json:"i"`
	Host         model.HostID         `json:"h"`
	Incarnation  model.Incarnation    `json:"n"`
	Organisation model.OrganisationID `json:"o"`
	// Expires is in milliseconds since the Unix epoch.
	Expires int64 `json:"e"`
}

// Redeem requests the right to dispatch the call of a ticket.
type Redeem struct {
	Ticket   Ticket
	BodyHash string
	// Until is the time by which the call has ended.
	Until time.Time
	Reply task.Reply[claims.AcquireResult]
}

// RecordOutcome records the outcome of a ticket's call. The reply is true if
// the registry stored it.
type RecordOutcome struct {
	ID     string
	State  claims.State
	Answer *claims.Answer
	Reply  task.Reply[bool]
}

// Message is a message to the registry.
type Message interface{ ticketsMessage() }

func (Redeem) ticketsMessage()        {}
func (RecordOutcome) ticketsMessage() {}

// ReceiverName and MethodRedeem name the net/rpc method that forwards a call
// with a ticket to the entry host that issued the ticket.
const (
	ReceiverName = "Tickets"
	MethodRedeem = "Tickets.Redeem"
)

// ForwardedCall is the argument of MethodRedeem.
type ForwardedCall struct {
	ID           model.RequestID
	Service      model.ServiceName
	Organisation model.Organisation
	// Remaining is the time until the deadline. It is relative, because the clocks
	// of hosts may differ.
	Remaining   time.Duration
	Fingerprint model.Fingerprint
	Method      string
	Path        string
	Header      http.Header
	Body        []byte
	Key         string
}

// ForwardedAnswer is the result of MethodRedeem. Fault is nil if the call was
// answered.
type ForwardedAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	Fault  *model.Fault
}
