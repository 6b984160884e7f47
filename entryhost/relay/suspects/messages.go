// Package suspects finds requests that crash each server that begins to run
// them, and stops them on all entry hosts. A host that sees a server die under a
// request tells the keepers of the request's fingerprint, two hosts by
// rendezvous hashing; a host that counts enough deaths tells all others.
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

// Fingerprint names all requests with the same caller, method, path and body.
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

// String returns the fingerprint for logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Message is what the task's mailbox takes.
type Message interface{ isMessage() }

// Ask asks whether requests with the fingerprint are stopped.
type Ask struct {
	Fingerprint Fingerprint
	Reply       task.Reply[bool]
}

// Broke tells that a server broke off an attempt before its first answer. The
// server may have died under the request, or live on.
type Broke struct {
	Fingerprint Fingerprint
	// Request is the id of the request, for logs.
	Request string
	// Server is the id of the server's start, Address where it listened.
	Server  string
	Address string
}

// Finished tells that a request with the fingerprint ran to its end.
type Finished struct {
	Fingerprint Fingerprint
}

// Death tells that a server died under a request.
type Death struct {
	Fingerprint Fingerprint
	// Request is the id of the request, for logs.
	Request string
	Server  string
	// Told tells that another host saw the death and tells all keepers itself.
	Told bool
}

// Stop tells that requests with the fingerprint are stopped.
type Stop struct {
	Fingerprint Fingerprint
}

// Clear tells that a request with the fingerprint ran to its end on another host.
type Clear struct {
	Fingerprint Fingerprint
}

func (Ask) isMessage()      {}
func (Broke) isMessage()    {}
func (Finished) isMessage() {}
func (Death) isMessage()    {}
func (Stop) isMessage()     {}
func (Clear) isMessage()    {}

// Peers tells other entry hosts. An error means that the host may not know.
type Peers interface {
	TellDeath(ctx context.Context, host string, death Death) error
	TellStop(ctx context.Context, host string, stop Stop) error
	TellClear(ctx context.Context, host string, cleared Clear) error
}

// mailboxSize bounds waiting messages; 70 requests a second for each host need
// two each. A full mailbox lets requests pass and drops reports, which count.
const mailboxSize = 256

// hostsSize bounds waiting lists of hosts; the roster drops and repeats them.
const hostsSize = 4
