package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is what is known of one client attempt on a kept connection.
type attempt struct {
	// kept is set if the connection had answered a request before.
	kept bool
	// begun is set when a sound server began to work on it, answered when the client had the
	// status of an answer.
	begun, answered bool
	failure         string
}

// book notes the attempts of ordinary callers.
type book struct {
	mutex    sync.Mutex
	attempts map[string]*attempt
	statuses map[int]int
}

func newBook() *book { return &book{attempts: map[string]*attempt{}, statuses: map[int]int{}} }

func (b *book) change(id string, change func(*attempt)) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.attempts[id] == nil {
		b.attempts[id] = &attempt{}
	}
	change(b.attempts[id])
}

// begun notes that a sound server works on the request.
func (b *book) begun(id string) { b.change(id, func(a *attempt) { a.begun = true }) }

// lost returns the requests of kept connections that were passed on to a sound server and
// whose connection ended without an answer.
func (b *book) lost() []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var ids []string
	for id, a := range b.attempts {
		if a.kept && a.begun && !a.answered && a.failure != "" {
			ids = append(ids, id+" ("+a.failure+")")
		}
	}
	return ids
}

// maxWritten is the number of answered attempts that a record has a line for.
const maxWritten = 600

// writeTo writes an attempt a line: what was sent, whether a server ran it, and its answer. Of
// the answered ones it writes the last.
func (b *book) writeTo(r *record) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for i, id := range slices.Sorted(maps.Keys(b.attempts)) {
		a := b.attempts[id]
		if a.answered && i < len(b.attempts)-maxWritten {
			continue
		}
		r.writeFile("sent %s, kept connection: %v, run by a sound server: %v, answered: %v, failure: %q", id, a.kept, a.begun, a.answered, a.failure)
	}
}

// call is one kind of request of a caller.
type call struct {
	prefix, method, path string
	body                 []byte
	limit                time.Duration
	header               http.Header
}

// keepCalling sends one request after the other on a kept connection until the stop.
func (b *book) keepCalling(front string, kind call, stopped *atomic.Bool) {
	transport := &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	for !stopped.Load() {
		id := newAttempt(kind.prefix)
		status, err := b.send(transport, front, kind, id)
		b.mutex.Lock()
		b.statuses[status]++
		b.mutex.Unlock()
		if err != nil || status != http.StatusOK {
			time.Sleep(300 * time.Millisecond)
		}
	}
}

func (b *book) send(transport *http.Transport, front string, kind call, id string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), kind.limit)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		b.change(id, func(a *attempt) { a.kept = info.Reused })
	}})
	// The body cannot be sent again by the client library.
	request, err := http.NewRequestWithContext(ctx, kind.method, "http://"+front+kind.path+id, io.NopCloser(bytes.NewReader(kind.body)))
	if err != nil {
		return 0, err
	}
	request.ContentLength = int64(len(kind.body))
	request.Host = "desk.example"
	request.Header = kind.header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	request.Header.Set("X-Lentilpoint-Attempt-Id", id)
	request.Header.Set("X-Lentilpoint-Deadline-Ms", fmt.Sprint(kind.limit.Milliseconds()))
	request.Header.Set("X-Api-Key", apiKey)
	response, err := transport.RoundTrip(request)
	if err == nil {
		b.change(id, func(a *attempt) { a.answered = true })
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if err != nil {
		b.change(id, func(a *attempt) { a.failure = err.Error() })
		return 0, err
	}
	return response.StatusCode, nil
}
