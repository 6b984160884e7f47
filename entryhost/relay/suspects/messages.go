// Package suspects finds requests that crash every server that starts to run
// them, and blocks them on all entry hosts. It knows two kinds: requests of equal
// content, by their fingerprint, and requests that have a part of their prompt in
// common.
//
// A host that sees a server die under a request reports it to the trackers of the
// request's fingerprint, and the parts of its prompt to the trackers of the service.
// Trackers are the first two hosts in the order of rendezvous hashing that take the report.
// One that takes the place of another, or has just started, asks all hosts for the deaths
// that they know; one that comes back gets the reports of the last minute. A host that has counted enough
// deaths sends a stop to all others. Before it stops parts of prompts, it asks all
// others whether a server has begun to answer a request with them, which proves that
// they are not the cause.
package suspects

import (
	"context"
	"encoding/hex"
	"errors"
	"hash/fnv"
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("suspects")

// Fingerprint identifies all requests with the same organisation, method, host,
// target and body.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of the parts of a request.
func NewFingerprint(parts ...string) Fingerprint {
	hash := fnv.New128a()
	for _, part := range parts {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	return Fingerprint(hash.Sum(nil))
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Message is a message to the task's mailbox.
type Message interface{ isMessage() }

// CheckStopped asks whether requests with the fingerprint, or with parts of the
// prompt, are stopped.
type CheckStopped struct {
	Fingerprint Fingerprint
	Service     string
	Prompt      Prompt
	// Watch, if not nil, is informed if the prompt is stopped later.
	Watch *Watch
	Reply task.Reply[bool]
}

// Watch is informed when the prompt of a request is stopped that no server has begun to
// answer, so that it does not crash the server that has it.
type Watch struct {
	Prompt Prompt
	// Request is the id of the request, for logs.
	Request string
	// Ended is closed when the request has ended.
	Ended <-chan struct{}
	// Stop is called once by the task when the request is stopped. It must not
	// block.
	Stop func()
}

// AnswerBegun reports that a server has begun to answer a request, which proves that
// no part of its prompt crashes servers.
type AnswerBegun struct {
	Prompt Prompt
	// Watch is the watch of the request, which ends.
	Watch *Watch
}

// AttemptBroken reports that a server broke off an attempt before its first
// event or complete response. The server may have died or may still be running.
type AttemptBroken struct {
	Fingerprint Fingerprint
	// Request is the id of the request, for logs.
	Request string
	// Server is the id of the server's process, Address where it listened.
	Server  string
	Address string
	Service string
	Prompt  Prompt
	// Ran is the time from the start of the attempt until it broke off.
	Ran time.Duration
}

// RequestCompleted reports that a request with the fingerprint ran to completion. Prompt is
// set if that is the first which is known of its answer.
type RequestCompleted struct {
	Fingerprint Fingerprint
	Prompt      Prompt
}

// Death reports that a server died under a request. Hosts of earlier builds send it for
// requests without a prompt, which they count by fingerprint and by the id of the server.
type Death struct {
	Fingerprint Fingerprint
	// Request is the id of the request, for logs.
	Request string
	Server  string
	// Told is set in reports from other hosts: the host that saw the death
	// notifies all trackers itself.
	Told bool
}

// Stop stops requests with the fingerprint. It is sent between entry hosts.
type Stop struct {
	Fingerprint Fingerprint
}

// Clear reports that a request with the fingerprint ran to completion on another
// host. It is sent between entry hosts.
type Clear struct {
	Fingerprint Fingerprint
}

// PromptDeath reports the parts of the prompt of a request under which a server died.
// It is sent between entry hosts.
type PromptDeath struct {
	Service string
	Server  string
	// Request is the id of the request, for logs, and Content stands for its content.
	Request string
	Content Part
	// Parts are the content and the shared parts of the prompt, as far as the host
	// does not trust them.
	Parts []Part
	// Ago is the time since the death, and Ran the time for which the server had the
	// request.
	Ago time.Duration
	Ran time.Duration
	// Told is set in reports from other hosts.
	Told bool
	// Failover is set if the sender has just found that a host before this one in the order of
	// the trackers takes no reports. Hosts of earlier builds leave it out.
	Failover bool
}

// PromptStop stops requests that hold all parts of a signature. It is sent between
// entry hosts.
type PromptStop struct {
	Signature Signature
	// StoppedFor is the time for which they are stopped, and ForgottenIn the time
	// after which their probation ends.
	StoppedFor  time.Duration
	ForgottenIn time.Duration
}

// after returns the stop as it is after a time.
func (s PromptStop) after(elapsed time.Duration) PromptStop {
	s.StoppedFor, s.ForgottenIn = max(0, s.StoppedFor-elapsed), max(0, s.ForgottenIn-elapsed)
	return s
}

// PromptAnswered reports parts of stopped signatures that a server has begun to
// answer. It is sent between entry hosts.
type PromptAnswered struct {
	Parts []Part
}

// AskAnswered asks when servers last began to answer requests with the parts, of those
// for which the host knows it. The reply has the age of that answer.
type AskAnswered struct {
	Parts []Part
	Reply task.Reply[map[Part]time.Duration]
}

// AskDeaths asks for the reports of deaths of a service that the host knows.
type AskDeaths struct {
	Service string
	Reply   task.Reply[[]PromptDeath]
}

// reportSent is the result of sending a report to the trackers.
type reportSent struct {
	death sentDeath
	// failed are the hosts that did not take it.
	failed []string
	// isOwn is set if this host is to count the death itself, isFailover if others come before it
	// that did not take the report.
	isOwn      bool
	isFailover bool
}

// pendingSent is the result of sending the pending reports to a host.
type pendingSent struct {
	host  string
	taken int
	err   error
}

// trialDue reports that no host is left that makes the trials of a signature before this one.
type trialDue struct {
	signature Signature
}

// deathsCollected are the deaths of a service that another host knows.
type deathsCollected struct {
	service string
	reports []PromptDeath
}

// AskStops asks for the stopped fingerprints and signatures that the host knows.
type AskStops struct {
	Reply task.Reply[KnownStops]
}

// KnownStops is the answer to AskStops.
type KnownStops struct {
	Stops []PromptStop
	// Fingerprints has the time for which each stopped fingerprint still is.
	Fingerprints map[Fingerprint]time.Duration
	// Learned is false while the host has not learned the stops of others since its
	// start, so that others may know more.
	Learned bool
}

// answersCollected is the result of asking the other hosts for answers to requests
// with the parts of a signature.
type answersCollected struct {
	service   string
	signature Signature
	// ages are the ages of the last known answers.
	ages map[Part]time.Duration
}

// stopsCollected is the result of asking other hosts for their stops.
type stopsCollected struct {
	stops        []PromptStop
	fingerprints map[Fingerprint]time.Duration
	// answers is the number of hosts that answered, failures of those that did not,
	// and learned is set if one of them knew the stops of others.
	answers  int
	failures int
	learned  bool
	// asked is set if hosts were asked, as opposed to the store.
	asked bool
}

func (CheckStopped) isMessage()     {}
func (AttemptBroken) isMessage()    {}
func (RequestCompleted) isMessage() {}
func (Death) isMessage()            {}
func (Stop) isMessage()             {}
func (Clear) isMessage()            {}
func (AnswerBegun) isMessage()      {}
func (PromptDeath) isMessage()      {}
func (PromptStop) isMessage()       {}
func (PromptAnswered) isMessage()   {}
func (AskAnswered) isMessage()      {}
func (AskStops) isMessage()         {}
func (AskDeaths) isMessage()        {}
func (reportSent) isMessage()       {}
func (pendingSent) isMessage()      {}
func (deathsCollected) isMessage()  {}
func (trialDue) isMessage()         {}
func (answersCollected) isMessage() {}
func (stopsCollected) isMessage()   {}

// Peers sends messages to other entry hosts. After an error the host may or may
// not have received the message.
type Peers interface {
	SendDeath(ctx context.Context, host string, death Death) error
	SendStop(ctx context.Context, host string, stop Stop) error
	SendClear(ctx context.Context, host string, cleared Clear) error
	SendPromptDeath(ctx context.Context, host string, death PromptDeath) error
	SendPromptStop(ctx context.Context, host string, stopped PromptStop) error
	SendPromptAnswered(ctx context.Context, host string, answered PromptAnswered) error
	// Answered returns the answer to AskAnswered of another host.
	Answered(ctx context.Context, host string, parts []Part) (map[Part]time.Duration, error)
	// Deaths returns the answer to AskDeaths of another host.
	Deaths(ctx context.Context, host, service string) ([]PromptDeath, error)
	// Stops returns the answer to AskStops of another host.
	Stops(ctx context.Context, host string) (KnownStops, error)
}

// ErrNotSupported is wrapped by errors of calls that another host does not know, since
// it runs an older build. Repeating such a call is useless.
var ErrNotSupported = errors.New("the host does not know the call")

// mailboxSize is the capacity for messages; 70 requests a second for each host
// need two or three each. When it is full, requests are not checked and reports are
// dropped and counted.
const mailboxSize = 256

// hostsSize is the capacity for host lists; the roster drops a list that does
// not fit and sends it again.
const hostsSize = 4
