// Package dispatch chooses the server of each attempt. One task owns what this
// host knows of the servers: work in flight, idle connections, failures, and
// the budget for retries.
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

// Lease names one use of a server until it is released.
type Lease uint64

// Message is what the dispatcher's mailbox takes.
type Message interface{ isMessage() }

// Acquire asks for a server and a connection to it.
type Acquire struct {
	Service string
	// Route is the name of the route, for evidence on versions.
	Route string
	// Exclude are ids of servers that this request is done with.
	Exclude map[string]bool
	// Prefer is the id of the server to take if it is usable, or "".
	Prefer string
	// OnlyPreferred refuses instead of taking another server than Prefer.
	OnlyPreferred bool
	// Backup asks for a second server that receives a copy of the run's cache.
	Backup bool
	// CopyLost receives the id of a server with a copy when that is lost. It has
	// room for two.
	CopyLost chan<- string
	// Repeat tells that the request was sent to a server before, so that the
	// attempt is paid from the retry budget.
	Repeat bool
	// Once tells that the request must not be lost with a stale connection.
	Once bool
	// Point is uniform in [0, 1) and stays the same for the life of a request; it
	// decides which version the request uses in a version move.
	Point float64
	// Until is when the dispatcher refuses if no server can be had.
	Until time.Time
	Reply task.Reply[Assignment]
	// paid tells that another host's budget pays for the attempt.
	paid bool
}

// Refusal says why no server was assigned.
type Refusal string

// The refusals; there is one counter for each.
const (
	RefusedNoServer Refusal = "no_server"
	RefusedBudget   Refusal = "retry_budget_spent"
	RefusedCopyGone Refusal = "copy_holder_unusable"
)

// Assignment is the answer to Acquire. Server is nil if it was refused.
type Assignment struct {
	Lease      Lease
	Server     *routing.Server
	Connection *exchange.Connection
	// Reused tells that the connection served a request before.
	Reused bool
	// Backup receives the copy of the run's cache, or is nil.
	Backup *routing.Server
	// Away tells that neither the server nor the backup is in the data centre of
	// this host.
	Away    bool
	Refusal Refusal
}

// Outcome is what an attempt showed of its server.
type Outcome int

// The outcomes of attempts.
const (
	// OutcomeNone says nothing about the server; the caller left, for example.
	OutcomeNone Outcome = iota
	OutcomeSuccess
	// OutcomeFailed is an answer of the server's own that reports a failure.
	OutcomeFailed
	// OutcomeRejected is a statement that the request did not run.
	OutcomeRejected
	// OutcomeMisdirected is a statement of another server at the address.
	OutcomeMisdirected
	// OutcomeUnreachable means that no connection could be made.
	OutcomeUnreachable
	// OutcomeBroken means that the answer broke off or was no answer.
	OutcomeBroken
	// OutcomeSilent means that the server stopped answering.
	OutcomeSilent
)

var outcomeNames = [...]string{"none", "success", "failed", "rejected", "misdirected", "unreachable", "broken", "silent"}

// String names the outcome in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Release ends the use of a server.
type Release struct {
	Lease   Lease
	Outcome Outcome
	// Took is the time to the answer, or to the first event; 0 if there is none.
	Took time.Duration
	// Instance is the id of the server that has the address, for a misdirected
	// attempt.
	Instance string
}

// Terms replaces the terms of the retry budget.
type Terms struct {
	Budget BudgetTerms
}

// Started tells that an attempt has sent its first event, so that its prompt
// takes no more time of the engine.
type Started struct {
	Lease Lease
}

// Verdict is the result of a question to a server about its runs.
type Verdict struct {
	Alive bool
	// Runs are the events made so far by each run, by request id.
	Runs map[string]int
	// At is when the question was asked.
	At time.Time
}

// Check asks whether a server is alive; many requests share one question.
type Check struct {
	Server string
	Reply  task.Reply[Verdict]
}

// CopyOrder says where a copy of a run's cache is wanted.
type CopyOrder int

const (
	// CopyAnywhere is a copy at another server than before.
	CopyAnywhere CopyOrder = iota
	// CopyHome is a copy in the data centre of this host.
	CopyHome
	// CopyAgain is a newer copy at the server that was chosen before.
	CopyAgain
)

var copyOrderNames = [...]string{"anywhere", "home", "again"}

// String names the order in logs.
func (o CopyOrder) String() string { return copyOrderNames[o] }

// OrderCopy asks for a copy of the cache of a run that goes on.
type OrderCopy struct {
	Lease   Lease
	Request string
	Order   CopyOrder
	Reply   task.Reply[CopyMade]
}

// DropCopy frees a copy that was ordered and is not needed any more.
type DropCopy struct {
	Copy exchange.CacheCopy
}

// CopyMade is a copy of a run's cache, or the reason why there is none.
type CopyMade struct {
	Holder *routing.Server
	Copy   exchange.CacheCopy
	Err    error
}

// HolderID returns the id of the holder, or "" without a copy.
func (c CopyMade) HolderID() string {
	if c.Holder == nil {
		return ""
	}
	return c.Holder.ID
}

// Lend asks to pay for a repeat of another host from this host's budget.
type Lend struct {
	Service string
	Reply   task.Reply[bool]
}

// Lender asks other hosts to pay for a repeat from their budgets.
type Lender interface {
	// Borrow reports whether a host pays. The error names the hosts that gave no
	// answer, also if another one pays.
	Borrow(ctx context.Context, hosts []routing.Host, service string) (bool, error)
}

// borrowed is the outcome for a request that needed another host's budget.
type borrowed struct {
	request Acquire
	granted bool
	err     error
}

// Locate asks for the id of an engine that holds the prompt; "" if none does.
type Locate struct {
	Service string
	Prompt  string
	Reply   task.Reply[string]
}

type probed struct {
	server  string
	verdict Verdict
}

// identified is the result of a question whether an engine has the address of
// a server that was restarted.
type identified struct {
	// former is the registration that was contradicted, instance the id that the
	// server at its address gave.
	former   *routing.Server
	instance string
	engine   bool
}

// listed is an engine's answer to the question what its cache holds.
type listed struct {
	server string
	parts  map[string]int
}

func (OrderCopy) isMessage()  {}
func (DropCopy) isMessage()   {}
func (Lend) isMessage()       {}
func (borrowed) isMessage()   {}
func (Locate) isMessage()     {}
func (listed) isMessage()     {}
func (Acquire) isMessage()    {}
func (Release) isMessage()    {}
func (Terms) isMessage()      {}
func (Started) isMessage()    {}
func (Check) isMessage()      {}
func (probed) isMessage()     {}
func (identified) isMessage() {}

// EngineReport is what an engine says of itself.
type EngineReport struct {
	// Runs are the events made so far by each run, by request id.
	Runs map[string]int
	// Engine tells that the server serves models.
	Engine bool
}

// Prober asks an engine about itself and orders copies of runs from it. Each
// question goes on a connection of its own.
type Prober interface {
	Probe(ctx context.Context, address string) (EngineReport, error)
	// Cached returns the number of tokens that the engine's cache holds of each
	// part of a prompt, by the id of the part.
	Cached(ctx context.Context, address string) (map[string]int, error)
	// Copy makes the engine copy the cache of a run to another engine, and returns
	// the name under which the source made the copy.
	Copy(ctx context.Context, source, request, target string) (string, error)
	// Drop frees a copy at its source and its holder.
	Drop(ctx context.Context, copied exchange.CacheCopy) error
}

const (
	// mailboxSize bounds waiting messages; 70 requests a second for each host
	// need a few messages each, so a full mailbox means a stalled task.
	mailboxSize = 1024
	// reportsSize bounds waiting reports of connections, which wait for room.
	reportsSize = 256
	// viewsSize bounds waiting views; the catalog waits for room.
	viewsSize = 8
)
