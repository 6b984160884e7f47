package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["leaving"] = runLeaving }

// The bounds of the small deployments.
const (
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
)

// siteZones are the zones of the entry hosts of bubblewell-java.
var siteZones = []string{"jkt", "jkt", "bdg", "bdg", "smg", "sby"}

// newSite returns a fleet with the zones of a site, none of whose relays is started.
func newSite(folder string, s *store) (*fleet, error) {
	f := &fleet{folder: folder, store: s, zones: []string{"jkt", "bdg", "smg", "sby"}, memoryMB: 284}
	for _, zone := range siteZones {
		if _, err := f.add(zone); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// startAll starts relays and waits until they are ready.
func (f *fleet) startAll(relays []*relay) error {
	for _, r := range relays {
		if err := f.start(r); err != nil {
			return err
		}
	}
	for _, r := range relays {
		if err := r.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// runLeaving cuts one relay off from the store while a server leaves without a word and the
// other relays are killed and start again.
func runLeaving(folder string, r *record, trouble bool) (bool, error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	f, err := newSite(folder, s)
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	behind, others := f.relays[0], f.relays[1:]
	path, err := newProxy(s.address)
	if err != nil {
		return false, err
	}
	behind.storeAddress = path.address()
	var mutex sync.Mutex
	var leftAt time.Time
	late := 0
	handle := func(server *server, writer http.ResponseWriter, request *http.Request) {
		id := request.Header.Get("X-Lentilpoint-Attempt-Id")
		time.Sleep(30 * time.Millisecond)
		mutex.Lock()
		if server.leaving.Load() {
			r.write("server %s runs %s %d ms after the store has removed its entry", server.id, id, time.Since(leftAt).Milliseconds())
			if time.Since(leftAt) > drainTime {
				late++
			}
		}
		mutex.Unlock()
		server.answer(writer, request)
	}
	s.put("op", "config", manifest(7, false))
	entries := newRegistry(s)
	var servers []*server
	for i, zone := range []string{"jkt", "jkt", "bdg", "smg"} {
		started, err := startServer(fmt.Sprintf("i-desk-%d", i), "desk", zone, "", 6, handle)
		if err != nil {
			return false, err
		}
		servers = append(servers, started)
		entries.add(started)
	}
	if err := f.startAll(f.relays); err != nil {
		return false, err
	}
	r.write("six relays are ready")
	// The relays list each other after some seconds.
	time.Sleep(6 * time.Second)
	burst := func(count int) {
		var group sync.WaitGroup
		for range count {
			group.Go(func() {
				id := newAttempt("a")
				got := send(behind.front(), http.MethodGet, pathStock+id, id, nil, 1500*time.Millisecond, nil)
				r.write("client: %s by %s: %v", id, behind.name, got)
			})
			time.Sleep(5 * time.Millisecond)
		}
		group.Wait()
	}
	burst(8)
	began := time.Now()
	if trouble {
		path.setCut(true)
		r.write("%s is cut off from the store", behind.name)
		time.Sleep(200 * time.Millisecond)
		for _, other := range others {
			other.signal(syscall.SIGKILL)
		}
		for _, other := range others {
			other.kill()
		}
		r.write("the five other relays are killed")
	}
	time.Sleep(time.Until(began.Add(time.Second)))
	// The server leaves without a word: its entry is removed and it serves on for some seconds.
	gone := servers[0]
	mutex.Lock()
	leftAt = time.Now()
	gone.leaving.Store(true)
	mutex.Unlock()
	r.write("server %s leaves; the store has removed its entry at version %d", gone.id, entries.remove(gone.id))
	time.Sleep(time.Until(began.Add(2200 * time.Millisecond)))
	if trouble {
		if err := f.startAll(others); err != nil {
			return false, err
		}
		r.write("the five other relays are ready again")
	}
	time.Sleep(time.Until(began.Add(5500 * time.Millisecond)))
	path.setCut(false)
	r.write("the path to the store is healed")
	time.Sleep(contactTime + 500*time.Millisecond)
	r.write("%s has had no disruption for %v; clients send requests through it", behind.name, contactTime+500*time.Millisecond)
	burst(24)
	r.write("%d requests reached the server later than %v after the store had removed its entry", late, drainTime)
	return late > 0, nil
}
