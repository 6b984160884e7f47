package model

import (
	"errors"
	"fmt"
	"time"
)

// Kind is the class of an error, by how the receiver should react to it.
type Kind string

// The kinds of error that callers and operators receive.
const (
	KindInvalid      Kind = "invalid_request"
	KindUnauthorised Kind = "unauthorised"
	KindNotFound     Kind = "not_found"
	KindConflict     Kind = "conflict"
	KindOverloaded   Kind = "overloaded"
	KindUnavailable  Kind = "unavailable"
	KindDeadline     Kind = "deadline_exceeded"
	KindUnknown      Kind = "outcome_unknown"
	KindInternal     Kind = "internal"
)

// Executed states whether the request ran.
type Executed string

// The values of Executed. After ExecutedUnknown the request may have had an effect.
const (
	ExecutedNo      Executed = "no"
	ExecutedUnknown Executed = "unknown"
	ExecutedYes     Executed = "yes"
)

// Reason is a stable code for the cause of an error. Refusals are counted by
// reason.
type Reason string

// The reasons. Those of the request path come first; reasonEntries explains each.
const (
	ReasonBadField            Reason = "bad_field"
	ReasonBodyTooLarge        Reason = "body_too_large"
	ReasonNoCredentials       Reason = "no_credentials"
	ReasonUnknownKey          Reason = "unknown_key"
	ReasonUnknownService      Reason = "unknown_service"
	ReasonQueueFull           Reason = "queue_full"
	ReasonQuota               Reason = "organisation_quota"
	ReasonDeadlineUnreachable Reason = "deadline_unreachable"
	ReasonDeadlinePassed      Reason = "deadline_passed"
	ReasonVersionGone         Reason = "version_gone"
	ReasonRetryBudget         Reason = "retry_budget_spent"
	ReasonRetriesSpent        Reason = "retries_spent"
	ReasonSuspectRequest      Reason = "suspect_request"
	ReasonDraining            Reason = "draining"
	ReasonPlatformUnavailable Reason = "platform_unavailable"
	ReasonKeyReused           Reason = "key_reused"
	ReasonKeyInProgress       Reason = "key_in_progress"
	ReasonOutcomeUnknown      Reason = "outcome_unknown"
	ReasonCursorInvalid       Reason = "cursor_invalid"
	ReasonCursorMismatch      Reason = "cursor_mismatch"
	ReasonResumeDiverged      Reason = "resume_diverged"
	ReasonTicketInvalid       Reason = "ticket_invalid"
	ReasonTicketHostGone      Reason = "ticket_host_gone"
	ReasonBackendFailed       Reason = "backend_failed"
	ReasonTaskFailed          Reason = "task_failed"
	ReasonNotReady            Reason = "not_ready"
	ReasonMemoryFull          Reason = "memory_full"
	ReasonRevisionConflict    Reason = "revision_conflict"
	ReasonBadChange           Reason = "bad_change"
)

// Fault is the typed error that crosses package boundaries and reaches callers
// and operators.
type Fault struct {
	Kind     Kind
	Reason   Reason
	Executed Executed
	// Message describes the cause, and Remedy what the receiver should do.
	Message string
	Remedy  string
	// Field is the offending field of the request, for ReasonBadField.
	Field string
	// RetryAfter is the wait before a retry; 0 means that none is given.
	RetryAfter time.Duration
}

// Error implements error.
func (f *Fault) Error() string {
	return fmt.Sprintf("%s (%s): %s; %s", f.Kind, f.Reason, f.Message, f.Remedy)
}

// AsFault returns the first Fault in the chain of err. If there is none, it returns
// an internal fault with an unknown outcome.
func AsFault(err error) *Fault {
	var fault *Fault
	if errors.As(err, &fault) {
		return fault
	}
	return &Fault{
		Kind: KindInternal, Reason: ReasonTaskFailed, Executed: ExecutedUnknown,
		Message: err.Error(), Remedy: "read the logs of this entry host for the request id",
	}
}

// NotRun returns a fault for a request that certainly did not run, with
// ExecutedNo.
func NotRun(kind Kind, reason Reason, message, remedy string) *Fault {
	return &Fault{Kind: kind, Reason: reason, Executed: ExecutedNo, Message: message, Remedy: remedy}
}

// BadField returns a fault for an invalid field of a request.
func BadField(field, message string) *Fault {
	fault := NotRun(KindInvalid, ReasonBadField, message, "correct the field "+field+" and send the request again")
	fault.Field = field
	return fault
}

// WithRetryAfter returns a copy of the fault with RetryAfter set to wait.
func (f *Fault) WithRetryAfter(wait time.Duration) *Fault {
	delayed := *f
	delayed.RetryAfter = wait
	return &delayed
}
