package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lentilpoint/lentilpoint/platform"
)

// callerConnection is a caller's connection to a host. It is written and read without
// net/http's client, so that the caller knows what happened to each request.
type callerConnection struct {
	conn   net.Conn
	reader *bufio.Reader
	host   int
	number int
	// served counts the answers so far.
	served int
}

func dialHost(address string, host, number int) (*callerConnection, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &callerConnection{conn: conn, reader: bufio.NewReader(conn), host: host, number: number}, nil
}

func (c *callerConnection) close() { _ = c.conn.Close() }

// exchange sends the requests, one after another, and then reads their answers. It fills
// in the results and reports whether the connection can be kept.
func (c *callerConnection) exchange(random *rand.Rand, requests []outcome) bool {
	for i := range requests {
		requests[i].host, requests[i].connection, requests[i].kept = c.host, c.number, c.served > 0 || i > 0
		c.send(random, &requests[i], i == len(requests)-1)
	}
	closing, lost, left := false, false, false
	for i := range requests {
		o := &requests[i]
		o.afterClose = closing || lost
		switch {
		case left:
			o.ending, o.endedAt = endedLeft, time.Now()
		case closing || lost:
			o.endedAt, o.err = time.Now(), Error.New("the connection ended with the answer before")
			o.ending = endedUnanswered
		case o.kind == kindStream && random.IntN(25) == 0:
			c.readAndLeave(random, o)
			left = true
		default:
			closing = c.receive(o)
			lost = o.ending != endedWhole
		}
		if o.ending == endedUnanswered && o.sentAt.IsZero() {
			o.ending = endedUnsent
		}
	}
	return !closing && !lost && !left
}

// send writes one request, the last of an exchange or not. After a failed write sentAt stays zero; an answer may come
// nevertheless.
func (c *callerConnection) send(random *rand.Rand, o *outcome, last bool) {
	o.startedAt = time.Now()
	method := http.MethodPost
	if o.kind == kindCheck || o.kind == kindExtra {
		method = http.MethodGet
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: site.example\r\n%s: %s\r\n%s: %s\r\n", method, pathByKind[o.kind], platform.HeaderRequestID, o.id, platform.HeaderKey, o.key)
	if o.kind == kindStream {
		// The prompt is derived from the body, so a resumed stream sends the same one.
		fmt.Fprintf(&head, "%s: aa:20,%s:100\r\n", platform.HeaderPrompt, strings.ReplaceAll(o.body, " ", "-"))
	}
	if o.resumedAfter > 0 {
		fmt.Fprintf(&head, "%s: %d\r\n", platform.HeaderLastEvent, o.resumedAfter)
	}
	if random.IntN(3) == 0 {
		fmt.Fprintf(&head, "%s: %d\r\n", platform.HeaderDeadline, minTimeoutMS+random.IntN(4000))
	}
	pieces := []string{o.body}
	if o.body != "" && random.IntN(5) == 0 {
		o.slow = true
		first, second := random.IntN(len(o.body)), random.IntN(len(o.body))
		first, second = min(first, second), max(first, second)
		pieces = []string{o.body[:first], o.body[first:second], o.body[second:]}
	}
	if o.slow && random.IntN(2) == 0 {
		// The caller does not wait for the interim response, as callers with a short
		// patience do.
		head.WriteString("Expect: 100-continue\r\n")
	}
	if last && random.IntN(15) == 0 {
		head.WriteString("Connection: close\r\n")
	}
	chunked := o.body != "" && random.IntN(3) == 0
	switch {
	case chunked:
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	case method == http.MethodPost:
		head.WriteString("Content-Length: " + strconv.Itoa(len(o.body)) + "\r\n\r\n")
	default:
		head.WriteString("\r\n")
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(callerTimeout))
	for i, piece := range pieces {
		if chunked && piece != "" {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if chunked && i == len(pieces)-1 {
			piece += "0\r\n\r\n"
		}
		head.WriteString(piece)
		if o.slow || i == len(pieces)-1 {
			if _, err := c.conn.Write(head.Bytes()); err != nil {
				o.err = Error.Wrap(err)
				return
			}
			head.Reset()
		}
		if i < len(pieces)-1 {
			time.Sleep(time.Duration(random.Int64N(int64(maxBodyPause))))
		}
	}
	o.sentAt = time.Now()
}

// maxBodyPause is the longest pause between two pieces of a slow body.
const maxBodyPause = 400 * time.Millisecond

// receive reads one answer and reports whether the host announced that it closes the
// connection.
func (c *callerConnection) receive(o *outcome) (closing bool) {
	defer func() { o.endedAt = time.Now() }()
	_ = c.conn.SetReadDeadline(time.Now().Add(callerTimeout))
	if _, err := c.reader.Peek(1); err != nil {
		o.ending, o.err = endedUnanswered, Error.Wrap(err)
		return false
	}
	interim, err := c.skipInterim()
	if err != nil {
		// An interim response is no part of an answer.
		o.ending, o.err = endedCut, Error.Wrap(err)
		if interim {
			o.ending = endedUnanswered
		}
		return false
	}
	response, err := c.readResponse()
	if err != nil {
		o.ending, o.err = endedCut, Error.Wrap(err)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	o.status, o.answer = response.StatusCode, string(content)
	if err != nil {
		o.ending, o.err = endedCut, Error.Wrap(err)
		return false
	}
	c.served++
	o.ending, o.err = endedWhole, nil
	return response.Close
}

// interimResponse is the whole interim response of hosts, which invites a body.
const interimResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// skipInterim reads past an interim response until the first byte of the answer. It
// reports whether there was an interim response.
func (c *callerConnection) skipInterim() (bool, error) {
	const statusEnd = len("HTTP/1.1 100")
	if head, err := c.reader.Peek(statusEnd); err != nil || string(head) != interimResponse[:statusEnd] {
		return false, err
	}
	if _, err := c.reader.Discard(len(interimResponse)); err != nil {
		return true, err
	}
	_, err := c.reader.Peek(1)
	return true, err
}

// readResponse reads the head of an answer.
func (c *callerConnection) readResponse() (*http.Response, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		// Without a length the end of the connection would make each answer look complete.
		return response, Error.New("the answer has neither a length nor chunks")
	}
	return response, err
}

// readAndLeave reads a part of a stream and closes the connection, as a caller does whose
// link breaks.
func (c *callerConnection) readAndLeave(random *rand.Rand, o *outcome) {
	defer func() { o.endedAt = time.Now() }()
	defer c.close()
	o.ending = endedLeft
	_ = c.conn.SetReadDeadline(time.Now().Add(callerTimeout))
	if _, err := c.skipInterim(); err != nil {
		o.err = Error.Wrap(err)
		return
	}
	response, err := c.readResponse()
	if err != nil {
		o.err = Error.Wrap(err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	var answer strings.Builder
	events := bufio.NewReader(response.Body)
	for range 3 * random.IntN(streamEvents) {
		line, err := events.ReadString('\n')
		answer.WriteString(line)
		if err != nil {
			break
		}
	}
	// A part of an answer has no status that the checks could use.
	o.answer = answer.String()
}
