// Package suspects finds requests that crash every server that starts to run
// them, and blocks them on all entry hosts. A host that sees a server die under
// a request reports it to the trackers of the request's fingerprint, two hosts
// chosen by rendezvous hashing. A host that has counted enough deaths sends a
// stop to all others.
package suspects

import (
	"context"
	"encoding/hex"
	"hash/fnv"

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

// CheckStopped asks whether requests with the fingerprint are stopped.
type CheckStopped struct {
	Fingerprint Fingerprint
	Reply       task.Reply[bool]
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
}

// RequestCompleted reports that a request with the fingerprint ran to completion.
type RequestCompleted struct {
	Fingerprint Fingerprint
}

// Death reports that a server died under a request. It is sent between entry
// hosts.
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

func (CheckStopped) isMessage()     {}
func (AttemptBroken) isMessage()    {}
func (RequestCompleted) isMessage() {}
func (Death) isMessage()            {}
func (Stop) isMessage()             {}
func (Clear) isMessage()            {}

// Peers sends messages to other entry hosts. After an error the host may or may
// not have received the message.
type Peers interface {
	SendDeath(ctx context.Context, host string, death Death) error
	SendStop(ctx context.Context, host string, stop Stop) error
	SendClear(ctx context.Context, host string, cleared Clear) error
}

// mailboxSize is the capacity for messages; 70 requests a second for each host
// need two each. When it is full, requests are not checked and reports are
// dropped and counted.
const mailboxSize = 256

// hostsSize is the capacity for host lists; the roster drops a list that does
// not fit and sends it again.
const hostsSize = 4
