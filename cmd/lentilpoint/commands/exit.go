package commands

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/lentilpoint/lentilpoint/entryhost/operators"
	"github.com/lentilpoint/lentilpoint/model"
)

// Exit codes of the command; the help text of the root command explains them.
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

var exitByKind = map[model.Kind]int{
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

// ExitCode returns the exit code of an error.
func ExitCode(err error) int {
	var wrong usageError
	var fault *model.Fault
	switch {
	case err == nil:
		return ExitDone
	case errors.Is(err, errWithdrawn):
		return ExitWithdrawn
	case errors.As(err, &wrong):
		return ExitUsage
	case errors.As(err, &fault):
		return exitByKind[fault.Kind]
	case errors.Is(err, context.DeadlineExceeded):
		return ExitDeadline
	case strings.HasPrefix(err.Error(), "unknown command"):
		// cobra has no type for this error of the root command.
		return ExitUsage
	default:
		return ExitInternal
	}
}

// refusal is an error that a server answered.
type refusal struct{ detail operators.ErrorDetail }

// Error implements error.
func (r *refusal) Error() string { return r.detail.Fault().Error() }

// Unwrap returns the fault.
func (r *refusal) Unwrap() error { return r.detail.Fault() }

// text names every problem on its own line.
func (r *refusal) text() string {
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

// invalid returns an error of this command that counts as invalid input.
func invalid(message, remedy string) error {
	return &refusal{detail: operators.ErrorDetail{
		Kind: model.KindInvalid, Reason: model.ReasonBadField, Executed: model.ExecutedNo, Message: message, Remedy: remedy,
	}}
}
