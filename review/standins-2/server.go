package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in of one backend server: one process with an id and an address.
type server struct {
	id, service, zone, version, address string
	born                                int64
	slots                               int
	listener                            net.Listener
	http                                *http.Server
	// handle runs a request that the server accepts.
	handle  func(server *server, writer http.ResponseWriter, request *http.Request)
	leaving atomic.Bool
	// runs is set for an engine.
	runs  *runs
	mutex sync.Mutex
	open  map[net.Conn]bool
}

// startServer starts a server on the address, or on a free one if it is empty.
func startServer(id, service, zone, address string, slots int, handle func(*server, http.ResponseWriter, *http.Request)) (*server, error) {
	if address == "" {
		address = "127.0.20.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, zone: zone, version: "v1", address: listener.Addr().String(), born: time.Now().UnixMilli(), slots: slots,
		listener: listener, handle: handle, open: map[net.Conn]bool{},
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ConnState: s.trackConn}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

func (s *server) trackConn(conn net.Conn, state http.ConnState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch state {
	case http.StateNew:
		s.open[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.open, conn)
	}
}

// entry is the registration that the server writes.
func (s *server) entry(sequence int) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots, "state": "ready",
		"cold_remaining_ms": 0, "call_seq": sequence, "born": s.born,
	}
}

// serve answers health checks and requests as PROTOCOL.md says.
func (s *server) serve(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("X-Lentilpoint-Instance-Id", s.id)
	if s.leaving.Load() {
		writer.Header().Set("Server-Leaving", "1")
		writer.Header().Set("Connection", "close")
	}
	if request.URL.Path == "/health" {
		if s.leaving.Load() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if request.URL.Path == "/-/report" && s.runs != nil {
		s.runs.report(writer)
		return
	}
	id := request.Header.Get("X-Lentilpoint-Attempt-Id")
	writer.Header().Set("X-Lentilpoint-Attempt-Id", id)
	switch {
	case id == "":
		writer.Header().Set("X-Lentilpoint-Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
	case request.Header.Get("X-Lentilpoint-Expect-Instance") != "" && request.Header.Get("X-Lentilpoint-Expect-Instance") != s.id:
		writer.Header().Set("X-Lentilpoint-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
	default:
		_, _ = io.Copy(io.Discard, request.Body)
		s.handle(s, writer, request)
	}
}

// answer sends a complete answer with the server's signature.
func (s *server) answer(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("X-Lentilpoint-Response-Seal", "seal."+request.Header.Get("X-Lentilpoint-Attempt-Id"))
	writer.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(writer, "answer of %s to %s\n", s.id, request.Header.Get("X-Lentilpoint-Attempt-Id"))
}

// crash ends the server as the end of its process does: its port refuses connections and its
// open ones are reset.
func (s *server) crash() {
	_ = s.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for conn := range s.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// registry writes the heartbeats of servers into the store.
type registry struct {
	store   *store
	mutex   sync.Mutex
	servers map[string]*server
}

func newRegistry(s *store) *registry {
	r := &registry{store: s, servers: map[string]*server{}}
	go func() {
		for sequence := 2; ; sequence++ {
			time.Sleep(1200 * time.Millisecond)
			r.mutex.Lock()
			for id, known := range r.servers {
				r.store.put("servers", id, known.entry(sequence))
			}
			r.mutex.Unlock()
		}
	}()
	return r
}

func (r *registry) add(s *server) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.servers[s.id] = s
	r.store.put("servers", s.id, s.entry(1))
}

// remove ends the heartbeats of a server and drops its entry.
func (r *registry) remove(id string) uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.servers, id)
	return r.store.remove("servers", id)
}

// silence ends the heartbeats of a server whose entry stays until it expires.
func (r *registry) silence(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.servers, id)
}
