// Package ingress owns the sockets that callers, the platform's balancer and
// metrics scrapers connect to.
package ingress

import (
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("ingress")

// RequestHead holds the fields of a caller's request that the relay uses.
type RequestHead struct {
	// ID is the caller's id of the request.
	ID string
	// Key is the caller's API key.
	Key string
	// Timeout is the time that the caller gives the request, or 0 if it states none.
	Timeout time.Duration
	// LastEventID is the id of the last event that the caller received, or "".
	LastEventID string
	// Prompt is the id of the part of the prompt that is unique to this request or
	// its session, or "".
	Prompt string
	// Header holds the caller's headers that are forwarded to servers.
	Header http.Header
}

// Protocol converts callers' requests and names the paths that this host answers
// itself.
type Protocol interface {
	// Decode returns the head of a caller's request.
	Decode(request *http.Request) RequestHead
	// ReadyPath returns the path of the balancer's readiness check.
	ReadyPath() string
}

// statusOf returns the HTTP status for a fault of this host. Only a fault that
// states that the request was not run gets a status that promises it.
func statusOf(fault *model.Fault) int {
	switch {
	case fault.Reason == model.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case fault.Kind == model.KindInvalid:
		return http.StatusBadRequest
	case fault.Kind == model.KindUnauthorised:
		return http.StatusUnauthorized
	case fault.Kind == model.KindNotFound:
		return http.StatusNotFound
	case fault.Executed == model.ExecutedNo:
		return http.StatusServiceUnavailable
	case fault.Kind == model.KindDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

type command struct {
	kind  commandKind
	reply task.Reply[error]
}

type commandKind int

const (
	commandDrain commandKind = iota
	// commandStopAccepting closes the socket and the connections without a request.
	commandStopAccepting
	commandShutdown
)

// commandsCapacity is the mailbox capacity for commands; a drain sends three, one
// after another.
const commandsCapacity = 2
