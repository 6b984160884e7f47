package model

import (
	"fmt"
	"strings"
)

// ReasonEntry is the documentation of a reason for operators.
type ReasonEntry struct {
	Reason  Reason
	Meaning string
	// Action is what an operator or caller should do.
	Action string
}

// ReasonCatalogue returns an entry for every reason, in the order of
// docs/operators/incidents.md.
func ReasonCatalogue() []ReasonEntry { return reasonEntries }

var reasonEntries = []ReasonEntry{
	{ReasonBadField, "A field of the request is missing or out of range; `param` names it.", "Correct the field. Nothing ran."},
	{ReasonBodyTooLarge, "The body is larger than 4 MiB.", "Send a smaller body."},
	{ReasonNoCredentials, "The request has no bearer token.", "Send the organisation's API key."},
	{ReasonUnknownKey, "The API key belongs to no organisation in the configuration in force.", "Check the key; add the organisation if it is new."},
	{ReasonUnknownService, "No service of this name and kind is in force.", "Compare the name with the services in force."},
	{ReasonQueueFull, "Too many requests of the service wait on this entry host.", "Add backend servers if it lasts; look for one organisation that sends far more than usual."},
	{ReasonQuota, "The organisation has as many open requests as its limit allows.", "Raise max_open if the limit is too low."},
	{ReasonDeadlineUnreachable, "By the present rate the request would not be served before its deadline.", "Add backend servers, or give requests a later deadline."},
	{ReasonDeadlinePassed, "The deadline passed before the answer was complete.", "Compare the queue and the speed of the servers with the deadline."},
	{ReasonVersionGone, "The generation is bound to a version that no server holds any more.", "The caller sends the request again; check why the version left."},
	{ReasonRetryBudget, "Too large a part of the traffic consists of continued requests.", "Find out why servers fail; the budget protects the ones that are left."},
	{ReasonRetriesSpent, "The request failed on several servers.", "Look at the events of the request id."},
	{ReasonSuspectRequest, "Servers died each time this request ran.", "Keep the request's content for the engine's developers; do not send it again."},
	{ReasonDraining, "The entry host is stopping.", "Nothing; the balancer picks another entry host."},
	{ReasonPlatformUnavailable, "The request needs the platform, which does not answer.", "Check the platform. Callers may use tickets meanwhile."},
	{ReasonKeyReused, "An idempotency key came with another method, path or body.", "The caller uses a new key for a new request."},
	{ReasonKeyInProgress, "A request with the same key still runs.", "The caller waits and repeats the request with the same key."},
	{ReasonOutcomeUnknown, "The connection was lost after the request may have reached the server.", "Ask the service whether the request took effect."},
	{ReasonCursorInvalid, "The cursor in Last-Event-ID is not authentic.", "Compare --cursor-keys on all entry hosts if it repeats."},
	{ReasonCursorMismatch, "The cursor belongs to another request or organisation.", "The caller sends the same body and key as before."},
	{ReasonResumeDiverged, "The generation could not be repeated exactly after its entry host and engine were lost.", "The caller sends the request again from the start."},
	{ReasonTicketInvalid, "The ticket is not authentic or has expired.", "The caller asks for a new ticket."},
	{ReasonTicketHostGone, "The entry host that issued the ticket has gone.", "Ask the service whether the request took effect before using a new ticket."},
	{ReasonBackendFailed, "A backend server failed in a way that does not allow another try.", "Look at the server's logs at the time of the event."},
	{ReasonTaskFailed, "A task of the entry host failed.", "Report the fault with the log lines of the request id."},
	{ReasonMemoryFull, "The entry host has no memory for the request, or the request gave way to others because it arrived slowly.", "The caller sends it again after the pause; look at event 2162 if it lasts."},
	{ReasonRevisionConflict, "Another operator's change was committed first; the error names it.", "Read the configuration again and repeat the change."},
	{ReasonBadChange, "A change of the configuration is invalid; each problem is named with its remedy.", "Correct the change. Nothing was committed."},
	{ReasonNotReady, "The entry host has no configuration yet.", "Check the platform and the peers if it lasts longer than a few seconds."},
}

// IncidentsPage returns the text of docs/operators/incidents.md.
func IncidentsPage() string {
	var page strings.Builder
	page.WriteString(incidentsIntroduction)
	page.WriteString("| reason | meaning | what to do |\n| --- | --- | --- |\n")
	for _, entry := range reasonEntries {
		fmt.Fprintf(&page, "| `%s` | %s | %s |\n", entry.Reason, entry.Meaning, entry.Action)
	}
	return page.String()
}

const incidentsIntroduction = `# Incidents

Every refusal and error has a reason code. Callers find it in the field ` + "`reason`" + ` of the JSON body, beside ` + "`executed`" + `:

- ` + "`no`" + `: the request certainly did not run; it may be sent again.
- ` + "`unknown`" + `: the request may have run; a non-idempotent request must not be sent again without asking the service.
- ` + "`yes`" + `: the request ran.

Each entry host counts refusals as ` + "`lentilpoint_refusals_total{reason=\"...\"}`" + ` and retries as
` + "`lentilpoint_retries_total{reason=\"...\"}`" + ` under ` + "`/metrics`" + `. The id in ` + "`X-Request-Id`" + ` leads to the events of a request.

This page is generated from package ` + "`model`" + `; a test keeps them equal.

`
