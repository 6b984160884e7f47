package commands

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/lentilpoint/lentilpoint/entryhost/operators"
	"github.com/lentilpoint/lentilpoint/model"
)

// Exit codes of the command. The help text of the root command describes them and
// scripts depend on their values.
const (
	ExitDone = iota
	ExitInternal
	ExitUsage
	ExitInvalid
	ExitUnauthorised
	ExitNotFound
	ExitConflict
	ExitUnavailable
	ExitUnknown
	ExitDeadline
	ExitWithdrawn
)

var exitCodeByKind = map[model.Kind]int{
	model.KindInvalid:      ExitInvalid,
	model.KindUnauthorised: ExitUnauthorised,
	model.KindNotFound:     ExitNotFound,
	model.KindConflict:     ExitConflict,
	model.KindOverloaded:   ExitUnavailable,
	model.KindUnavailable:  ExitUnavailable,
	model.KindUnknown:      ExitUnknown,
	model.KindDeadline:     ExitDeadline,
	model.KindInternal:     ExitInternal,
}

// errWithdrawn reports that a watched move was withdrawn.
var errWithdrawn = errors.New("the move was withdrawn")

// ExitCode returns the exit code for an error, ExitDone for nil.
func ExitCode(err error) int {
	var usageErr usageError
	var fault *model.Fault
	switch {
	case err == nil:
		return ExitDone
	case errors.Is(err, errWithdrawn):
		return ExitWithdrawn
	case errors.As(err, &usageErr):
		return ExitUsage
	case errors.As(err, &fault):
		return exitCodeByKind[fault.Kind]
	case errors.Is(err, context.DeadlineExceeded):
		return ExitDeadline
	case strings.HasPrefix(err.Error(), "unknown command"):
		// cobra has no type for this error of the root command.
		return ExitUsage
	default:
		return ExitInternal
	}
}

// requestError is an error in the form of an error response of the operator API. It
// also reports servers that did not respond and input that this command rejects.
type requestError struct{ detail operators.ErrorDetail }

// Error implements error.
func (r *requestError) Error() string { return r.detail.Fault().Error() }

// Unwrap returns the fault that ExitCode maps to an exit code.
func (r *requestError) Unwrap() error { return r.detail.Fault() }

// text returns the message with its remedy, or every problem on a line of its own.
func (r *requestError) text() string {
	var text strings.Builder
	if len(r.detail.Problems) == 0 {
		fmt.Fprintf(&text, "error: %s\n  remedy: %s", r.detail.Message, r.detail.Remedy)
		return text.String()
	}
	fmt.Fprintf(&text, "error: the change is refused, %d problems", len(r.detail.Problems))
	for _, problem := range r.detail.Problems {
		fmt.Fprintf(&text, "\n  %s: %s\n    remedy: %s", problem.Field, problem.Message, problem.Remedy)
	}
	return text.String()
}

// invalidInputError returns an error for input that this command rejects itself. It
// exits with ExitInvalid.
func invalidInputError(message, remedy string) error {
	return &requestError{detail: operators.ErrorDetail{
		Kind: model.KindInvalid, Reason: model.ReasonBadField, Executed: model.ExecutedNo, Message: message, Remedy: remedy,
	}}
}
