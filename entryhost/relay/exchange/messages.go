// Package exchange runs connections to backend servers. Each connection is a
// task that owns its socket: it writes one request at a time, reads the response
// and passes it to the request's task as events.
package exchange

import (
	"context"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("exchange")

// ErrUnrelated reports that a response arrived in the place of that to the attempt and
// cannot be shown to belong to it. It proves nothing about the attempt.
var ErrUnrelated = Error.New("the response cannot be related to the attempt")

// Phase is the stage that an exchange had reached when it failed.
type Phase int

// The phases of a failed exchange.
const (
	// Unsent means that no byte was written, so the request cannot have run.
	Unsent Phase = iota
	// Sent means that the request may have reached the server, which sent no
	// valid response head; the request may have run.
	Sent
	// Answering means that the response ended before its body was complete.
	Answering
)

// String names the phase in logs.
func (p Phase) String() string {
	switch p {
	case Unsent:
		return "unsent"
	case Sent:
		return "sent"
	default:
		return "answering"
	}
}

// Attempt is one attempt to run a request on one server.
type Attempt struct {
	// RequestID is the caller's id of the request, which servers echo.
	RequestID string
	// Instance is the id of the server that must run it.
	Instance     string
	Organisation string
	// SentBefore is set if the request was sent to the server in an earlier attempt.
	// The id does not tell the responses of both attempts apart, so this one needs a
	// new connection.
	SentBefore bool
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	// LastEventID is the id of the last event that the caller received, or "".
	LastEventID string
	// CacheBackup is the address of the engine that receives a copy of the run's
	// cache, or "".
	CacheBackup string
	// CacheCopy is the copy of the run's cache to resume from; zero for none.
	CacheCopy CacheCopy
	// Rank is the admission priority at a model engine; 0 is admitted first.
	// Plain services use Unranked.
	Rank int

	Method string
	Target string
	Host   string
	// Header holds the caller's headers that may be forwarded to servers.
	Header http.Header
	Body   []byte
}

// CacheCopy identifies a copy of a run's cache that a model engine holds.
type CacheCopy struct {
	// Address is the engine that assigned Name: the engine that holds the copy
	// for backups made during the run, the source engine for copies made on
	// demand.
	Address string
	Name    string
}

// ResponseHead is the decoded head of a server's response.
type ResponseHead struct {
	Status int
	// RequestID is the request id that the server echoed, or "".
	RequestID string
	// Sealed reports whether the response carries the server's signature.
	Sealed bool
	// NotRun reports whether the server states that it did not run the request.
	NotRun bool
	// Misdirected reports that the address now belongs to another server, whose
	// id is Instance.
	Misdirected bool
	Instance    string
	// Leaving reports that the server states that it takes no new work.
	Leaving bool
	// RetryAfter is the time for which a server that turned the request away wants no
	// further ones; 0 if it states none. RetryAfterErr is why a stated time cannot be used.
	RetryAfter    time.Duration
	RetryAfterErr error
	// Encoded reports that the body has a content encoding, so its bytes are not
	// those that the service produced.
	Encoded bool
	// IdleTimeout is how long the server keeps an idle connection open, or 0 if the
	// response does not state it.
	IdleTimeout time.Duration
	// Header holds the response headers that are forwarded to the caller.
	Header http.Header
}

// Unranked is the rank of attempts at services without admission priorities.
const Unranked = -1

// Protocol converts attempts to request headers and HTTP responses to ResponseHead.
type Protocol interface {
	// Encode returns the header of the attempt.
	Encode(attempt *Attempt) http.Header
	// Decode returns the head of a response.
	Decode(response *http.Response) ResponseHead
}

// Event is one message from a connection to the request's task. Exactly one
// field is set; the last event of an exchange has End or Failed.
type Event struct {
	Head   *ResponseHead
	Data   []byte
	End    bool
	Failed *Failure
}

// Failure describes why an exchange ended without a complete response.
type Failure struct {
	Phase Phase
	Err   error
}

// Exchange asks a Connection to run one attempt. When Context ends, the
// connection closes its socket, which ends the exchange.
type Exchange struct {
	Context context.Context
	Attempt *Attempt
	// Events receives the response. A full channel blocks the connection. A server cuts
	// off a response that is not read for some seconds, so the receiver must not wait for
	// a slow caller for longer.
	Events chan<- Event
	// connected, if it is set, receives the result of opening the connection, and no
	// attempt is run.
	connected chan<- error
}

// Report is a status message from a connection to its owner.
type Report struct {
	Connection *Connection
	// Idle reports that the connection may be reused; otherwise it has ended.
	Idle bool
	// IdleTimeout is how long an idle connection may be kept open.
	IdleTimeout time.Duration
	// Reset reports that an idle connection ended with an error instead of an
	// orderly close.
	Reset bool
}

const (
	// dialTimeout bounds connecting. Servers are at most 1.4 ms away; a longer
	// wait means that the host does not respond or drops connections.
	dialTimeout = 120 * time.Millisecond
	// keepAliveIdle and keepAliveInterval make the kernel detect an unresponsive
	// host within about 2 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 1
	// defaultIdleTimeout is how long an idle connection is kept when the response
	// has no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxChunkBytes is the maximum amount of response data in one event.
	maxChunkBytes = 4 << 10
)
