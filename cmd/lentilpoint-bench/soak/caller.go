package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/platform"
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
)

var pathByKind = map[requestKind]string{kindStream: "/advice/1", kindOrder: "/order/1", kindCheck: "/stock/1"}

// outcome is one request and the caller's view of its result.
type outcome struct {
	id   string
	kind requestKind
	body string
	// resumedAfter is the id of the last event before a resumed stream; 0 means a new
	// request.
	resumedAfter int
	status       int
	answer       string
	// err is set when the answer broke off or none arrived.
	err error
}

const (
	// meanCallerPause is the mean time between a result and the caller's next request.
	meanCallerPause = 40 * time.Millisecond
	callerTimeout   = 8 * time.Second
)

// caller is a task that sends requests one after another. It owns its connections and
// reuses them until they end.
type caller struct {
	number         int
	random         *rand.Rand
	frontAddresses []string
}

// run sends requests until the context ends. It resumes a stream that broke off after
// at least one event.
func (c *caller) run(ctx context.Context, results chan<- outcome) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: callerTimeout}
	defer client.CloseIdleConnections()
	var last outcome
	for sent := 0; ctx.Err() == nil; sent++ {
		request := c.drawRequest(sent)
		if lastEvent := last.lastCompleteEvent(); last.kind == kindStream && last.err != nil && lastEvent > 0 {
			request.kind, request.body, request.resumedAfter = kindStream, last.body, lastEvent
		}
		result := c.send(client, request)
		last = result
		select {
		case results <- result:
		case <-time.After(callerTimeout):
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.random.Int64N(int64(2 * meanCallerPause)))):
		}
	}
}

// drawRequest draws the kind of the next request at random.
func (c *caller) drawRequest(sent int) outcome {
	request := outcome{id: fmt.Sprintf("c%d-%d", c.number, sent), kind: requestKind(c.random.IntN(3))}
	if request.kind != kindCheck {
		request.body = "body of " + request.id
	}
	return request
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

// send sends one request and waits for its result. The end of the soak does not cancel
// it.
func (c *caller) send(client *http.Client, result outcome) outcome {
	method := http.MethodPost
	if result.kind == kindCheck {
		method = http.MethodGet
	}
	request, err := http.NewRequest(method, "http://"+c.frontAddresses[c.random.IntN(len(c.frontAddresses))]+pathByKind[result.kind], strings.NewReader(result.body))
	if err != nil {
		result.err = err
		return result
	}
	// Without GetBody the transport does not retry a request that has a body.
	request.GetBody = nil
	request.Host = "site.example"
	request.Header.Set(platform.HeaderRequestID, result.id)
	request.Header.Set(platform.HeaderKey, "key")
	if result.kind == kindStream {
		// The prompt is derived from the body, so a resumed stream sends the same one.
		request.Header.Set(platform.HeaderPrompt, "aa:20,"+strings.ReplaceAll(result.body, " ", "-")+":100")
	}
	if result.resumedAfter > 0 {
		request.Header.Set(platform.HeaderLastEvent, strconv.Itoa(result.resumedAfter))
	}
	response, err := client.Do(request)
	if err != nil {
		result.err = err
		return result
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	result.status, result.answer, result.err = response.StatusCode, string(content), err
	return result
}

// expectedStream returns the events of a complete stream after the given event id.
func expectedStream(body string, after int) string {
	var stream strings.Builder
	for number := after + 1; number <= streamEvents; number++ {
		fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", number, standin.EventData(body, number))
	}
	return stream.String()
}
