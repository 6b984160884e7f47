package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/lentilpoint/lentilpoint/task"
)

// Connection is the task that owns one connection to a server.
type Connection struct {
	server   string
	address  string
	protocol Protocol
	mailbox  task.Mailbox[Exchange]
	reports  task.Mailbox[Report]
	stop     context.CancelFunc

	// The task alone touches the fields below.
	conn   net.Conn
	reader *bufio.Reader
}

// Open starts a connection to the server's address. It connects with its first
// exchange. Reports go to the owner's mailbox.
func Open(ctx context.Context, server, address string, protocol Protocol, reports task.Mailbox[Report]) *Connection {
	own, stop := context.WithCancel(ctx)
	c := &Connection{
		server: server, address: address, protocol: protocol, reports: reports, stop: stop,
		// One exchange runs at a time; the owner hands out idle connections only.
		mailbox: task.NewMailbox[Exchange](1),
	}
	go c.serve(own, ctx)
	return c
}

// Server returns the id of the server that the connection was opened for.
func (c *Connection) Server() string { return c.server }

// Run starts an exchange on an idle connection.
func (c *Connection) Run(exchange Exchange) error { return c.mailbox.TrySend(exchange) }

// Close ends the connection.
func (c *Connection) Close() { c.stop() }

// serve runs until the connection's own context ends. The owner's context bounds
// its last report, so that a connection that the owner closed is counted off too.
func (c *Connection) serve(ctx, owner context.Context) {
	defer c.stop()
	ending := Report{Connection: c}
	defer func() {
		if c.conn != nil {
			_ = c.conn.Close()
		}
		// The owner may be gone; then nobody hands the connection out any more.
		_ = c.reports.Send(owner, ending)
		c.refuseLate()
	}()
	for {
		exchange, reset, ok := c.next(ctx)
		if !ok {
			ending.Reset = reset
			return
		}
		keep, reusable := c.run(ctx, exchange)
		if !reusable {
			return
		}
		if c.reports.Send(ctx, Report{Connection: c, Idle: true, KeepFor: keep}) != nil {
			return
		}
	}
}

// next waits for an exchange. An idle connection that becomes readable was
// closed, or holds bytes that belong to no request; both end it.
func (c *Connection) next(ctx context.Context) (exchange Exchange, reset, ok bool) {
	var readable chan error
	if c.conn != nil {
		if c.reader.Buffered() > 0 || c.conn.SetReadDeadline(time.Time{}) != nil {
			return Exchange{}, false, false
		}
		readable = make(chan error, 1)
		go func() {
			_, err := c.reader.Peek(1)
			readable <- err
		}()
	}
	select {
	case <-ctx.Done():
		return Exchange{}, false, false
	case err := <-readable:
		return Exchange{}, err != nil && !errors.Is(err, io.EOF), false
	case exchange = <-c.mailbox.C():
	}
	if readable == nil {
		return exchange, false, true
	}
	// Stop the idle read before the exchange uses the reader.
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	if err := <-readable; !errors.Is(err, os.ErrDeadlineExceeded) {
		send(exchange, Event{Failed: &Failure{Phase: Unsent, Err: Error.New("the idle connection was closed")}})
		return Exchange{}, false, false
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	c.reader.Reset(c.conn)
	return exchange, false, true
}

// lateTime is how long the owner may take to learn that a connection has ended.
const lateTime = time.Second

// refuseLate answers an exchange that crossed the end of the connection. Without
// it the request would wait for an answer that nobody sends.
func (c *Connection) refuseLate() {
	select {
	case exchange := <-c.mailbox.C():
		send(exchange, Event{Failed: &Failure{Phase: Unsent, Err: Error.New("the idle connection was closed")}})
	case <-time.After(lateTime):
	}
}

// writeSettle is how long the write may outlast the answer: the time in which a
// goroutine that has written everything says so.
const writeSettle = 5 * time.Millisecond

// run carries out one exchange and reports whether the connection can be used
// again and for how long.
func (c *Connection) run(ctx context.Context, exchange Exchange) (time.Duration, bool) {
	if c.conn == nil {
		if err := c.dial(exchange.Context); err != nil {
			send(exchange, Event{Failed: &Failure{Phase: Unsent, Err: err}})
			return 0, false
		}
	}
	conn := c.conn
	release := context.AfterFunc(exchange.Context, func() { _ = conn.Close() })
	releaseOwn := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer releaseOwn()
	written := make(chan error, 1)
	started := make(chan int64, 1)
	go func() { written <- c.write(exchange.Attempt, started) }()
	keep, reusable, failure := c.read(exchange)
	if failure != nil {
		_ = conn.Close()
		if failure.Phase == Sent && <-started == 0 {
			failure.Phase = Unsent
		}
		send(exchange, Event{Failed: failure})
		release()
		return 0, false
	}
	// A server may answer before it has read the whole body; the connection
	// is clean only when the body is out.
	select {
	case err := <-written:
		reusable = reusable && err == nil
	case <-time.After(writeSettle):
		reusable = false
	}
	// The request's task ends its context after the last event, which must not
	// close a connection that is fit for the next request.
	if !release() {
		reusable = false
	}
	send(exchange, Event{End: true})
	return keep, reusable
}

func (c *Connection) dial(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return Error.Wrap(err)
	}
	c.conn = conn
	c.reader = bufio.NewReaderSize(conn, 4<<10)
	return nil
}

// write sends the request as one buffer. It tells on started how many bytes the
// first write put on the wire.
func (c *Connection) write(attempt *Attempt, started chan<- int64) error {
	header := c.protocol.Encode(attempt)
	if len(attempt.Body) > 0 || attempt.Method == http.MethodPost || attempt.Method == http.MethodPut {
		header.Set("Content-Length", strconv.Itoa(len(attempt.Body)))
	}
	var buffer bytes.Buffer
	buffer.WriteString(attempt.Method + " " + attempt.Target + " HTTP/1.1\r\nHost: " + attempt.Host + "\r\n")
	if err := header.Write(&buffer); err != nil {
		started <- 0
		return Error.Wrap(err)
	}
	buffer.WriteString("\r\n")
	buffer.Write(attempt.Body)
	sent, err := c.conn.Write(buffer.Bytes())
	started <- int64(sent)
	if err != nil {
		_ = c.conn.Close()
	}
	return Error.Wrap(err)
}

// read passes the answer on. It returns a failure unless the answer is complete
// by its own framing.
func (c *Connection) read(exchange Exchange) (time.Duration, bool, *Failure) {
	request := &http.Request{Method: exchange.Attempt.Method}
	response, err := c.readHead(request)
	if err != nil {
		return 0, false, &Failure{Phase: Sent, Err: Error.Wrap(err)}
	}
	defer func() { _ = response.Body.Close() }()
	head := c.protocol.Decode(response)
	if head.RequestID != "" && head.RequestID != exchange.Attempt.RequestID {
		return 0, false, &Failure{Phase: Sent, Err: Error.New("the answer belongs to request %s", head.RequestID)}
	}
	if !send(exchange, Event{Head: &head}) {
		return 0, false, &Failure{Phase: Answering, Err: context.Cause(exchange.Context)}
	}
	if err := c.readBody(exchange, response.Body); err != nil {
		return 0, false, &Failure{Phase: Answering, Err: Error.Wrap(err)}
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	keep := head.Idle
	if keep == 0 {
		keep = defaultIdle
	}
	return keep, framed && !response.Close && c.reader.Buffered() == 0, nil
}

// readHead skips informational answers.
func (c *Connection) readHead(request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

func (c *Connection) readBody(exchange Exchange, body io.Reader) error {
	buffer := make([]byte, chunkSize)
	for {
		count, err := body.Read(buffer)
		if count > 0 && !send(exchange, Event{Data: bytes.Clone(buffer[:count])}) {
			return context.Cause(exchange.Context)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// send delivers an event unless the exchange has ended.
func send(exchange Exchange, event Event) bool {
	select {
	case exchange.Events <- event:
		return true
	case <-exchange.Context.Done():
		return false
	}
}
