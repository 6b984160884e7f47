// Package memory bounds the memory and the descriptors that clients outside the control
// of an operator can take on an entry host. It knows no protocol: the servers of callers,
// of peers and of health checks claim what they keep, and ask which connection to close.
package memory

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("memory")

const (
	// DefaultMemory and DefaultDescriptors apply to a host whose settings state none.
	DefaultMemory      = 1_000_000_000
	DefaultDescriptors = 4096
	// reservedDescriptors are left for files, as the platform demands.
	reservedDescriptors = 200
	// connectionMemory is what one connection with a small request takes beyond the
	// budget: two buffers of 4 KB, the stack of its goroutine, a head and a body of up to
	// 4 KB each.
	connectionMemory = 32 << 10
	// SmallClaim is the largest sum for which a holder may use the reserve: a body of
	// 64 KB and its head.
	SmallClaim = 128 << 10
)

// Limits are the bounds of one host. Zero values are derived by Complete.
type Limits struct {
	// Memory is the memory of the machine in bytes, Descriptors the number of its
	// descriptors.
	Memory      int64
	Descriptors int
	// Connections bounds the open connections of callers. A quarter more may be about to
	// end. A fifth of the descriptors is left for connections to servers and to the store.
	Connections int
	// Budget bounds the bytes of large heads and bodies. Reserve is what small ones may
	// use beyond it, so that they find room when large ones have used the budget up.
	Budget  int64
	Reserve int64
	// HeadLines bounds the lines of a head.
	HeadLines int
	// BodyRate is the transfer rate in bytes per second below which a body gives way to
	// others, and StallTime how long one may make no progress before it does.
	BodyRate  int64
	StallTime time.Duration
}

// Complete returns the limits with defaults for those that are zero. A process takes some
// 35 MB without callers, and the garbage collector needs room beside what is in use, so the
// parts of callers sum to half of the memory.
func (l Limits) Complete() Limits {
	setDefault(&l.Memory, DefaultMemory)
	setDefault(&l.Descriptors, DefaultDescriptors)
	setDefault(&l.Connections, max(1, min(l.usableDescriptors()*2/5, int(l.Memory/4/connectionMemory))))
	setDefault(&l.Budget, l.Memory*3/20)
	setDefault(&l.Reserve, l.Memory/10)
	setDefault(&l.HeadLines, DefaultHeadLines)
	setDefault(&l.BodyRate, DefaultBodyRate)
	setDefault(&l.StallTime, DefaultStallTime)
	return l
}

const (
	// DefaultHeadLines is the bound that net/http has from Go 1.27 on. Builds with Go 1.26
	// have none of their own.
	DefaultHeadLines = 500
	// DefaultBodyRate is an eightieth of the slowest machines' 10 Mbit/s.
	DefaultBodyRate = 16 << 10
	// DefaultStallTime covers one retransmission of TCP, which takes 0.2 to 1 s.
	DefaultStallTime = time.Second
)

func setDefault[T comparable](target *T, value T) {
	var zero T
	if *target == zero {
		*target = value
	}
}

func (l Limits) usableDescriptors() int { return max(0, l.Descriptors-reservedDescriptors) }

// PeerConnections bounds the connections of other entry hosts. Each of them holds one for
// each table that it follows.
func (l Limits) PeerConnections() int { return max(1, l.usableDescriptors()/5) }

// StatusConnections bounds the connections of health checks and of metrics scrapers each.
func (l Limits) StatusConnections() int { return max(1, l.usableDescriptors()/32) }

// SoftLimit is the memory at which the garbage collector works more often. Without it the
// heap may grow to twice of what is in use before garbage is collected.
func (l Limits) SoftLimit() int64 { return l.Memory * 4 / 5 }
