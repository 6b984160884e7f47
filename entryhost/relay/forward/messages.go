// Package forward runs one request of a caller against servers and returns the
// answer. The request's task tracks which events the caller has received, and
// decides after each attempt whether to make another one.
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
	// ID is the caller's id of the request.
	ID          string
	Method      string
	Target      string
	Host        string
	Header      http.Header
	Body        []byte
	LastEventID string
	// Prompt is the id of the part of the prompt that is specific to the request
	// or its session, or "".
	Prompt       string
	Route        *routing.Route
	Service      routing.Service
	Organisation string
	// Rank is the urgency of the request; 0 is the most urgent.
	Rank    int
	Arrived time.Time
	// CallerLimit is the time that the caller stated for the request, or 0.
	CallerLimit time.Duration
	// Deadline is when the caller must have its final answer.
	Deadline time.Time
}

// Caller is the connection to the caller. Its methods are called only from the
// request's task.
type Caller interface {
	// Answer sends a complete answer.
	Answer(status int, header http.Header, body []byte) error
	// Begin sends the head of a stream, and Event one event of it. They wait for a slow
	// caller for a fraction of a second at most, so that the server is read in time. The
	// context of the request has ended when they return an error.
	Begin(status int, header http.Header) error
	Event(data []byte) error
	// Refuse sends an answer of this entry host instead of a server's.
	Refuse(fault *model.Fault) error
}

// Codec parses the events of a stream, and the prompt of a request.
type Codec interface {
	// EventID returns the id of an event, or 0 for events without an id, such as
	// comments.
	EventID(event []byte) int64
	// PromptParts returns the ids of the parts of a request's prompt, in order; the
	// last one is specific to the request or its session.
	PromptParts(header http.Header) []string
}

// Summary is the result of a request, for its log line.
type Summary struct {
	// Status is the status of the server's response sent to the caller, or 0 if
	// none was sent.
	Status int
	// Fault is the reason why this host answered itself, or nil.
	Fault *model.Fault
	// Attempts lists the attempts in order.
	Attempts []AttemptNote
	// Events is the number of events sent to the caller.
	Events int
	// LongestGap is the longest time between two events sent to the caller.
	LongestGap time.Duration
	// FirstEvent is the time from arrival to the first event or the complete
	// answer.
	FirstEvent time.Duration
	// CallerLeft is set if the caller closed its connection.
	CallerLeft bool
	// Broken is set if the answer to the caller was cut off.
	Broken bool
}

// AttemptNote is the log entry of one attempt.
type AttemptNote struct {
	Server     string
	DataCentre string
	Outcome    string
	Cause      string
	TookMS     int64
	// FromCopy is set if the attempt continued from a copy of the run's cache.
	FromCopy bool
	Reused   bool
	Events   int
}
