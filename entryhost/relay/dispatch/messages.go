// Package dispatch chooses the server of each attempt. One task owns this host's
// state of all servers: attempts in flight, idle connections, failures, and the
// retry budgets.
package dispatch

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("dispatch")

// Lease identifies one attempt's use of a server, from Acquire to Release.
type Lease uint64

// Message is a message to the dispatcher's mailbox.
type Message interface{ isMessage() }

// Acquire asks for a server and a connection to it.
type Acquire struct {
	Service string
	// Route is the name of the request's route, for logs.
	Route string
	// Organisation is the name of the request's organisation, or "".
	Organisation string
	// Rank is the urgency of a stream; 0 is the most urgent. Objective is its latency
	// objective, and Deadline the time by which its caller must have its final answer.
	// They are not set for requests that are no streams, which count as most urgent.
	Rank      int
	Objective time.Duration
	Deadline  time.Time
	// Begun is set if the caller has events of the stream, from this or another host.
	Begun bool
	// Exclude are the ids of servers that this request must not use again.
	Exclude map[string]bool
	// Avoid are the data centres in which a server was silent to this request. The
	// engines of a data centre fail together, so another one is taken if there is
	// one.
	Avoid map[string]bool
	// Prefer is the id of the server to take if it is usable, or "".
	Prefer string
	// OnlyPreferred refuses the request if the server in Prefer cannot be used.
	OnlyPreferred bool
	// NotPaused refuses the request if only servers are left that failed recently. It is
	// set for an attempt that is to replace one on a server that is only silent.
	NotPaused bool
	// Backup asks for a second server that receives a copy of the run's cache.
	Backup bool
	// CopyLost receives the id of a server that held a copy and was lost. Its
	// capacity is two, one for each holder.
	CopyLost chan<- string
	// Retry is set if the request was sent to a server before, so that the
	// attempt is paid from the retry budget.
	Retry bool
	// NotRepeatable is set if the request must not run twice. Such a request avoids
	// connections that were idle for long, so that it is not lost with a stale
	// one.
	NotRepeatable bool
	// Point is uniform in [0, 1) and fixed for the life of a request; it decides
	// which version serves the request in a version move.
	Point float64
	// WaitUntil is when the dispatcher refuses the request if no server is
	// available.
	WaitUntil time.Time
	// Plain is set for calls of plain services, and nil for streams.
	Plain *PlainCall
	Reply task.Reply[Assignment]
	// paidByPeer is set if another host's budget pays for the attempt.
	paidByPeer bool
	// remoteLoadsKnown is set if the loads of other data centres were exchanged for
	// this request.
	remoteLoadsKnown bool
	// ask is the sequence of the report with which a grant was asked for, granted the
	// server that the collector reserved, and askedAgain is set after a second ask.
	ask        int64
	granted    string
	askedAgain bool
}

// Refusal is the reason why no server was assigned.
type Refusal string

// The refusals; each is a label of the refusal counter.
const (
	RefusedNoServer Refusal = "no_server"
	RefusedBudget   Refusal = "retry_budget_spent"
	RefusedCopyGone Refusal = "copy_holder_unusable"
	// RefusedOverload is for organisations that exceed their share of engines with a
	// long queue.
	RefusedOverload Refusal = "organisation_exceeds_share"
	// RefusedForUrgent is for streams at whose cost more urgent ones would miss their
	// objective, and RefusedForWait for those that would miss their own behind others.
	RefusedForUrgent Refusal = "more_urgent_streams_wait"
	RefusedForWait   Refusal = "wait_exceeds_objective"
	// RefusedByServers is for services of which all servers have asked for no requests.
	RefusedByServers Refusal = "servers_ask_to_wait"
	// RefusedServersFull is for calls of plain services of which no server is expected to
	// have room in time, RefusedTooLate for those that no server would answer in time.
	RefusedServersFull Refusal = "servers_full"
	RefusedTooLate     Refusal = "too_late_to_answer"
	// RefusedShed is for calls of plain services that are refused at once while no server is
	// expected to answer in time.
	RefusedShed Refusal = "answers_would_be_late"
	// RefusedStopping is for calls that wait at a host that stops.
	RefusedStopping Refusal = "host_stops"
)

// Assignment is the answer to Acquire. Server is nil if the request was refused.
type Assignment struct {
	Lease      Lease
	Server     *routing.Server
	Connection *exchange.Connection
	// Reused is set if the connection served a request before.
	Reused bool
	// Backup is the server that receives the copy of the run's cache, or nil.
	Backup *routing.Server
	// Deferred is set if the request's organisation has more prompts waiting than its
	// share. Its prompt is to be read after those of others.
	Deferred bool
	// AllRemote is set if neither the server nor the backup is in this host's
	// data centre.
	AllRemote bool
	Refusal   Refusal
	// RetryAfter is when the caller of a refused request may return; 0 leaves that to
	// the caller of the dispatcher.
	RetryAfter time.Duration
}

// Outcome is the result of an attempt, as evidence about its server.
type Outcome int

// The outcomes of attempts.
const (
	// OutcomeNone is no evidence about the server, for example if the caller
	// left.
	OutcomeNone Outcome = iota
	OutcomeSuccess
	// OutcomeFailed is a complete response in which the server reports a failure.
	OutcomeFailed
	// OutcomeRejected is a server's statement that it did not run the request.
	OutcomeRejected
	// OutcomeMisdirected means that another server answered at the address.
	OutcomeMisdirected
	// OutcomeUnreachable means that no connection could be made.
	OutcomeUnreachable
	// OutcomeBroken means that the response was cut off or invalid.
	OutcomeBroken
	// OutcomeSilent means that the server stopped sending or did not answer in
	// time.
	OutcomeSilent
)

var outcomeNames = [...]string{"none", "success", "failed", "rejected", "misdirected", "unreachable", "broken", "silent"}

// String names the outcome in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Release ends a lease and reports the attempt's outcome.
type Release struct {
	Lease   Lease
	Outcome Outcome
	// Unused is set if nothing was sent to the server, so that a retry is not paid.
	Unused bool
	// Latency is the time to the response, or to the first event of a stream; 0 if
	// there is none.
	Latency time.Duration
	// Instance is the id of the server now at the address, after a misdirected
	// attempt.
	Instance string
}

// SetBudget replaces the limits of the retry budget and resets all counts.
type SetBudget struct {
	Budget BudgetLimits
}

// FirstEventSent reports the first event of an attempt: the engine has read
// its prompt and is decoding.
type FirstEventSent struct {
	Lease Lease
}

// EventsSent reports moves.EventsPerPace further events of an attempt since the first
// one or the last such message.
type EventsSent struct {
	Lease Lease
}

// CheckResult is the result of a probe of a server's runs.
type CheckResult struct {
	Alive bool
	// Runs is the number of events produced so far by each run, by request id.
	Runs map[string]int
	// SentAt is when the probe was sent.
	SentAt time.Time
	// IdleServer is set if another server of the service reads no prompt, as far as
	// is known.
	IdleServer bool
}

// Check asks whether a server is alive; concurrent checks share one probe.
type Check struct {
	Server string
	Reply  task.Reply[CheckResult]
}

// CopyPlacement is where a copy of a run's cache is to be placed.
type CopyPlacement int

const (
	// CopyAnywhere places the copy on another server than the current holders.
	CopyAnywhere CopyPlacement = iota
	// CopyLocal places the copy in this host's data centre.
	CopyLocal
	// CopyRenewed renews the copy on the holder chosen before.
	CopyRenewed
)

var copyPlacementNames = [...]string{"anywhere", "home", "again"}

// String returns the placement's name in logs.
func (p CopyPlacement) String() string { return copyPlacementNames[p] }

// RequestCopy asks for a copy of the cache of a run that is in progress.
type RequestCopy struct {
	Lease     Lease
	Request   string
	Placement CopyPlacement
	Reply     task.Reply[CopyResult]
}

// DropCopy frees a requested copy that is no longer needed.
type DropCopy struct {
	Copy exchange.CacheCopy
}

// CopyResult is a copy of a run's cache, or the reason why there is none.
type CopyResult struct {
	Holder *routing.Server
	Copy   exchange.CacheCopy
	Err    error
}

// HolderID returns the id of the holder, or "" if there is no copy.
func (c CopyResult) HolderID() string {
	if c.Holder == nil {
		return ""
	}
	return c.Holder.ID
}

// LendRetry asks this host's budget to pay for a retry of another host.
type LendRetry struct {
	Service string
	Reply   task.Reply[bool]
}

// BudgetBorrower asks other hosts to pay for a retry from their budgets.
type BudgetBorrower interface {
	// Borrow reports whether one of the hosts pays. The error names the hosts
	// that did not answer, and may be set even if another host pays.
	Borrow(ctx context.Context, hosts []routing.Host, service string) (bool, error)
}

// borrowResult is the other hosts' answer for a request that exceeded this
// host's budget.
type borrowResult struct {
	request Acquire
	granted bool
	err     error
}

// Locate asks for the id of an engine whose cache holds the prompt; "" if none
// does.
type Locate struct {
	Service string
	Prompt  string
	// Here makes this host query the engines itself instead of asking the host that
	// does so for its data centre.
	Here  bool
	Reply task.Reply[string]
}

// PromptLocator asks another host of the data centre to locate a prompt.
type PromptLocator interface {
	Locate(ctx context.Context, host, service, prompt string) (string, error)
}

// copyMade is the answer of a server to a copy request.
type copyMade struct {
	request RequestCopy
	// source is the server that made the copy.
	source *serverState
	result CopyResult
}

type checkDone struct {
	server string
	result CheckResult
}

// identifyResult reports whether the server at the address of a stale
// registration is a restarted engine that stays on.
type identifyResult struct {
	// former is the stale registration, instance the id reported by the server
	// now at its address.
	former   *routing.Server
	instance string
	usable   bool
}

// adoptedChecked reports whether a server that was adopted at a time states that it leaves.
type adoptedChecked struct {
	server    string
	adoptedAt time.Time
	leaves    bool
}

// cacheListed is an engine's answer about the content of its cache; partTokens
// is nil if it did not answer.
type cacheListed struct {
	server     string
	partTokens map[string]int
}

func (RequestCopy) isMessage()    {}
func (DropCopy) isMessage()       {}
func (copyMade) isMessage()       {}
func (LendRetry) isMessage()      {}
func (borrowResult) isMessage()   {}
func (Locate) isMessage()         {}
func (cacheListed) isMessage()    {}
func (Acquire) isMessage()        {}
func (Release) isMessage()        {}
func (SetBudget) isMessage()      {}
func (FirstEventSent) isMessage() {}
func (EventsSent) isMessage()     {}
func (Check) isMessage()          {}
func (checkDone) isMessage()      {}
func (identifyResult) isMessage() {}
func (adoptedChecked) isMessage() {}

// EngineReport is an engine's answer to a probe.
type EngineReport struct {
	// Runs is the number of events produced so far by each run, by request id.
	Runs map[string]int
	// IsEngine is set if the server is a model engine.
	IsEngine bool
	// Leaves is set if the server states that it is about to stop.
	Leaves bool
}

// Prober queries engines and requests copies of runs. Each call uses a
// connection of its own.
type Prober interface {
	Probe(ctx context.Context, address string) (EngineReport, error)
	// CheckHealth returns an error unless the server with the id answers at the address
	// that it is healthy and does not leave.
	CheckHealth(ctx context.Context, address, path, id string) error
	// CachedParts returns the number of tokens in the engine's cache of each
	// part of a prompt, by the id of the part.
	CachedParts(ctx context.Context, address string) (map[string]int, error)
	// Copy makes the engine at source copy the cache of a request's run to the
	// target, and returns the name of the copy at the source.
	Copy(ctx context.Context, source, request, target string) (string, error)
	// Drop frees a copy at its source and its holder.
	Drop(ctx context.Context, copied exchange.CacheCopy) error
}

const (
	// mailboxSize is the capacity for messages; 70 requests a second for each
	// host need a few messages each, so a full mailbox means that the task is
	// stalled.
	mailboxSize = 1024
	// reportsSize is the capacity for connection reports; senders block when it
	// is full.
	reportsSize = 256
	// viewsSize is the capacity for catalog views and host lists; the catalog
	// blocks when it is full.
	viewsSize = 8
)
