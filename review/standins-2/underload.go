package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["underload"] = runUnderLoad }

const (
	// ordersPerSecond and stockPerSecond are the rates of the site file.
	ordersPerSecond = 15
	stockPerSecond  = 8
	// moveDuration is the time budget of the order.
	moveDuration = 12 * time.Second
	// loadLimit is the number of requests a second, four fifths of those of the service, above
	// which the new version fails failedShare of them.
	loadLimit   = 18
	failedShare = 0.5
	// exposeShare and exposeSlack are bounds of the site file.
	exposeShare = 0.1
	exposeSlack = 50
)

// exposure counts the requests that reach the service in the move.
type exposure struct {
	mutex sync.Mutex
	// isBad is set if the new version fails under load.
	isBad       bool
	recent      []time.Time
	all, target int
	failed      int
	from, until time.Time
}

// arrive counts a request and reports whether a server of the new version fails it.
func (e *exposure) arrive(isTarget bool) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	counts := !e.from.IsZero() && now.Before(e.until)
	if counts {
		e.all++
	}
	if !isTarget {
		return false
	}
	if counts {
		e.target++
	}
	e.recent = append(e.recent, now)
	for now.Sub(e.recent[0]) > time.Second {
		e.recent = e.recent[1:]
	}
	fails := e.isBad && len(e.recent) > loadLimit && rand.Float64() < failedShare
	if fails && counts {
		e.failed++
	}
	return fails
}

// moveState is the row that the operator reads.
type moveState struct {
	State  string  `json:"state"`
	Target string  `json:"target"`
	Share  float64 `json:"share"`
	Holder string  `json:"holder"`
}

func (s *store) moveState(service string) moveState {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var state moveState
	_ = json.Unmarshal(s.rows[rowKey{"status", "", "rollout/" + service}].Value, &state)
	return state
}

// runUnderLoad orders a move to a version that fails part of the requests under load. Without
// the disruption the version is good.
func runUnderLoad(folder string, r *record, trouble bool) (bool, error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	f, err := newSite(folder, s)
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	seen := &exposure{isBad: trouble}
	handle := func(server *server, writer http.ResponseWriter, request *http.Request) {
		fails := seen.arrive(server.version == "v2")
		r.write("server %s (%s) runs %s and fails it: %v", server.id, server.version, request.Header.Get("X-Lentilpoint-Attempt-Id"), fails)
		time.Sleep(30 * time.Millisecond)
		if fails {
			writer.Header().Set("X-Lentilpoint-Response-Seal", "seal."+request.Header.Get("X-Lentilpoint-Attempt-Id"))
			writer.WriteHeader(http.StatusInternalServerError)
			return
		}
		server.answer(writer, request)
	}
	s.put("op", "config", manifest(7, false))
	entries := newRegistry(s)
	var old []*server
	addServers := func(version string) error {
		for i, zone := range []string{"jkt", "bdg", "smg", "sby"} {
			started, err := startServer(fmt.Sprintf("i-desk-%s-%d", version, i), "desk", zone, "", 6, handle)
			if err != nil {
				return err
			}
			started.version = version
			entries.add(started)
			if version == "v1" {
				old = append(old, started)
			}
		}
		return nil
	}
	if err := addServers("v1"); err != nil {
		return false, err
	}
	if err := f.startAll(f.relays); err != nil {
		return false, err
	}
	r.write("six relays are ready")
	time.Sleep(6 * time.Second)
	var stopped atomic.Bool
	var callers sync.WaitGroup
	var mutex sync.Mutex
	statuses := map[string]int{}
	callAt := func(perSecond float64, method, path string) {
		callers.Go(func() {
			for !stopped.Load() {
				time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
				callers.Go(func() {
					front := f.relays[rand.IntN(len(f.relays))]
					id := newAttempt("m")
					got := send(front.front(), method, path+id, id, nil, 1500*time.Millisecond, nil)
					r.write("client: %s %s by %s: %v", method, id, front.name, got)
					mutex.Lock()
					defer mutex.Unlock()
					statuses[fmt.Sprintf("%s %d", method, got.status)]++
				})
			}
		})
	}
	callAt(ordersPerSecond, http.MethodPost, pathOrder)
	callAt(stockPerSecond, http.MethodGet, pathStock)
	time.Sleep(3 * time.Second)
	seen.mutex.Lock()
	seen.from, seen.until = time.Now(), time.Now().Add(moveDuration)
	seen.mutex.Unlock()
	s.put("op", "rollout/desk", map[string]any{"service": "desk", "target": "v2", "duration_s": moveDuration.Seconds()})
	r.write("the operator orders the move of desk to v2 within %v", moveDuration)
	if err := addServers("v2"); err != nil {
		return false, err
	}
	var last moveState
	for time.Now().Before(seen.until.Add(time.Second)) {
		state := s.moveState("desk")
		if state != last {
			r.write("the state of the move is %s, share %.2f, holder %s", state.State, state.Share, state.Holder)
			if state.State == "completed" {
				r.write("the old servers stop at once")
				for _, stopping := range old {
					entries.remove(stopping.id)
					stopping.crash()
				}
			}
			last = state
		}
		time.Sleep(5 * time.Millisecond)
	}
	stopped.Store(true)
	callers.Wait()
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	allowed := exposeShare*float64(seen.all) + exposeSlack
	r.write("callers got %v", statuses)
	r.write("%d requests reached the service between the order and its time budget, %d of them the new version, which failed %d; %.0f are allowed if it is bad", seen.all, seen.target, seen.failed, allowed)
	return trouble && float64(seen.target) > allowed, nil
}
