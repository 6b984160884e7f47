package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

const (
	service = "trade-desk"
	path    = "/orders/new"
	// perRelay is the rate of orders at each of the four relays, in requests a second.
	perRelay = 24
	// moveSeconds is the duration of an order of a version move, as in the example of
	// the pages.
	moveSeconds = 12
)

var zones = []string{"jkt", "bdg", "smg", "sby"}

// startVersion starts one server of the version in each zone.
func (w *world) startVersion(version string, failEach, slowEach int) []*server {
	var started []*server
	for _, zone := range zones {
		s := w.startServer(fmt.Sprintf("i-%s-%s", version, zone), service, zone, version, 30*time.Millisecond)
		s.mu.Lock()
		s.failEach, s.slowEach = failEach, slowEach
		s.mu.Unlock()
		started = append(started, s)
	}
	return started
}

// order writes the order of a version move and returns the time of the ack.
func (w *world) order(target string) time.Time {
	at := w.store.put("op", "rollout/"+service, map[string]any{"service": service, "target": target, "duration_s": moveSeconds})
	w.note("order to move %s to %s within %d s acked by the store", service, target, moveSeconds)
	return at
}

// awaitResult waits until the status of a move to the target is completed or rolled_back,
// and returns it.
func (w *world) awaitResult(target string, until time.Time) string {
	for time.Now().Before(until) {
		var status struct{ State, Target string }
		if json.Unmarshal(w.store.get("status", "rollout/"+service), &status) == nil && status.Target == target && (status.State == "completed" || status.State == "rolled_back") {
			w.note("status of the move to %s: %s", target, status.State)
			return status.State
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.note("the move to %s has no result", target)
	return ""
}

// exposure checks EXPOSURE for a bad version: its share of all requests that reach the
// service between the order and its time budget.
func (w *world) exposure(version string, ordered time.Time) []string {
	var bad, all, failures int
	for _, a := range w.allArrivals() {
		if !a.ran || a.at.Before(ordered) || a.at.After(ordered.Add(moveSeconds*time.Second)) {
			continue
		}
		all++
		if a.version == version {
			bad++
			if a.status >= 500 || a.slow {
				failures++
			}
		}
	}
	allowed := exposeShare*float64(all) + exposeSlack
	w.note("version %s got %d of %d requests between its order and its time budget, %d of them badly; allowed %.1f", version, bad, all, failures, allowed)
	if float64(bad) > allowed {
		return []string{fmt.Sprintf("EXPOSURE: version %s got %d of %d requests, %d of them badly; allowed are %.1f", version, bad, all, failures, allowed)}
	}
	return nil
}

// beginMove starts the old version, the relays and the traffic.
func (w *world) beginMove() (old []*server, end func()) {
	w.manifest(1, map[string][]string{"members": {"key-members"}})
	old = w.startVersion("v1", 0, 0)
	w.addRelays(zones...)
	ctx, cancel := context.WithCancel(context.Background())
	done := w.load(ctx, perRelay, path, "key-members")
	time.Sleep(4 * time.Second)
	return old, func() { cancel(); done.Wait() }
}

// finish does what the platform does at the end of a move: on completed the old servers
// stop at once, on rolled_back the new ones drain some seconds later.
func (w *world) finish(result string, old, next []*server) {
	switch result {
	case "completed":
		for _, s := range old {
			go s.stop()
		}
	case "rolled_back":
		time.AfterFunc(6*time.Second, func() {
			for _, s := range next {
				go s.drain(drainBound + time.Second)
			}
		})
	}
}

// exposureNextOrder orders a bad version, and the next version once that is rolled back.
func exposureNextOrder(w *world) []string {
	old, end := w.beginMove()
	slowEach := 0
	if w.trouble {
		slowEach = 2
	}
	second := w.startVersion("v2", 0, slowEach)
	ordered := w.order("v2")
	result := w.awaitResult("v2", ordered.Add(moveSeconds*time.Second))
	if result == "" {
		panic(errNotRun{"the move to v2 has no result"})
	}
	w.finish(result, old, second)
	if result == "completed" {
		old = second
	}
	time.Sleep(500 * time.Millisecond)
	third := w.startVersion("v3", 0, 0)
	next := w.order("v3")
	if until := time.Until(ordered.Add((moveSeconds + 1) * time.Second)); until > 0 {
		time.Sleep(until)
	}
	w.finish(w.awaitResult("v3", next.Add(moveSeconds*time.Second)), old, third)
	time.Sleep(time.Second)
	end()
	if !w.trouble {
		w.note("no version is bad in this run")
		return nil
	}
	if result != "rolled_back" {
		w.note("the bad version was not rolled back; this is another case")
		panic(errNotRun{"the bad version was completed"})
	}
	return w.exposure("v2", ordered)
}

// exposureSmallPart orders a version of which one answer in 13 is a failure.
func exposureSmallPart(w *world) []string {
	old, end := w.beginMove()
	failEach := 0
	if w.trouble {
		failEach = 13
	}
	second := w.startVersion("v2", failEach, 0)
	ordered := w.order("v2")
	w.finish(w.awaitResult("v2", ordered.Add(moveSeconds*time.Second)), old, second)
	if until := time.Until(ordered.Add((moveSeconds + 1) * time.Second)); until > 0 {
		time.Sleep(until)
	}
	end()
	if !w.trouble {
		w.note("no version is bad in this run")
		return nil
	}
	return w.exposure("v2", ordered)
}
