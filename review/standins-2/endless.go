package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["endless"] = runEndless }

const (
	engines = 18
	// faultyEngines send bytes without end, half of all as in garble.
	faultyEngines = 9
	// streamCallers have a stream each.
	streamCallers = 140
	// promptTime is that of 5,200 tokens at 5 tokens a millisecond.
	promptTime = 1040 * time.Millisecond
	// endlessChunk is sent every endlessPause, about 1.2 MB a second.
	endlessChunk = 32 << 10
	endlessPause = 25 * time.Millisecond
)

// runEndless has half of the engines answer with a failure whose body does not end until the
// caller closes.
func runEndless(folder string, r *record, trouble bool) (bool, error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	f, err := newSite(folder, s)
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	ordinary := newBook()
	var inTrouble atomic.Bool
	faulty := map[string]bool{}
	sendEndless := func(writer http.ResponseWriter, request *http.Request) {
		writer.WriteHeader(http.StatusInternalServerError)
		chunk := []byte(strings.Repeat("no answer ", endlessChunk/10))
		for {
			if _, err := writer.Write(chunk); err != nil {
				return
			}
			select {
			case <-time.After(endlessPause):
			case <-request.Context().Done():
				return
			}
		}
	}
	handle := func(server *server, writer http.ResponseWriter, request *http.Request) {
		if faulty[server.id] && inTrouble.Load() {
			sendEndless(writer, request)
			return
		}
		ordinary.begun(request.Header.Get("X-Lentilpoint-Attempt-Id"))
		stream(server.runs, server, writer, request, promptTime, 60*time.Millisecond)
	}
	s.put("op", "config", manifest(7, true))
	entries := newRegistry(s)
	for i := range engines {
		id := fmt.Sprintf("i-advisor-%d", i)
		faulty[id] = i < faultyEngines
		started, err := startServer(id, "advisors", siteZones[i%len(siteZones)], "", 128, handle)
		if err != nil {
			return false, err
		}
		started.runs = newRuns()
		entries.add(started)
	}
	if err := f.startAll(f.relays); err != nil {
		return false, err
	}
	r.write("six relays are ready")
	time.Sleep(5 * time.Second)
	front := f.relays[0]
	var stopped atomic.Bool
	var callers sync.WaitGroup
	for i := range streamCallers {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			kind := call{
				prefix: "c", method: http.MethodPost, path: pathAdvice, body: []byte(strings.Repeat("x", 5000)), limit: 25 * time.Second,
				header: promptHeader("5c1e07a2:200", fmt.Sprintf("%08x:5000", i)),
			}
			ordinary.keepCalling(front.front(), kind, &stopped)
		})
	}
	time.Sleep(12 * time.Second)
	r.write("%s takes %d MB with %d callers of streams", front.name, front.residentBytes()/1_000_000, streamCallers)
	if trouble {
		inTrouble.Store(true)
		r.write("%d of %d engines answer with status 500 and a body that does not end", faultyEngines, engines)
	}
	peak, ended := f.watchMemory(r, front, time.Now().Add(25*time.Second))
	r.write("%s took %d MB at most", front.name, peak/1_000_000)
	stopped.Store(true)
	callers.Wait()
	ordinary.writeTo(r)
	lost := ordinary.lost()
	r.write("callers got %v (by status, 0 for none); the process ended: %v; requests of kept connections that a sound engine worked on and that got no answer: %d", ordinary.statuses, ended, len(lost))
	for _, id := range lost {
		r.write("lost: %s", id)
	}
	return ended && len(lost) > 3, nil
}
