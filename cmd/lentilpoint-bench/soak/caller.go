package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
)

// requestKind is the kind of a caller's request.
type requestKind int

// The kinds of request.
const (
	// kindStream reads a stream of events from an engine.
	kindStream requestKind = iota
	// kindOrder sends a request that must not run twice.
	kindOrder
	// kindCheck sends a request that may run twice.
	kindCheck
	// kindExtra sends a request on the route that not all configurations have.
	kindExtra
)

var pathByKind = map[requestKind]string{kindStream: "/advice/1", kindOrder: "/order/1", kindCheck: "/stock/1", kindExtra: "/extra/1"}

// ending is how a request ended, as its caller saw it.
type ending int

const (
	// endedWhole means that the answer is complete.
	endedWhole ending = iota
	// endedUnsent means that the connection was not made, or ended before the last
	// byte of the request was written, and no answer came.
	endedUnsent
	// endedUnanswered means that no byte of an answer came.
	endedUnanswered
	// endedCut means that the answer began and did not become complete.
	endedCut
	// endedLeft means that the caller closed the connection itself.
	endedLeft
)

// outcome is one request and the caller's view of its result.
type outcome struct {
	id   string
	kind requestKind
	body string
	key  string
	// resumedAfter is the id of the last event before a resumed stream; 0 means a new
	// request.
	resumedAfter int
	// host is the number of the host, connection that of the caller's connection to it.
	host       int
	connection int
	// kept reports whether the connection had served an earlier request.
	kept bool
	// pipelined reports whether the request was sent before the answer to the one before
	// was complete.
	pipelined bool
	// afterClose reports whether the answer to the request before, on the same
	// connection, was cut or announced that the connection closes.
	afterClose bool
	// slow reports whether the body was sent in pieces with pauses.
	slow bool

	startedAt time.Time
	// sentAt is when the last byte was written.
	sentAt  time.Time
	endedAt time.Time

	ending ending
	status int
	answer string
	// err is set when the answer broke off or none arrived.
	err error
}

const (
	// meanCallerPause is the mean time between a result and the caller's next request.
	meanCallerPause = 40 * time.Millisecond
	// callerTimeout is how long a caller waits without any byte, and in all for one
	// answer. It is longer than the longest time-out of the configurations.
	callerTimeout = 8 * time.Second
	// maxConnections is the number of connections that a caller keeps.
	maxConnections = 4
)

// caller is a task that sends requests. It owns its connections and keeps them until a
// host ends them.
type caller struct {
	number         int
	random         *rand.Rand
	frontAddresses []string

	connections []*callerConnection
	dialled     int
	sent        int
	last        outcome
}

// run sends requests until the context ends. It resumes a stream that broke off after
// at least one event.
func (c *caller) run(ctx context.Context, results chan<- outcome) {
	defer func() {
		for _, connection := range c.connections {
			connection.close()
		}
	}()
	for ctx.Err() == nil {
		for _, result := range c.sendNext() {
			c.last = result
			select {
			case results <- result:
			case <-time.After(callerTimeout):
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.random.Int64N(int64(2 * meanCallerPause)))):
		}
	}
}

// sendNext sends one request, or several of them on one connection before the first
// answer is read.
func (c *caller) sendNext() []outcome {
	first := c.drawRequest()
	count := 1
	if c.random.IntN(6) == 0 {
		count = 2 + c.random.IntN(2)
	}
	connection, err := c.pickConnection(first.resumedAfter > 0)
	if err != nil {
		first.startedAt, first.endedAt = time.Now(), time.Now()
		first.ending, first.err = endedUnsent, err
		return []outcome{first}
	}
	requests := []outcome{first}
	for len(requests) < count {
		next := c.drawRequest()
		next.resumedAfter, next.pipelined = 0, true
		requests = append(requests, next)
	}
	if !connection.exchange(c.random, requests) {
		c.forget(connection)
	}
	return requests
}

// drawRequest draws the next request at random.
func (c *caller) drawRequest() outcome {
	request := outcome{id: fmt.Sprintf("c%d-%d", c.number, c.sent), kind: requestKind(c.random.IntN(3)), key: memberKey}
	c.sent++
	if c.random.IntN(20) == 0 {
		request.kind = kindExtra
	}
	if c.random.IntN(20) == 0 {
		request.key = guestKey
	}
	if request.kind == kindStream || request.kind == kindOrder {
		request.body = "body of " + request.id
	}
	if after := c.resumeAfter(); after > 0 {
		request.kind, request.body, request.key, request.resumedAfter = kindStream, c.last.body, memberKey, after
		c.last = outcome{}
	}
	return request
}

// resumeAfter returns the id of the event after which the caller resumes its last
// request, or 0 if it does not resume it. It resumes some streams of which it has all
// events, as after a connection that broke before the end of the answer.
func (c *caller) resumeAfter() int {
	if c.last.kind != kindStream {
		return 0
	}
	after := c.last.lastCompleteEvent()
	if c.last.ending == endedWhole && (after < streamEvents || c.random.IntN(4) > 0) {
		return 0
	}
	return after
}

// lastCompleteEvent returns the id of the last event that arrived completely.
func (o outcome) lastCompleteEvent() int {
	last := o.resumedAfter
	for _, event := range strings.SplitAfter(o.answer, "\n\n") {
		var id int
		if _, err := fmt.Sscanf(event, "id: %d\n", &id); err == nil && strings.HasSuffix(event, "\n\n") {
			last = id
		}
	}
	return last
}

// pickConnection returns one of the connections kept, or a new one to a random host.
func (c *caller) pickConnection(fresh bool) (*callerConnection, error) {
	if len(c.connections) > 0 && !fresh && (len(c.connections) >= maxConnections || c.random.IntN(4) > 0) {
		return c.connections[c.random.IntN(len(c.connections))], nil
	}
	host := c.random.IntN(len(c.frontAddresses))
	c.dialled++
	connection, err := dialHost(c.frontAddresses[host], host, c.dialled)
	if err == nil {
		c.connections = append(c.connections, connection)
	}
	return connection, err
}

func (c *caller) forget(connection *callerConnection) {
	connection.close()
	for i, kept := range c.connections {
		if kept == connection {
			c.connections = append(c.connections[:i], c.connections[i+1:]...)
			return
		}
	}
}

// expectedStream returns the events of a complete stream after the given event id.
func expectedStream(body string, after int) string {
	var stream strings.Builder
	for number := after + 1; number <= streamEvents; number++ {
		fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", number, standin.EventData(body, number))
	}
	return stream.String()
}
