package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/lentilpoint/lentilpoint/platform"
	"github.com/lentilpoint/lentilpoint/task"
)

// StoreFaults are the faults of the users' store that are in effect.
type StoreFaults struct {
	// Down refuses every call.
	Down bool
	// LoseAnswers carries writes out and closes the connection without an answer.
	LoseAnswers bool
}

// Store is the task of a stand-in for the store of the users' platform. It
// speaks its protocol for rows; objects are not served.
type Store struct {
	messages task.Mailbox[func(*Store)]
	endpoint *endpoint
	started  time.Time

	rows    map[storeKey]storeRow
	changes []storeRow
	// dropped is the version up to which the history was dropped.
	dropped uint64
	version uint64
	faults  StoreFaults
	calls   int
	// waiting are held calls of the feed, woken by each change.
	waiting []chan struct{}
}

type storeKey struct{ Table, Part, Key string }

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (r storeRow) id() storeKey { return storeKey{r.Table, r.Part, r.Key} }

type storeAnswer struct {
	Rows      []storeRow `json:"rows"`
	Truncated bool       `json:"truncated"`
	Version   uint64     `json:"ver"`
	NowMS     int64      `json:"now_ms"`
}

type storeTransaction struct {
	Conditions []storeRow `json:"expected_rev"`
	Puts       []storeRow `json:"puts"`
	Remove     []storeRow `json:"remove"`
}

// StartStore starts the stand-in store on a loopback address.
func StartStore(ctx context.Context) (*Store, error) {
	s := &Store{messages: task.NewMailbox[func(*Store)](1024), started: time.Now(), rows: map[storeKey]storeRow{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathRows, s.serveRows)
	mux.HandleFunc("GET "+platform.PathFeed, s.serveFeed)
	mux.HandleFunc("POST "+platform.PathTransact, s.serveTransact)
	endpoint, err := newEndpoint(mux)
	if err != nil {
		return nil, err
	}
	s.endpoint = endpoint
	go serveSteps(ctx, s, endpoint.cut)
	return s, nil
}

func (s *Store) steps() task.Mailbox[func(*Store)] { return s.messages }

// Address returns the store's address.
func (s *Store) Address() string { return s.endpoint.address }

// SetFaults replaces the faults in effect.
func (s *Store) SetFaults(faults StoreFaults) {
	control(s, func(s *Store) bool { s.faults = faults; s.wake(); return true })
}

// Silence makes the open connections silent for good; new ones work.
func (s *Store) Silence() { s.endpoint.silence() }

// DropHistory forgets all changes so far.
func (s *Store) DropHistory() {
	control(s, func(s *Store) bool { s.changes, s.dropped = nil, s.version; s.wake(); return true })
}

// Calls returns the number of calls that were served or refused.
func (s *Store) Calls() int { return control(s, func(s *Store) int { return s.calls }) }

// Put writes a row as the operator or a server does.
func (s *Store) Put(table, key string, value any) error {
	content, err := json.Marshal(value)
	if err != nil {
		return Error.Wrap(err)
	}
	control(s, func(s *Store) bool { return s.write(storeRow{Table: table, Key: key, Value: content}) })
	return nil
}

// Remove drops a row.
func (s *Store) Remove(table, key string) {
	control(s, func(s *Store) bool { return s.write(storeRow{Table: table, Key: key, Removed: true}) })
}

// Row returns the value of a row, or nil.
func (s *Store) Row(table, key string) []byte {
	return control(s, func(s *Store) []byte { return s.rows[storeKey{Table: table, Key: key}].Value })
}

func (s *Store) write(rows ...storeRow) bool {
	s.version++
	for _, row := range rows {
		row.Version = s.version
		s.changes = append(s.changes, row)
		if row.Removed {
			delete(s.rows, row.id())
			continue
		}
		s.rows[row.id()] = row
	}
	s.wake()
	return true
}

func (s *Store) wake() {
	for _, waiting := range s.waiting {
		close(waiting)
	}
	s.waiting = nil
}

func (s *Store) answer(rows []storeRow) storeAnswer {
	return storeAnswer{Rows: rows, Version: s.version, NowMS: time.Since(s.started).Milliseconds()}
}

func (s *Store) serveRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	answer := control(s, func(s *Store) *storeAnswer {
		s.calls++
		if s.faults.Down {
			return nil
		}
		var rows []storeRow
		for _, row := range s.rows {
			if row.Table == query.Get("table") && row.Part == query.Get("part") && row.Key >= query.Get("from") {
				rows = append(rows, row)
			}
		}
		slices.SortFunc(rows, func(a, b storeRow) int { return cmp.Compare(a.Key, b.Key) })
		answer := s.answer(rows)
		if limit, err := strconv.Atoi(query.Get("limit")); err == nil && len(rows) > limit {
			answer.Rows, answer.Truncated = rows[:limit], true
		}
		return &answer
	})
	writeStore(w, answer)
}

func writeStore(w http.ResponseWriter, answer *storeAnswer) {
	if answer == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// feedStep is what one look at the feed brought.
type feedStep struct {
	answer *storeAnswer
	gone   bool
	wait   chan struct{}
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	control(s, func(s *Store) bool { s.calls++; return true })
	for last := false; ; {
		step := control(s, func(s *Store) feedStep { return s.look(query.Get("table"), after) })
		switch {
		case step.gone:
			w.WriteHeader(http.StatusGone)
			return
		case step.answer == nil, len(step.answer.Rows) > 0, last:
			writeStore(w, step.answer)
			return
		}
		select {
		case <-step.wait:
		case <-deadline:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) look(table string, after uint64) feedStep {
	if s.faults.Down {
		return feedStep{}
	}
	if after < s.dropped {
		return feedStep{gone: true}
	}
	var rows []storeRow
	for _, row := range s.changes {
		if row.Table == table && row.Version > after {
			rows = append(rows, row)
		}
	}
	answer := s.answer(rows)
	wait := make(chan struct{})
	s.waiting = append(s.waiting, wait)
	return feedStep{answer: &answer, wait: wait}
}

func (s *Store) serveTransact(w http.ResponseWriter, r *http.Request) {
	var transaction storeTransaction
	if err := json.NewDecoder(r.Body).Decode(&transaction); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var lose, conflict bool
	answer := control(s, func(s *Store) *storeAnswer {
		s.calls++
		lose = s.faults.LoseAnswers
		if s.faults.Down {
			return nil
		}
		for _, condition := range transaction.Conditions {
			if s.rows[condition.id()].Version != condition.Version {
				conflict = true
				answer := s.answer([]storeRow{s.rows[condition.id()]})
				return &answer
			}
		}
		for i := range transaction.Remove {
			transaction.Remove[i].Removed = true
		}
		s.write(slices.Concat(transaction.Puts, transaction.Remove)...)
		answer := s.answer(nil)
		return &answer
	})
	switch {
	case lose:
		panic(http.ErrAbortHandler)
	case conflict:
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	writeStore(w, answer)
}
