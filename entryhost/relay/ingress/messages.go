// Package ingress owns the sockets that callers, the platform's balancer and
// metrics readers connect to.
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

// Head is what a caller's request says of itself.
type Head struct {
	// ID is the caller's id of the request.
	ID string
	// Key is the caller's API key.
	Key string
	// Wait is how long the caller waits; 0 if it does not say.
	Wait      time.Duration
	LastEvent string
	// Prompt is the id of the part of the prompt that only this request or its
	// session has, or "".
	Prompt string
	// Header is what servers receive of the caller's header.
	Header http.Header
}

// Protocol translates heads of callers' requests and this host's own answers.
type Protocol interface {
	Decode(request *http.Request) Head
	// ReadyPath is the path of the balancer's readiness question.
	ReadyPath() string
}

// statusOf returns the status of an answer of this host's own. Only faults that
// state that nothing ran get a status that promises it.
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
	commandShutdown
)

// commandsSize is the capacity for commands; the root supervisor sends two.
const commandsSize = 2
