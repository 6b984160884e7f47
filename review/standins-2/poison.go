package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["poison"] = runPoison }

// trackerWeight is the rendezvous weight by which relays choose the hosts that count the
// deaths of a service's servers.
func trackerWeight(address, service string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(address))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(service))
	value := hash.Sum64()
	value ^= value >> 32
	return value * 0x9e3779b97f4a7c15
}

// poisonBody is the body of the request that crashes each server that runs it.
const poisonBody = "order that crashes its server"

// runPoison removes two relays for good and then sends a request that crashes each server that
// runs it, again and again, by the other four in turn.
func runPoison(folder string, r *record, trouble bool) (bool, error) {
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
	var crashes []time.Time
	cut := 0
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
	handle = func(server *server, writer http.ResponseWriter, request *http.Request) {
		if !strings.HasPrefix(request.URL.Path, pathOrder+"poison") {
			time.Sleep(30 * time.Millisecond)
			server.answer(writer, request)
			return
		}
		mutex.Lock()
		crashes = append(crashes, time.Now())
		r.write("server %s runs %s and crashes, which is crash %d", server.id, request.Header.Get("X-Lentilpoint-Attempt-Id"), len(crashes))
		mutex.Unlock()
		time.Sleep(5 * time.Millisecond)
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
	// The two relays that count the deaths of this service are the first ones.
	order := slices.Clone(f.relays)
	slices.SortFunc(order, func(a, b *relay) int {
		if trackerWeight(a.control(), "desk") > trackerWeight(b.control(), "desk") {
			return -1
		}
		return 1
	})
	removed, left := order[:2], order[2:]
	if trouble {
		for _, gone := range removed {
			gone.signal(syscall.SIGTERM)
		}
		for _, gone := range removed {
			<-gone.ended
			gone.process = nil
			r.write("%s has ended after SIGTERM and is removed for good", gone.name)
		}
	}
	time.Sleep(contactTime + time.Second)
	r.write("nothing has been disrupted for %v; the request that crashes servers comes, by four relays in turn", contactTime)
	sound := func(relay *relay) {
		id := newAttempt("s")
		got := send(relay.front(), http.MethodPost, pathOrder+"sound", id, []byte("sound order "+id), 1500*time.Millisecond, nil)
		if got.err != nil || got.status != http.StatusOK {
			mutex.Lock()
			cut++
			mutex.Unlock()
			r.write("client: sound order %s by %s: %v", id, relay.name, got)
		}
	}
	for i := range 16 {
		relay := left[i%len(left)]
		for _, other := range left {
			go sound(other)
		}
		time.Sleep(10 * time.Millisecond)
		id := newAttempt("p")
		got := send(relay.front(), http.MethodPost, pathOrder+"poison", id, []byte(poisonBody), 1500*time.Millisecond, nil)
		r.write("client: %s by %s: %v", id, relay.name, got)
		time.Sleep(1500 * time.Millisecond)
	}
	mutex.Lock()
	defer mutex.Unlock()
	late := 0
	if len(crashes) > 3 {
		for _, at := range crashes[3:] {
			if at.Sub(crashes[2]) > contactTime {
				late++
			}
		}
	}
	r.write("%d crashes; the request reached servers %d times later than %v after its third crash; %d sound orders were not answered with 200", len(crashes), late, contactTime, cut)
	return late > 3, nil
}
