// Package exchange runs connections to backend servers. Each connection is a
// task that owns its socket: it writes one request at a time, reads the answer
// and sends it on as events.
package exchange

import (
	"context"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("exchange")

// Phase is how far an exchange came before it failed.
type Phase int

// The phases of a failed exchange.
const (
	// Unsent exchanges put no byte on the wire, so the request did not run.
	Unsent Phase = iota
	// Sent exchanges may have reached the server, which did not answer.
	Sent
	// Answering exchanges broke off within the answer.
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

// Attempt is one sending of a request to one server.
type Attempt struct {
	// RequestID is the caller's id of the request, which servers echo.
	RequestID string
	// Instance is the id of the server that must run it.
	Instance     string
	Organisation string
	// Remaining is the time that the caller still waits.
	Remaining time.Duration
	// LastEvent is the id of the last event that the caller has, or "".
	LastEvent string
	// CacheBackup is the address that receives a copy of the run's cache, or "".
	CacheBackup string
	// CacheCopy is the copy of the run's cache to go on from, or zero.
	CacheCopy CacheCopy
	// Rank orders attempts at an engine; 0 is admitted first. Plain services get
	// Unranked.
	Rank int

	Method string
	Target string
	Host   string
	// Header holds what the caller sent and servers may see.
	Header http.Header
	Body   []byte
}

// CacheCopy names the copy of a run's cache that an engine holds.
type CacheCopy struct {
	// Address is that of the engine that gave the copy its name: the holder for
	// copies made while the run goes on, the source for copies made on demand.
	Address string
	Name    string
}

// AnswerHead is the head of a server's answer.
type AnswerHead struct {
	Status int
	// RequestID is the echoed id, or "".
	RequestID string
	// Sealed tells that the answer carries the server's signature.
	Sealed bool
	// NotRun tells that the server states that it did not run the request.
	NotRun bool
	// Misdirected tells that another server has the address; Instance is its id.
	Misdirected bool
	Instance    string
	// Encoded bodies are not the bytes that the server made.
	Encoded bool
	// Idle is how long the server keeps the connection open without a request,
	// or 0 if it does not say.
	Idle time.Duration
	// Header is what the caller receives of the head.
	Header http.Header
}

// Unranked is the rank of attempts that no engine orders.
const Unranked = -1

// Protocol translates attempts and answers to and from HTTP heads.
type Protocol interface {
	// Encode returns the header of the attempt.
	Encode(attempt *Attempt) http.Header
	// Decode reads the head of an answer.
	Decode(response *http.Response) AnswerHead
}

// Event is what an exchange sends to the request's task. Exactly one of the
// fields is set; End or Failed is the last event.
type Event struct {
	Head   *AnswerHead
	Data   []byte
	End    bool
	Failed *Failure
}

// Failure says why an exchange ended without a complete answer.
type Failure struct {
	Phase Phase
	Err   error
}

// Exchange is the order to run one attempt. The task ends it when the context
// ends, by closing the connection.
type Exchange struct {
	Context context.Context
	Attempt *Attempt
	// Events receives the answer. The connection waits when it is full, so a
	// slow caller slows the server down.
	Events chan<- Event
}

// Report is what a connection tells its owner.
type Report struct {
	Connection *Connection
	// Idle connections may be used again; others have ended.
	Idle bool
	// KeepFor is how long an idle connection stays open.
	KeepFor time.Duration
	// Reset tells that an idle connection ended by an error, not by a close.
	Reset bool
}

const (
	// dialTimeout bounds a connect. Servers are at most 1.4 ms away; a longer
	// wait means that the host is silent or drops connections.
	dialTimeout = 120 * time.Millisecond
	// keepAliveIdle and keepAliveInterval make the kernel notice a silent host
	// within about 2 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 1
	// defaultIdle is how long an idle connection is kept when the server does
	// not say.
	defaultIdle = 4 * time.Second
	// chunkSize is the largest piece of an answer in one event.
	chunkSize = 4 << 10
)
