package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["together"] = runTogether }

const (
	// togetherCallers ask for the same item at the same moment, each by another relay, and
	// again after togetherPause.
	togetherCallers = 6
	togetherPause   = 4 * time.Second
	togetherRounds  = 5
)

func runTogether(folder string, r *record, trouble bool) (bool, error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	f, err := newSite(folder, s)
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	var mutex sync.Mutex
	var crashes, arrivals []time.Time
	s.put("op", "config", manifest(7, false))
	entries := newRegistry(s)
	boots := 0
	var handle func(server *server, writer http.ResponseWriter, request *http.Request)
	start := func(zone, address string) error {
		boots++
		started, err := startServer(fmt.Sprintf("i-desk-%d", boots), "desk", zone, address, 6, handle)
		if err == nil {
			entries.add(started)
		}
		return err
	}
	crashing := map[string]bool{}
	handle = func(server *server, writer http.ResponseWriter, request *http.Request) {
		if !trouble || !strings.HasPrefix(request.URL.Path, pathStock+"hot") {
			time.Sleep(30 * time.Millisecond)
			server.answer(writer, request)
			return
		}
		mutex.Lock()
		arrivals = append(arrivals, time.Now())
		r.write("server %s runs %s", server.id, request.Header.Get("X-Lentilpoint-Attempt-Id"))
		first := !crashing[server.id]
		crashing[server.id] = true
		mutex.Unlock()
		time.Sleep(60 * time.Millisecond)
		if !first {
			<-request.Context().Done()
			return
		}
		mutex.Lock()
		crashes = append(crashes, time.Now())
		r.write("server %s crashes, which is crash %d", server.id, len(crashes))
		mutex.Unlock()
		entries.silence(server.id)
		server.crash()
		time.AfterFunc(2*time.Second, func() {
			mutex.Lock()
			defer mutex.Unlock()
			if err := start(server.zone, server.address); err != nil {
				r.write("a server could not start again: %v", err)
			}
		})
		time.AfterFunc(3600*time.Millisecond, func() { entries.remove(server.id) })
	}
	for _, zone := range []string{"jkt", "bdg", "smg", "sby"} {
		if err := start(zone, ""); err != nil {
			return false, err
		}
	}
	if err := f.startAll(f.relays); err != nil {
		return false, err
	}
	r.write("six relays are ready")
	time.Sleep(6 * time.Second)
	for range togetherRounds {
		var group sync.WaitGroup
		for _, relay := range f.relays[:togetherCallers] {
			group.Go(func() {
				id := newAttempt("h")
				got := send(relay.front(), http.MethodGet, pathStock+"hot", id, nil, 1500*time.Millisecond, nil)
				r.write("client: %s by %s: %v", id, relay.name, got)
			})
		}
		group.Wait()
		time.Sleep(togetherPause)
	}
	mutex.Lock()
	defer mutex.Unlock()
	late := 0
	if len(crashes) >= 3 {
		for _, at := range arrivals {
			if at.Sub(crashes[2]) > contactTime {
				late++
			}
		}
	}
	r.write("%d crashes; the request reached servers %d times later than %v after its third crash", len(crashes), late, contactTime)
	return late > 3, nil
}
