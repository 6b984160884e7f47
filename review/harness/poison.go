package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// crashing is the content of the request that crashes servers.
	crashing = "order that crashes servers"
	// downTime is how long a crashed server is away.
	downTime = 2500 * time.Millisecond
)

// crash ends the server's process: its socket and all its connections close. It starts
// again some seconds later under the id that it had.
func (s *server) crash() {
	_ = s.http.Close()
	s.w.note("server %s crashes", s.id)
	time.AfterFunc(downTime, func() {
		listener, err := net.Listen("tcp", s.addr)
		must(err)
		s.mu.Lock()
		s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
		started := s.http
		s.mu.Unlock()
		s.born = time.Now()
		s.register("ready")
		go func() { _ = started.Serve(listener) }()
	})
}

// budgetSameID lets a request come again and again that crashes each server that begins to
// run it, where servers start again under the id that they had. It checks BUDGET.
func budgetSameID(w *world) []string {
	w.manifest(1, map[string][]string{"members": {"key-members"}})
	for _, zone := range zones {
		s := w.startServer("i-"+zone, service, zone, "v1", 30*time.Millisecond)
		s.mu.Lock()
		s.crashes = w.trouble
		s.mu.Unlock()
	}
	w.addRelays("jkt", "jkt", "bdg", "smg", "sby")
	ctx, cancel := context.WithCancel(context.Background())
	done := w.load(ctx, 2, path, "key-members")
	time.Sleep(3 * time.Second)
	// The platform forwards a client to the machines of its zone.
	for i := range 18 {
		c := w.newClient(w.relays[i%2])
		a := c.sendBody(path, "key-members", crashing, 1500*time.Millisecond)
		w.note("the request that crashes servers is sent to %s: answer %d", a.relay, a.status)
		time.Sleep(5 * time.Second)
	}
	cancel()
	done.Wait()
	return w.checkCrashes()
}

// checkCrashes returns the requests that crash servers and reach one later than the bound
// after the third crash.
func (w *world) checkCrashes() []string {
	var reached []time.Time
	for _, a := range w.allArrivals() {
		if a.crash {
			reached = append(reached, a.at)
		}
	}
	lost := 0
	for _, a := range w.allAnswers() {
		if a.err != nil || a.status >= 500 {
			lost++
		}
	}
	w.note("the request reached servers %d times; %d requests, with those, were not served", len(reached), lost)
	if len(reached) < 3 {
		return nil
	}
	late := 0
	for _, at := range reached {
		if at.Sub(reached[2]) > contact {
			late++
		}
	}
	if late > 3 {
		return []string{fmt.Sprintf("BUDGET: a request that crashes servers reached them %d times later than %d ms after the third crash; three retries are allowed; %d requests in all were not served", late, contact.Milliseconds(), lost)}
	}
	return nil
}
