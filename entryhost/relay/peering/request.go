package peering

import (
	"net"
	"sync/atomic"

	"github.com/lentilpoint/lentilpoint/entryhost/memory"
)

const (
	// unclaimedRequest is the size of a peer's message that is read without a claim. Queries
	// and reports of loads have less.
	unclaimedRequest = 16 << 10
	// maxLengthBytes is the largest number of bytes that follow the first one of the length
	// of a message.
	maxLengthBytes = 8
)

// frames follows the lengths of the messages of a gob stream. The decoder allocates up to
// 10 MB for the stated length of a message before any of its bytes arrive.
type frames struct {
	// rest is the number of bytes up to the next length.
	rest uint64
	// lengthBytes is the number of bytes of a length that are still to come, and length the
	// value of those before.
	lengthBytes int
	length      uint64
}

// next consumes bytes up to the end of a length, and returns that length and the other
// bytes. Without the end of a length in the bytes, found is false.
func (f *frames) next(content []byte) (length uint64, others []byte, found bool) {
	for len(content) > 0 {
		if f.rest > 0 {
			skipped := min(f.rest, uint64(len(content)))
			f.rest -= skipped
			content = content[skipped:]
			continue
		}
		first := content[0]
		content = content[1:]
		switch {
		case f.lengthBytes > 0:
			f.length = f.length<<8 | uint64(first)
			f.lengthBytes--
		case first < 1<<7:
			f.length = uint64(first)
		default:
			// A larger length begins with the negated number of its bytes.
			f.length, f.lengthBytes = 0, min(-int(int8(first)), maxLengthBytes)
		}
		if f.lengthBytes == 0 {
			f.rest = f.length
			return f.length, content, true
		}
	}
	return 0, nil, false
}

// requestConn is a connection of another entry host that claims the memory of the messages
// that it reads.
type requestConn struct {
	net.Conn

	budget  *memory.Budget
	holder  *memory.Holder
	frames  frames
	claimed atomic.Bool
}

func newRequestConn(conn net.Conn, budget *memory.Budget) *requestConn {
	// Closing the connection also ends a call that runs. The peer repeats it or asks another.
	yield := func() bool { _ = conn.Close(); return true }
	return &requestConn{Conn: &boundedConn{Conn: conn, remaining: maxPeerBytes}, budget: budget, holder: memory.NewHolder(yield)}
}

// Read implements io.Reader.
func (c *requestConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.holder.Receive(count)
	for length, others, found := c.frames.next(buffer[:count]); found; length, others, found = c.frames.next(others) {
		if length > maxPeerBytes {
			return 0, Error.New("the peer announces a message of %d bytes; the limit is %d", length, maxPeerBytes)
		}
		if length <= unclaimedRequest {
			continue
		}
		c.claimed.Store(true)
		if !c.budget.ClaimFor(c.holder, int64(length)) {
			return 0, Error.New("the memory of this host has no room for a message of %d bytes", length)
		}
	}
	return count, err
}

// Close implements io.Closer.
func (c *requestConn) Close() error {
	if c.claimed.Swap(false) {
		c.budget.ReleaseAll(c.holder)
	}
	return c.Conn.Close()
}
