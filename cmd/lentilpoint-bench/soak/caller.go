package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
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
	id     string
	kind   kind
	body   string
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
	for sent := 0; ctx.Err() == nil; sent++ {
		result := c.send(client, sent)
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

// send sends one request. Requests that began before the end are finished.
func (c *caller) send(client *http.Client, sent int) outcome {
	got := outcome{id: fmt.Sprintf("c%d-%d", c.number, sent), kind: kind(c.random.IntN(3))}
	method := http.MethodPost
	got.body = "body of " + got.id
	if got.kind == kindCheck {
		method, got.body = http.MethodGet, ""
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

// wholeStream is the body of a complete stream.
func wholeStream(body string) string {
	var whole strings.Builder
	for number := 1; number <= streamEvents; number++ {
		fmt.Fprintf(&whole, "id: %d\ndata: %s\n\n", number, standin.EventData(body, number))
	}
	return whole.String()
}
