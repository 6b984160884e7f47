package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/lentilpoint/lentilpoint/httpresponse"
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

	// The fields below are accessed only by the task's goroutine.
	conn   *httpresponse.Conn
	reader *bufio.Reader
	// reused is set once a response was read on conn.
	reused bool
}

// Open starts the task of a connection to the server's address. It dials when
// the first exchange arrives and sends its reports to the owner's mailbox.
func Open(ctx context.Context, server, address string, protocol Protocol, reports task.Mailbox[Report]) *Connection {
	connCtx, stop := context.WithCancel(ctx)
	c := &Connection{
		server: server, address: address, protocol: protocol, reports: reports, stop: stop,
		// The owner assigns exchanges to idle connections only.
		mailbox: task.NewMailbox[Exchange](1),
	}
	go c.serve(connCtx, ctx)
	return c
}

// Server returns the id of the server that the connection was opened for.
func (c *Connection) Server() string { return c.server }

// Run starts an exchange on an idle connection.
func (c *Connection) Run(exchange Exchange) error { return c.mailbox.TrySend(exchange) }

// Connect opens the connection to the server unless it is open. An open one may belong to
// a server that has fallen silent since.
func (c *Connection) Connect(ctx context.Context) error {
	connected := make(chan error, 1)
	if err := c.mailbox.TrySend(Exchange{Context: ctx, connected: connected}); err != nil {
		return err
	}
	select {
	case err := <-connected:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Close ends the connection.
func (c *Connection) Close() { c.stop() }

// serve runs exchanges until ctx ends or the connection cannot be reused. The
// final report is bounded by ownerCtx, because ctx has already ended when the
// owner closed the connection, and the owner must still uncount it.
func (c *Connection) serve(ctx, ownerCtx context.Context) {
	defer c.stop()
	final := Report{Connection: c}
	defer func() {
		if c.conn != nil {
			_ = c.conn.Close()
		}
		// If the owner has ended, nobody assigns exchanges to the connection.
		_ = c.reports.Send(ownerCtx, final)
		c.failLateExchange()
	}()
	for {
		exchange, reset, ok := c.nextExchange(ctx)
		if !ok {
			final.Reset = reset
			return
		}
		if exchange.connected != nil {
			err := c.connect(exchange.Context)
			exchange.connected <- err
			if err != nil {
				return
			}
			continue
		}
		idleTimeout, reusable := c.runExchange(ctx, exchange)
		if !reusable {
			return
		}
		if c.reports.Send(ctx, Report{Connection: c, Idle: true, IdleTimeout: idleTimeout}) != nil {
			return
		}
	}
}

// nextExchange waits for an exchange. An idle connection that becomes readable was
// closed or received bytes that belong to no request; both end the connection.
func (c *Connection) nextExchange(ctx context.Context) (exchange Exchange, reset, ok bool) {
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
		orderly := err == nil || errors.Is(err, io.EOF) || errors.Is(err, httpresponse.ErrIncomplete)
		return Exchange{}, !orderly, false
	case exchange = <-c.mailbox.C():
	}
	if readable == nil {
		return exchange, false, true
	}
	// Interrupt the idle read before the exchange uses the reader.
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	if err := <-readable; !errors.Is(err, os.ErrDeadlineExceeded) {
		exchange.failUnsent()
		return Exchange{}, false, false
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	c.reader.Reset(c.conn)
	return exchange, false, true
}

// lateExchangeTimeout is how long the owner may take to process the final
// report of a connection.
const lateExchangeTimeout = time.Second

// failLateExchange fails an exchange that the owner assigned before it processed
// the final report. Without it the request would wait for events forever.
func (c *Connection) failLateExchange() {
	select {
	case exchange := <-c.mailbox.C():
		exchange.failUnsent()
	case <-time.After(lateExchangeTimeout):
	}
}

// failUnsent fails an exchange whose connection was closed while it was idle.
func (e Exchange) failUnsent() {
	err := Error.New("the idle connection was closed")
	if e.connected != nil {
		e.connected <- err
		return
	}
	sendEvent(e, Event{Failed: &Failure{Phase: Unsent, Err: err}})
}

// writeGracePeriod is how long a write may take to report its result after the
// response is complete. It only covers the scheduling of a write that is done.
const writeGracePeriod = 5 * time.Millisecond

// runExchange runs one exchange. It returns how long the connection may stay
// idle and whether it can be reused.
func (c *Connection) runExchange(ctx context.Context, exchange Exchange) (time.Duration, bool) {
	if c.conn != nil && exchange.Attempt.SentBefore {
		_ = c.conn.Close()
		c.conn = nil
	}
	if err := c.connect(exchange.Context); err != nil {
		sendEvent(exchange, Event{Failed: &Failure{Phase: Unsent, Err: err}})
		return 0, false
	}
	conn := c.conn
	detachExchange := context.AfterFunc(exchange.Context, func() { _ = conn.Close() })
	detachConnection := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer detachConnection()
	conn.ExpectResponse()
	written := make(chan error, 1)
	sentBytes := make(chan int64, 1)
	go func() { written <- c.writeRequest(exchange.Attempt, sentBytes) }()
	idleTimeout, reusable, failure := c.readResponse(exchange)
	if failure != nil {
		_ = conn.Close()
		if failure.Phase == Sent && <-sentBytes == 0 {
			failure.Phase = Unsent
		}
		sendEvent(exchange, Event{Failed: failure})
		detachExchange()
		return 0, false
	}
	// A server may respond before it has read the whole body; the connection is
	// reusable only if the body was written completely.
	select {
	case err := <-written:
		reusable = reusable && err == nil
	case <-time.After(writeGracePeriod):
		reusable = false
	}
	// The request's task cancels its context after the last event, which must not
	// close a reusable connection.
	if !detachExchange() {
		reusable = false
	}
	sendEvent(exchange, Event{End: true})
	return idleTimeout, reusable
}

// connect dials the server unless the connection is open.
func (c *Connection) connect(ctx context.Context) error {
	if c.conn != nil {
		return nil
	}
	return c.dial(ctx)
}

func (c *Connection) dial(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return Error.Wrap(err)
	}
	c.conn, c.reused = httpresponse.NewConn(conn), false
	c.reader = bufio.NewReaderSize(c.conn, 4<<10)
	return nil
}

// writeRequest writes the request in one call and sends the number of bytes
// written to sentBytes. The body is not copied, so that a server that does not read it
// costs no memory beyond the request. The write has no deadline of its own: it ends with
// its exchange, which closes the connection.
func (c *Connection) writeRequest(attempt *Attempt, sentBytes chan<- int64) error {
	header := c.protocol.Encode(attempt)
	if len(attempt.Body) > 0 || attempt.Method == http.MethodPost || attempt.Method == http.MethodPut {
		header.Set("Content-Length", strconv.Itoa(len(attempt.Body)))
	}
	var buffer bytes.Buffer
	buffer.WriteString(attempt.Method + " " + attempt.Target + " HTTP/1.1\r\nHost: " + attempt.Host + "\r\n")
	if err := header.Write(&buffer); err != nil {
		sentBytes <- 0
		return Error.Wrap(err)
	}
	buffer.WriteString("\r\n")
	count, err := c.conn.WriteBuffers(net.Buffers{buffer.Bytes(), attempt.Body})
	sentBytes <- count
	// A server that ended its side before may have refused the request with a response that is
	// still to be read; without one, the read finds the end.
	if err != nil && !errors.Is(err, httpresponse.ErrIncomplete) {
		_ = c.conn.Close()
	}
	return Error.Wrap(err)
}

// readResponse forwards the response as events. It returns a failure unless the
// response is complete according to its framing.
func (c *Connection) readResponse(exchange Exchange) (time.Duration, bool, *Failure) {
	request := &http.Request{Method: exchange.Attempt.Method}
	response, err := c.conn.ReadHead(c.reader, request)
	if err != nil {
		return 0, false, &Failure{Phase: Sent, Err: Error.Wrap(err)}
	}
	defer func() { _ = response.Body.Close() }()
	head := c.protocol.Decode(response)
	if err := checkOwner(&head, exchange.Attempt.RequestID, c.reused); err != nil {
		return 0, false, &Failure{Phase: Sent, Err: Error.Wrap(err)}
	}
	c.reused = true
	if !sendEvent(exchange, Event{Head: &head}) {
		return 0, false, &Failure{Phase: Answering, Err: context.Cause(exchange.Context)}
	}
	if err := c.readBody(exchange, response.Body); err != nil {
		return 0, false, &Failure{Phase: Answering, Err: Error.Wrap(err)}
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	idleTimeout := head.IdleTimeout
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout
	}
	return idleTimeout, framed && !response.Close && c.reader.Buffered() == 0, nil
}

// checkOwner returns ErrUnrelated unless the response is that to the request. Servers
// echo the id of a request, and a faulty one may send an earlier response once more. A
// response without an id may come from a process that is no server of the service,
// since an entry of another writer can name any address. Only a refusal may lack the
// id, as the first response on a connection: a server may refuse a request before it
// has read its head, and no earlier request can have caused it.
func checkOwner(head *ResponseHead, requestID string, reused bool) error {
	switch {
	case head.RequestID == requestID && requestID != "", head.RequestID == "" && head.NotRun && !reused:
		return nil
	case head.RequestID == "":
		return fmt.Errorf("%w: it carries no id", ErrUnrelated)
	}
	return fmt.Errorf("%w: it carries the id of another request, %s", ErrUnrelated, head.RequestID)
}

func (c *Connection) readBody(exchange Exchange, body io.Reader) error {
	buffer := make([]byte, maxChunkBytes)
	for {
		count, err := body.Read(buffer)
		if count > 0 && !sendEvent(exchange, Event{Data: bytes.Clone(buffer[:count])}) {
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

// sendEvent delivers an event and returns false if the exchange's context ended.
func sendEvent(exchange Exchange, event Event) bool {
	select {
	case exchange.Events <- event:
		return true
	case <-exchange.Context.Done():
		return false
	}
}
