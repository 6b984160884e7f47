package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store as PROTOCOL.md writes it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in of the platform's metadata store: linearizable rows with one version
// counter, conditional transactions and a change feed that keeps its whole history.
type store struct {
	mutex   sync.Mutex
	rows    map[rowKey]row
	log     []row
	version uint64
	changed chan struct{}
	started time.Time
	address string
	server  *http.Server
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{rows: map[rowKey]row{}, version: 100, changed: make(chan struct{}), started: time.Now(), address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a row as the operator or a server does, and returns its version.
func (s *store) put(table, key string, value any) uint64 {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.apply([]row{{Table: table, Key: key, Value: content}}, nil)
}

// remove drops a row.
func (s *store) remove(table, key string) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.apply(nil, []row{{Table: table, Key: key}})
}

func (s *store) apply(puts, removed []row) uint64 {
	s.version++
	for _, changed := range puts {
		changed.Version, changed.Removed = s.version, false
		s.rows[rowKey{changed.Table, changed.Part, changed.Key}] = changed
		s.log = append(s.log, changed)
	}
	for _, changed := range removed {
		key := rowKey{changed.Table, changed.Part, changed.Key}
		if _, found := s.rows[key]; !found {
			continue
		}
		delete(s.rows, key)
		s.log = append(s.log, row{Table: changed.Table, Part: changed.Part, Key: changed.Key, Version: s.version, Removed: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

func (s *store) nowMS() int64 { return time.Since(s.started).Milliseconds() + 10_000 }

func reply(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func (s *store) transact(writer http.ResponseWriter, request *http.Request) {
	var call struct {
		Expected []row `json:"expected_rev"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(request.Body).Decode(&call); err != nil {
		reply(writer, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, changed := range slices.Concat(call.Puts, call.Remove) {
		if changed.Table == "op" || changed.Table == "servers" {
			reply(writer, http.StatusForbidden, map[string]any{})
			return
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	present, holds := []row{}, true
	for _, expected := range call.Expected {
		known, found := s.rows[rowKey{expected.Table, expected.Part, expected.Key}]
		if found {
			present = append(present, known)
		}
		holds = holds && known.Version == expected.Version
	}
	if !holds {
		reply(writer, http.StatusPreconditionFailed, map[string]any{"rows": present, "ver": s.version, "now_ms": s.nowMS()})
		return
	}
	version := s.apply(call.Puts, call.Remove)
	reply(writer, http.StatusOK, map[string]any{"ver": version, "now_ms": s.nowMS()})
}

func (s *store) get(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rows := []row{}
	for key, known := range s.rows {
		if key.table == query.Get("table") && key.part == query.Get("part") && key.key >= query.Get("from") && (query.Get("target") == "" || key.key < query.Get("target")) {
			rows = append(rows, known)
		}
	}
	slices.SortFunc(rows, func(a, b row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	truncated := len(rows) > limit
	reply(writer, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "truncated": truncated, "ver": s.version, "now_ms": s.nowMS()})
}

func (s *store) feed(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.After(time.Duration(min(waitMS, 30_000)) * time.Millisecond)
	for {
		s.mutex.Lock()
		rows := []row{}
		for _, changed := range s.log {
			if changed.Table == query.Get("table") && changed.Version > after {
				rows = append(rows, changed)
			}
		}
		version, changed := s.version, s.changed
		s.mutex.Unlock()
		if len(rows) > 0 {
			reply(writer, http.StatusOK, map[string]any{"rows": rows, "ver": version, "now_ms": s.nowMS()})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(writer, http.StatusOK, map[string]any{"rows": rows, "ver": version, "now_ms": s.nowMS()})
			return
		case <-request.Context().Done():
			return
		}
	}
}
