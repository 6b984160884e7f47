package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is one request that reached a server.
type arrival struct {
	server, version, request, tenant string
	at                               time.Time
	ran, slow, crash                 bool
	status                           int
}

// slowFactor is how many times as long slow answers of a bad version take.
const slowFactor = 4

// server is a stand-in of a plain server, as PROTOCOL.md describes it.
type server struct {
	w                          *world
	id, service, zone, version string
	addr                       string
	work                       time.Duration
	born                       time.Time
	listener                   net.Listener
	http                       *http.Server

	mu       sync.Mutex
	leaving  bool
	requests int
	// failEach makes each failEach-th request that runs end with a failure; 0 for none.
	failEach int
	// slowEach makes each slowEach-th request that runs take slowFactor times as long; 0 for none.
	slowEach int
	// crashes is set if a request with the crashing content crashes the server.
	crashes bool
}

func (w *world) startServer(id, service, zone, version string, work time.Duration) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &server{w: w, id: id, service: service, zone: zone, version: version, addr: listener.Addr().String(), work: work, listener: listener, born: time.Now()}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(listener) }()
	s.register("ready")
	return s
}

func (s *server) register(state string) time.Time {
	at := s.w.store.put("servers", s.id, map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": s.version, "slots": 6, "state": state,
		"cold_remaining_ms": 0, "call_seq": 0, "born": s.born.UnixMilli(),
	})
	s.w.note("server %s (%s %s) reports %s, acked by the store", s.id, s.service, s.version, state)
	return at
}

// drain reports draining, serves on and ends.
func (s *server) drain(serve time.Duration) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.register("draining")
	time.Sleep(serve)
	s.stop()
}

// stop ends the server at once.
func (s *server) stop() {
	_ = s.http.Close()
	s.w.store.remove("servers", s.id)
	s.w.note("server %s has ended", s.id)
}

func (s *server) setLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request := r.Header.Get("X-Lentilpoint-Attempt-Id")
	a := arrival{server: s.id, version: s.version, request: request, tenant: r.Header.Get("X-Lentilpoint-Tenant"), at: time.Now()}
	w.Header().Set("X-Lentilpoint-Attempt-Id", request)
	s.mu.Lock()
	if s.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		s.mu.Unlock()
		w.Header().Set("X-Lentilpoint-Instance-Id", s.id)
		return
	}
	if expected := r.Header.Get("X-Lentilpoint-Expect-Instance"); expected != "" && expected != s.id {
		s.mu.Unlock()
		w.Header().Set("X-Lentilpoint-Instance-Id", s.id)
		a.status = http.StatusMisdirectedRequest
		s.w.arrived(a)
		w.WriteHeader(a.status)
		return
	}
	s.requests++
	failed := s.failEach > 0 && s.requests%s.failEach == 0
	work := s.work
	if s.slowEach > 0 && s.requests%s.slowEach == 0 {
		work *= slowFactor
		a.slow = true
	}
	s.mu.Unlock()
	a.ran, a.status = true, http.StatusOK
	if s.crashes && string(body) == crashing {
		a.crash, a.status = true, 0
		s.w.arrived(a)
		s.crash()
		return
	}
	if failed {
		a.status = http.StatusInternalServerError
	}
	s.w.arrived(a)
	time.Sleep(work)
	w.Header().Set("X-Lentilpoint-Response-Seal", "seal."+s.id)
	w.WriteHeader(a.status)
	_, _ = fmt.Fprintf(w, "%s from %s", request, s.version)
}
