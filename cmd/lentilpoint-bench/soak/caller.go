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

// kind is what a caller asks for.
type kind int

// The kinds of request.
const (
	kindStream kind = iota
	kindOrder
	kindCheck
)

var paths = map[kind]string{kindStream: "/advice/1", kindOrder: "/order/1", kindCheck: "/stock/1"}

// outcome is what a caller saw of one request.
type outcome struct {
	id   string
	kind kind
	body string
	// after is the last event that the caller had of a stream that it resumes.
	after  int
	status int
	answer string
	// err tells that the answer broke off or that there was none.
	err error
}

const (
	callerPause   = 40 * time.Millisecond
	callerTimeout = 8 * time.Second
)

// caller is a task that sends requests one after another and owns its
// connections, which it keeps until they end.
type caller struct {
	number int
	random *rand.Rand
	fronts []string
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context, results chan<- outcome) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: callerTimeout}
	defer client.CloseIdleConnections()
	var last outcome
	for sent := 0; ctx.Err() == nil; sent++ {
		next := c.next(sent)
		if resumed := last.events(); last.kind == kindStream && last.err != nil && resumed > 0 {
			next.kind, next.body, next.after = kindStream, last.body, resumed
		}
		result := c.send(client, next)
		last = result
		select {
		case results <- result:
		case <-time.After(callerTimeout):
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.random.Int64N(int64(2 * callerPause)))):
		}
	}
}

// next draws the next request.
func (c *caller) next(sent int) outcome {
	drawn := outcome{id: fmt.Sprintf("c%d-%d", c.number, sent), kind: kind(c.random.IntN(3))}
	if drawn.kind != kindCheck {
		drawn.body = "body of " + drawn.id
	}
	return drawn
}

// events returns the id of the last whole event that the caller has.
func (o outcome) events() int {
	last := o.after
	for _, event := range strings.SplitAfter(o.answer, "\n\n") {
		var id int
		if _, err := fmt.Sscanf(event, "id: %d\n", &id); err == nil && strings.HasSuffix(event, "\n\n") {
			last = id
		}
	}
	return last
}

// send sends one request. Requests that began before the end are finished.
func (c *caller) send(client *http.Client, got outcome) outcome {
	method := http.MethodPost
	if got.kind == kindCheck {
		method = http.MethodGet
	}
	request, err := http.NewRequest(method, "http://"+c.fronts[c.random.IntN(len(c.fronts))]+paths[got.kind], strings.NewReader(got.body))
	if err != nil {
		got.err = err
		return got
	}
	// Without GetBody and with a body the transport sends nothing twice by itself.
	request.GetBody = nil
	request.Host = "site.example"
	request.Header.Set(platform.HeaderRequestID, got.id)
	request.Header.Set(platform.HeaderKey, "key")
	if got.kind == kindStream {
		// The prompt is that of the body, which a resumed stream repeats.
		request.Header.Set(platform.HeaderPrompt, "aa:20,"+strings.ReplaceAll(got.body, " ", "-")+":100")
	}
	if got.after > 0 {
		request.Header.Set(platform.HeaderLastEvent, strconv.Itoa(got.after))
	}
	response, err := client.Do(request)
	if err != nil {
		got.err = err
		return got
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	got.status, got.answer, got.err = response.StatusCode, string(content), err
	return got
}

// streamFrom is the rest of a complete stream after an event.
func streamFrom(body string, after int) string {
	var whole strings.Builder
	for number := after + 1; number <= streamEvents; number++ {
		fmt.Fprintf(&whole, "id: %d\ndata: %s\n\n", number, standin.EventData(body, number))
	}
	return whole.String()
}
