package backends

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("backends")

// Attempt numbers the attempts of one request, which drops events of older ones.
type Attempt uint32

// Token is one generated token with its text.
type Token struct {
	ID   enginewire.TokenID
	Text string
}

// StreamEvent is what a stream task sends to its request: first the transport in
// an event of its own, then tokens and the finish reason, together or separately,
// or an error. An event may also be empty.
type StreamEvent struct {
	Attempt Attempt
	// PromptIDs are the token ids of the prompt, which come with the first tokens.
	PromptIDs []enginewire.TokenID
	Tokens    []Token
	// Finish is the engine's reason for the regular end of the stream.
	Finish string
	Err    *StreamError
	// EngineStream is the engine's id of the stream, by which it can be resumed.
	EngineStream string
	// Transport is the generation of the transport in use.
	Transport TransportGeneration
}

// FailureKind is how a stream or exchange failed.
type FailureKind string

// The kinds of failure of a stream or exchange.
const (
	// FailureConnect means that no byte of the request was sent.
	FailureConnect FailureKind = "connect"
	// FailureBroken means that the connection was lost after the request may have
	// been sent.
	FailureBroken FailureKind = "broken"
	// FailureRefused means that the server answered that it did not run the request.
	FailureRefused FailureKind = "refused"
	// FailureStatus means that the server answered with an error status or
	// reported an error in the stream.
	FailureStatus FailureKind = "status"
	// FailureInvalid means that the server rejected the request as invalid.
	FailureInvalid FailureKind = "invalid"
	// FailureSilent means that an open connection made no progress in time.
	FailureSilent FailureKind = "silent"
	// FailureGone means that the engine no longer holds the stream to resume.
	FailureGone FailureKind = "gone"
	// FailureCancelled means that the request's task ended the attempt.
	FailureCancelled FailureKind = "cancelled"
)

// StreamError is the failure of a stream or exchange.
type StreamError struct {
	Kind FailureKind
	// Status is the HTTP status, or 0 if the failure is not an error status.
	Status  int
	Message string
}

// Error implements error.
func (e *StreamError) Error() string { return string(e.Kind) + ": " + e.Message }

// OpenStream asks a server task to start a stream task.
type OpenStream struct {
	// Context ends when the request gives up the attempt; the engine then
	// cancels the generation because its connection closes.
	Context context.Context
	Attempt Attempt
	Path    string
	Body    enginewire.Generation
	// ResumeStream resumes the engine's stream of this id from token ResumeFrom
	// instead of starting a generation.
	ResumeStream string
	ResumeFrom   int
	// Events receives the stream's events. The stream task blocks while it is full,
	// which applies backpressure to the engine.
	Events task.Mailbox[StreamEvent]
}

// ExchangeHead is the answer of a plain service without its body, or the error. The
// receiver owns Body and must close it.
type ExchangeHead struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Err    *StreamError
}

// OpenExchange asks a server task to forward one call to a plain service.
type OpenExchange struct {
	Context context.Context
	Method  string
	// Path is the escaped path with its query.
	Path   string
	Header http.Header
	// Body is owned by the exchange task until it has sent its head.
	Body          io.Reader
	ContentLength int64
	// Repeatable allows a pooled connection. Other calls open a new one, because
	// net/http may send a request again when a pooled connection fails.
	Repeatable bool
	Reply      task.Reply[ExchangeHead]
}

// ReportSilence reports to a server task that an open connection made no progress,
// so that it replaces the transport and does not reuse its pooled connections.
type ReportSilence struct {
	Generation TransportGeneration
}

// TransportGeneration numbers the transports of one server, from 1. A silent
// connection raises it.
type TransportGeneration uint64

// Command is a message to a server task.
type Command interface{ command() }

func (OpenStream) command()    {}
func (OpenExchange) command()  {}
func (ReportSilence) command() {}
func (SendOrder) command()     {}
func (hostUpdate) command()    {}

// SendOrder asks a server task to send an order to its server.
type SendOrder struct {
	Context context.Context
	Order   enginewire.Order
	Reply   task.Reply[OrderOutcome]
}

// OrderOutcome is the result of an order. Err is set when the outcome is unknown.
type OrderOutcome struct {
	Result enginewire.OrderResult
	Err    error
}

// ServerState is an immutable snapshot of the state of one server. The dispatcher
// of its service receives it after each change.
type ServerState struct {
	Host model.Host
	Load enginewire.LoadReport
	// LoadAt is when Load was received; it is zero before the first report.
	LoadAt time.Time
	// Reachable is true until a poll fails, and again from the next load report.
	Reachable  bool
	Generation TransportGeneration
	// Commands is the mailbox of the server task.
	Commands task.Mailbox[Command]
}

// Event is a message from the pool to admission and to observers.
type Event interface{ poolEvent() }

// ServerChanged carries a new snapshot of a server.
type ServerChanged struct{ State ServerState }

// ServerRemoved reports that a server left the host list or the chosen subset.
type ServerRemoved struct {
	ID      model.ServerID
	Service model.ServiceName
}

// CacheChanged carries cache events of a server, as hashes of prompt blocks. Reset
// means that events were lost or the server restarted, so that the receiver must
// drop all earlier blocks.
type CacheChanged struct {
	ID      model.ServerID
	Service model.ServiceName
	Reset   bool
	Stored  []uint64
	Evicted []uint64
}

func (ServerChanged) poolEvent() {}
func (ServerRemoved) poolEvent() {}
func (CacheChanged) poolEvent()  {}

// hostUpdate carries a changed entry of the host list to its server task.
type hostUpdate struct{ host model.Host }

// ServerLookup asks the pool for the server task of a server.
type ServerLookup struct {
	ID    model.ServerID
	Reply task.Reply[ServerLookupResult]
}

// ServerLookupResult is the answer to ServerLookup.
type ServerLookupResult struct {
	Found    bool
	Commands task.Mailbox[Command]
}
