// Package forward carries one request from the caller to servers and the
// answer back. The request's task owns the ledger of what the caller has, and
// decides after each attempt whether another one may follow.
package forward

import (
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/model"
)

// Error is the class of errors of this package.
var Error = errs.Class("forward")

// Request is a request that was matched to a route.
type Request struct {
	// ID is the caller's id of this request.
	ID        string
	Method    string
	Target    string
	Host      string
	Header    http.Header
	Body      []byte
	LastEvent string
	// Prompt is the id of the part of the prompt that only this request or its
	// session has, or "".
	Prompt       string
	Route        *routing.Route
	Service      routing.Service
	Organisation string
	// Rank is the urgency of the request; 0 is the most urgent.
	Rank    int
	Arrived time.Time
	// Deadline is when the caller has its final answer at the latest.
	Deadline time.Time
}

// Caller is the side of the request that receives the answer. Its methods are
// called by the request's task only.
type Caller interface {
	// Answer sends a whole answer.
	Answer(status int, header http.Header, body []byte) error
	// Begin sends the head of a stream, and Event one event of it.
	Begin(status int, header http.Header) error
	Event(data []byte) error
	// Refuse sends an answer of this host's own.
	Refuse(fault *model.Fault) error
}

// Codec reads the events of a stream.
type Codec interface {
	// EventID returns the id of an event. Events without an id, such as
	// comments, have the id 0.
	EventID(event []byte) int64
}

// Summary is what became of a request, for its log line.
type Summary struct {
	// Status is the status that the caller received, or 0 if the answer broke off.
	Status int
	// Fault is why this host gave an answer of its own, or nil.
	Fault *model.Fault
	// Attempts describes the attempts in order.
	Attempts []AttemptNote
	// Events is the number of events passed on.
	Events int
	// LongestGap is the longest pause between two events.
	LongestGap time.Duration
	// FirstEvent is the time from arrival to the first event or the answer.
	FirstEvent time.Duration
	// CallerLeft tells that the caller closed its connection.
	CallerLeft bool
	// Broken tells that the answer to the caller broke off.
	Broken bool
}

// AttemptNote describes one attempt in a log line.
type AttemptNote struct {
	Server     string
	DataCentre string
	Outcome    string
	Cause      string
	TookMS     int64
	// FromCopy tells that the attempt went on from a copy of the run's cache.
	FromCopy bool
	Reused   bool
	Events   int
}
