// Package faultwire maps faults to HTTP statuses and headers for the front ends of
// an entry host.
package faultwire

import (
	"net/http"
	"strconv"
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

// Status returns the HTTP status for a kind of fault. It is 500 for all kinds that
// have no status of their own.
func Status(kind model.Kind) int {
	switch kind {
	case model.KindInvalid:
		return http.StatusBadRequest
	case model.KindUnauthorised:
		return http.StatusUnauthorized
	case model.KindNotFound:
		return http.StatusNotFound
	case model.KindConflict:
		return http.StatusConflict
	case model.KindOverloaded:
		return http.StatusTooManyRequests
	case model.KindUnavailable:
		return http.StatusServiceUnavailable
	case model.KindDeadline:
		return http.StatusGatewayTimeout
	case model.KindUnknown:
		return http.StatusBadGateway
	default:
		return http.StatusInternalServerError
	}
}

// RetryAfter returns the value of the Retry-After header for the fault, in whole
// seconds and rounded up.
func RetryAfter(fault *model.Fault) string {
	seconds := (fault.RetryAfter + time.Second - 1) / time.Second
	return strconv.FormatInt(int64(seconds), 10)
}
