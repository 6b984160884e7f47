package main

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store, in the form of PROTOCOL.md.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store is a stand-in of the platform's store.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	changes []row
	ver     uint64
	wake    chan struct{}
	started time.Time
	// onWrite is called without the lock after each write of a row by a relay.
	onWrite func(row)
}

func newStore() *store {
	return &store{rows: map[string]row{}, wake: make(chan struct{}), started: time.Now()}
}

// put writes a row as the operator or a server and returns the time of the ack.
func (s *store) put(table, key string, value any) time.Time {
	content, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Value: content})
	return time.Now()
}

func (s *store) remove(table, key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Removed: true})
	return time.Now()
}

func (s *store) get(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[row{Table: table, Key: key}.id()].Value
}

func (s *store) write(rows ...row) {
	s.ver++
	for _, r := range rows {
		r.Ver = s.ver
		s.changes = append(s.changes, r)
		if r.Removed {
			delete(s.rows, r.id())
		} else {
			s.rows[r.id()] = r
		}
	}
	close(s.wake)
	s.wake = make(chan struct{})
}

// linkState is the state of the link between one relay and the store.
type linkState int

const (
	linkUp linkState = iota
	// linkSilent means that nothing passes: calls get no answer.
	linkSilent
	// linkReset means that connections are reset.
	linkReset
)

// link is the address under which one relay reaches the store.
type link struct {
	store *store
	addr  string
	mu    sync.Mutex
	state linkState
	polls map[string]time.Time
	ended map[string]time.Time
	// heal is closed when the state leaves linkSilent.
	heal chan struct{}
}

func (s *store) newLink() *link {
	l := &link{store: s, polls: map[string]time.Time{}, ended: map[string]time.Time{}, heal: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	l.addr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", l.guard(l.serveRows))
	mux.HandleFunc("GET /-/rows-feed", l.guard(l.serveFeed))
	mux.HandleFunc("POST /-/rows-tx", l.guard(l.serveTx))
	go func() { _ = http.Serve(listener, mux) }()
	return l
}

func (l *link) set(state linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	if state != linkSilent {
		close(l.heal)
		l.heal = make(chan struct{})
	}
}

// lastPoll returns when the relay last began to read the feed of a table, or the zero
// time, and when the store last answered such a call.
func (l *link) lastPoll(table string) (began, ended time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.polls[table], l.ended[table]
}

// pass waits while the link is silent, and ends the call if it is cut.
func (l *link) pass(w http.ResponseWriter, r *http.Request) {
	for {
		l.mu.Lock()
		state, heal := l.state, l.heal
		l.mu.Unlock()
		switch state {
		case linkUp:
			return
		case linkReset:
			if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
				if tcp, ok := conn.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
				_ = conn.Close()
			}
			panic(http.ErrAbortHandler)
		}
		select {
		case <-heal:
			// What was under way during the cut is lost.
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (l *link) guard(serve func(w http.ResponseWriter, r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		l.pass(w, r)
		serve(w, r)
	}
}

type answer struct {
	Rows      []row  `json:"rows"`
	Truncated bool   `json:"truncated"`
	Ver       uint64 `json:"ver"`
	NowMS     int64  `json:"now_ms"`
}

func (l *link) reply(w http.ResponseWriter, r *http.Request, status int, a answer) {
	l.pass(w, r)
	if a.Rows == nil {
		a.Rows = []row{}
	}
	a.NowMS = time.Since(l.store.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (l *link) serveRows(w http.ResponseWriter, r *http.Request) {
	q, s := r.URL.Query(), l.store
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	a := answer{Ver: s.ver}
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("target") == "" || x.Key < q.Get("target")) {
			a.Rows = append(a.Rows, x)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(a.Rows, func(x, y row) int { return cmp.Compare(x.Key, y.Key) })
	if limit, err := strconv.Atoi(q.Get("limit")); err == nil && len(a.Rows) > limit {
		a.Rows, a.Truncated = a.Rows[:limit], true
	}
	l.reply(w, r, http.StatusOK, a)
}

func (l *link) serveFeed(w http.ResponseWriter, r *http.Request) {
	q, s := r.URL.Query(), l.store
	table := q.Get("table")
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	l.mu.Lock()
	l.polls[table] = time.Now()
	l.mu.Unlock()
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := wait <= 0; ; {
		s.mu.Lock()
		a, wake := answer{Ver: s.ver}, s.wake
		for _, x := range s.changes {
			if x.Table == table && x.Ver > after {
				a.Rows = append(a.Rows, x)
			}
		}
		s.mu.Unlock()
		if len(a.Rows) > 0 || over {
			time.Sleep(4 * time.Millisecond)
			l.pass(w, r)
			l.mu.Lock()
			l.ended[table] = time.Now()
			l.mu.Unlock()
			l.reply(w, r, http.StatusOK, a)
			return
		}
		select {
		case <-wake:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (l *link) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Conditions []row `json:"expected_rev"`
		Puts       []row `json:"puts"`
		Remove     []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(8 * time.Millisecond)
	s := l.store
	s.mu.Lock()
	var current []row
	conflict := false
	for _, c := range tx.Conditions {
		have := s.rows[c.id()]
		conflict = conflict || have.Ver != c.Ver
		if have.Ver != 0 {
			current = append(current, have)
		}
	}
	status, a := http.StatusOK, answer{}
	if conflict {
		status, a.Rows = http.StatusPreconditionFailed, current
	} else {
		for i := range tx.Remove {
			tx.Remove[i].Removed = true
		}
		s.write(slices.Concat(tx.Puts, tx.Remove)...)
	}
	a.Ver = s.ver
	s.mu.Unlock()
	if !conflict && s.onWrite != nil {
		for _, put := range tx.Puts {
			s.onWrite(put)
		}
	}
	l.reply(w, r, status, a)
}
