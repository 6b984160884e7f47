package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastAttempt atomic.Int64

// newAttempt returns the id of a further client attempt.
func newAttempt(prefix string) string {
	return fmt.Sprintf("%s%08x", prefix, lastAttempt.Add(1))
}

const apiKey = "key-of-tenant-one"

// outcome is what a client saw of one attempt.
type outcome struct {
	status int
	header http.Header
	body   string
	err    error
}

func (o outcome) String() string {
	if o.err != nil {
		return "connection ended: " + o.err.Error()
	}
	return fmt.Sprintf("status %d, seal %q, retry-after %q", o.status, o.header.Get("X-Lentilpoint-Response-Seal"), o.header.Get("Retry-After"))
}

// send makes one client attempt on a new connection to the front address.
func send(front, method, path, attempt string, body []byte, limit time.Duration, extra http.Header) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, bytes.NewReader(body))
	if err != nil {
		return outcome{err: err}
	}
	request.Host = "desk.example"
	for name, values := range extra {
		request.Header[name] = values
	}
	request.Header.Set("X-Lentilpoint-Attempt-Id", attempt)
	request.Header.Set("X-Lentilpoint-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	request.Header.Set("X-Api-Key", apiKey)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return outcome{status: response.StatusCode, header: response.Header, body: string(content), err: err}
}
