package httpresponse

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Conn is a connection to a server on which reads fail at a malformed response, and at an end
// of the connection that does not prove that the response is whole. One goroutine reads from it
// at a time.
type Conn struct {
	net.Conn

	// writing holds a value during a write. It guards writeErr, the error of the first write that
	// failed, and early, which is set if bytes arrived before the first request had begun to be
	// written.
	writing  chan struct{}
	writeErr error
	early    bool

	// expected counts the requests for which ExpectResponse was called.
	expected atomic.Uint64
	// begun is the value of expected whose request has begun to be written. It changes during
	// writes only.
	begun atomic.Uint64

	// failure is why the response was rejected; further reads return it.
	failure atomic.Pointer[error]

	reads readState

	// The fields below are accessed only by the goroutine that reads. Checked is the value of
	// expected whose response head is checked.
	checked uint64
	head    headChecker
}

// NewConn returns a connection whose next bytes must be the head of a response.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn, writing: make(chan struct{}, 1), reads: newReadState()}
}

// ExpectResponse states that a request follows, so that the next bytes from the server must be
// the head of a response. It returns the number of the request on the connection.
func (c *Conn) ExpectResponse() uint64 { return c.expected.Add(1) }

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	if rejected := c.Failure(); rejected != nil {
		return 0, rejected
	}
	c.reads.start()
	count, err := c.Conn.Read(buffer)
	expected := c.expected.Load()
	unsolicited := count > 0 && expected > 1 && c.begun.Load() < expected
	c.reads.end(count, errors.Is(err, io.EOF))
	if unsolicited {
		return 0, c.fail(ErrUnsolicited)
	}
	if errors.Is(err, io.EOF) {
		err = c.checkEnd()
	}
	if count == 0 {
		return 0, err
	}
	if expected != c.checked {
		// A server may send the response to the first request before that request.
		if c.checked > 0 {
			c.head = headChecker{}
		}
		c.checked = expected
	}
	valid, failure := c.head.check(buffer[:count])
	if failure == nil {
		return count, err
	}
	_ = c.fail(failure)
	if c.head.size == 1 {
		// Without any byte of a response, http.Transport takes a reused connection for one that
		// was closed while it was idle, and sends the request again.
		valid = 1
	}
	if valid == 0 {
		return 0, failure
	}
	return valid, nil
}

// fail rejects the response and everything after it.
func (c *Conn) fail(failure error) error {
	c.failure.Store(&failure)
	c.reads.close()
	return failure
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.reads.close()
	return c.Conn.Close()
}

// checkEnd returns io.EOF if the end of the connection proves that the response is whole: the
// request had begun to be written before any byte of the response arrived, and no write has
// failed or is under way. A socket reports a reset once: if a write gets the error, the read sees
// the end of the connection like that after a whole response.
func (c *Conn) checkEnd() error {
	// A write that is under way ends now, with its own error if the connection was reset.
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	failure := ErrIncomplete
	switch {
	case c.writeErr != nil:
		failure = fmt.Errorf("%w: %w", ErrIncomplete, c.writeErr)
	case c.begun.Load() == c.expected.Load() && !c.early:
		return io.EOF
	}
	return c.fail(failure)
}

// Write implements net.Conn. The first write of a request that is not the first of the connection
// waits until a read waits for bytes.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	if err := c.begin(); err != nil {
		return 0, err
	}
	count, err := c.Conn.Write(data)
	c.recordWrite(err)
	return count, err
}

// begin prepares the first write of a request. It fails if the server has ended its side of the
// connection, or if bytes have arrived that belong to no request: what a server sends before a
// request is no response to it, but the socket takes the write. Before the first request of a
// connection they may be a refusal, which a server may send to any client that connects.
func (c *Conn) begin() error {
	expected := c.expected.Load()
	if c.begun.Load() == expected {
		return nil
	}
	var err error
	if expected == 1 {
		err = c.beginFirst()
	} else {
		err = c.beginLater()
	}
	if err == nil {
		c.begun.Store(expected)
	}
	c.recordWrite(err)
	return err
}

func (c *Conn) beginFirst() error {
	peer, err := examinePeer(c.Conn)
	if err == nil && peer.ended {
		err = ErrIncomplete
	}
	c.early = peer.sent > 0
	return err
}

func (c *Conn) beginLater() error {
	c.early = false
	// A reader that does not wait for bytes may have read some ahead.
	consumed := c.reads.waitForStart()
	if rejected := c.Failure(); rejected != nil {
		return rejected
	}
	peer, err := examinePeer(c.Conn)
	switch {
	case err != nil:
		return err
	case peer.ended:
		return ErrIncomplete
	case peer.sent > consumed:
		return ErrUnsolicited
	}
	return nil
}

// WriteBuffers writes the buffers with one system call where the connection allows it.
func (c *Conn) WriteBuffers(buffers net.Buffers) (int64, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	if err := c.begin(); err != nil {
		return 0, err
	}
	count, err := buffers.WriteTo(c.Conn)
	c.recordWrite(err)
	return count, err
}

func (c *Conn) recordWrite(err error) {
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// Failure returns why a response was rejected, or nil. Parsers of net/http may return an error
// of their own for the part of a line that was read before.
func (c *Conn) Failure() error {
	if failure := c.failure.Load(); failure != nil {
		return *failure
	}
	return nil
}

// ReadHead returns the first response that is not informational. The reader reads from the
// connection.
func (c *Conn) ReadHead(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, request)
		switch {
		case err != nil && c.Failure() != nil:
			return nil, c.Failure()
		case err != nil || response.StatusCode >= firstFinalStatus:
			return response, err
		}
	}
}
