// Package httpresponse decides whether the response of a server is well-formed and complete.
// Every client of servers reads through a Conn, directly or by a Transport, so that all of
// them reject the same responses, and at the byte that shows the fault. net/http parses what
// passes: it accepts heads that HTTP does not allow.
package httpresponse

import (
	"errors"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("response")

// Errors of responses. Except for ErrUnsolicited they prove nothing about the request, which may
// have run.
var (
	ErrMalformed   = Error.New("the response is malformed; examine the server that sent it")
	ErrHeadTooLong = Error.New("the head of the response is longer than %d bytes; examine the server that sent it", MaxHeadBytes)
	// ErrIncomplete means that the connection ended before the request was written, and with it
	// the response if that has neither a length nor chunks. A write fails with it if the
	// connection had ended before.
	ErrIncomplete = Error.New("the connection ended before the request was written, so the response may not be whole; examine the server that sent it")
	// ErrUnsolicited means that the server sent bytes after a response and before the next
	// request of the connection, which has not been written.
	ErrUnsolicited = Error.New("the server sent bytes that no request asked for; examine the server that sent them")
)

// Reason returns the name of the error of this package for counters, or "" for other errors.
func Reason(err error) string {
	switch {
	case errors.Is(err, ErrMalformed):
		return "malformed"
	case errors.Is(err, ErrHeadTooLong):
		return "head_too_long"
	case errors.Is(err, ErrIncomplete):
		return "incomplete"
	case errors.Is(err, ErrUnsolicited):
		return "unsolicited"
	}
	return ""
}

// MaxHeadBytes is the largest size of a head together with the informational heads before it.
// A faulty server may send a head without end.
const MaxHeadBytes = 64 << 10
