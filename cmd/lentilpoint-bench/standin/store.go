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

// StoreFaults are the faults of the store that are in effect.
type StoreFaults struct {
	// Down refuses every call.
	Down bool
	// LoseAnswers executes transactions and closes the connection without an answer.
	LoseAnswers bool
}

// Store is the task of a stand-in for the store of the platform that the relay uses.
// It serves rows, the feed of changes and transactions, but no objects.
type Store struct {
	messages task.Mailbox[func(*Store)]
	endpoint *endpoint
	started  time.Time

	rows map[storeKey]storeRow
	// changes is the history of the feed, oldest first.
	changes []storeRow
	// droppedVersion is the version up to which the history was dropped.
	droppedVersion uint64
	version        uint64
	faults         StoreFaults
	calls          int
	// waiters holds a channel for each waiting call of the feed. Changes close them.
	waiters []chan struct{}
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

func (r storeRow) storeKey() storeKey { return storeKey{r.Table, r.Part, r.Key} }

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
	go serveTask(ctx, s, endpoint.close)
	return s, nil
}

func (s *Store) mailbox() task.Mailbox[func(*Store)] { return s.messages }

// Address returns the store's address.
func (s *Store) Address() string { return s.endpoint.address }

// SetFaults replaces the faults in effect.
func (s *Store) SetFaults(faults StoreFaults) {
	callWithTimeout(s, func(s *Store) bool { s.faults = faults; s.wakeWaiters(); return true })
}

// Silence discards all further data on the open connections without closing them.
// New connections work.
func (s *Store) Silence() { s.endpoint.silence() }

// DropHistory drops the history of the feed. Reads of the feed from an older version
// are then refused with status 410.
func (s *Store) DropHistory() {
	callWithTimeout(s, func(s *Store) bool { s.changes, s.droppedVersion = nil, s.version; s.wakeWaiters(); return true })
}

// Calls returns the number of calls so far, including refused ones.
func (s *Store) Calls() int { return callWithTimeout(s, func(s *Store) int { return s.calls }) }

// Put writes a row with the value as JSON.
func (s *Store) Put(table, key string, value any) error {
	content, err := json.Marshal(value)
	if err != nil {
		return Error.Wrap(err)
	}
	s.PutRaw(table, key, content)
	return nil
}

// PutRaw writes a row with a value that need not be JSON.
func (s *Store) PutRaw(table, key string, value []byte) {
	callWithTimeout(s, func(s *Store) bool { return s.writeRows(storeRow{Table: table, Key: key, Value: value}) })
}

// Remove deletes a row.
func (s *Store) Remove(table, key string) {
	callWithTimeout(s, func(s *Store) bool { return s.writeRows(storeRow{Table: table, Key: key, Removed: true}) })
}

// Row returns the value of a row, or nil if it does not exist.
func (s *Store) Row(table, key string) []byte {
	return callWithTimeout(s, func(s *Store) []byte { return s.rows[storeKey{Table: table, Key: key}].Value })
}

// writeRows writes or deletes rows under one new version.
func (s *Store) writeRows(rows ...storeRow) bool {
	s.version++
	for _, row := range rows {
		row.Version = s.version
		s.changes = append(s.changes, row)
		if row.Removed {
			delete(s.rows, row.storeKey())
			continue
		}
		s.rows[row.storeKey()] = row
	}
	s.wakeWaiters()
	return true
}

func (s *Store) wakeWaiters() {
	for _, waiter := range s.waiters {
		close(waiter)
	}
	s.waiters = nil
}

func (s *Store) newAnswer(rows []storeRow) storeAnswer {
	return storeAnswer{Rows: rows, Version: s.version, NowMS: time.Since(s.started).Milliseconds()}
}

func (s *Store) serveRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	answer := callWithTimeout(s, func(s *Store) *storeAnswer {
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
		answer := s.newAnswer(rows)
		if limit, err := strconv.Atoi(query.Get("limit")); err == nil && len(rows) > limit {
			answer.Rows, answer.Truncated = rows[:limit], true
		}
		return &answer
	})
	writeStoreAnswer(w, answer)
}

// writeStoreAnswer writes the answer, or status 503 if it is nil.
func writeStoreAnswer(w http.ResponseWriter, answer *storeAnswer) {
	if answer == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// feedResult is the result of one read of the feed.
type feedResult struct {
	// answer is nil if the store is down.
	answer *storeAnswer
	// gone reports that the history no longer holds all changes asked for.
	gone bool
	// wait is closed at the next change.
	wait chan struct{}
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	callWithTimeout(s, func(s *Store) bool { s.calls++; return true })
	for timedOut := false; ; {
		result := callWithTimeout(s, func(s *Store) feedResult { return s.readFeed(query.Get("table"), after) })
		switch {
		case result.gone:
			w.WriteHeader(http.StatusGone)
			return
		case result.answer == nil, len(result.answer.Rows) > 0, timedOut:
			writeStoreAnswer(w, result.answer)
			return
		}
		select {
		case <-result.wait:
		case <-deadline:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// readFeed returns the changes of a table after a version.
func (s *Store) readFeed(table string, after uint64) feedResult {
	if s.faults.Down {
		return feedResult{}
	}
	if after < s.droppedVersion {
		return feedResult{gone: true}
	}
	var rows []storeRow
	for _, row := range s.changes {
		if row.Table == table && row.Version > after {
			rows = append(rows, row)
		}
	}
	answer := s.newAnswer(rows)
	wait := make(chan struct{})
	s.waiters = append(s.waiters, wait)
	return feedResult{answer: &answer, wait: wait}
}

func (s *Store) serveTransact(w http.ResponseWriter, r *http.Request) {
	var transaction storeTransaction
	if err := json.NewDecoder(r.Body).Decode(&transaction); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var loseAnswer, conflict bool
	answer := callWithTimeout(s, func(s *Store) *storeAnswer {
		s.calls++
		loseAnswer = s.faults.LoseAnswers
		if s.faults.Down {
			return nil
		}
		for _, condition := range transaction.Conditions {
			if s.rows[condition.storeKey()].Version != condition.Version {
				conflict = true
				answer := s.newAnswer([]storeRow{s.rows[condition.storeKey()]})
				return &answer
			}
		}
		for i := range transaction.Remove {
			transaction.Remove[i].Removed = true
		}
		s.writeRows(slices.Concat(transaction.Puts, transaction.Remove)...)
		answer := s.newAnswer(nil)
		return &answer
	})
	switch {
	case loseAnswer:
		panic(http.ErrAbortHandler)
	case conflict:
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	writeStoreAnswer(w, answer)
}
