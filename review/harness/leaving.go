package main

import (
	"context"
	"fmt"
	"time"
)

// drainSaysLeaving lets a server leave while the store is down, so that only its answers
// say so. It checks DRAIN at each relay that has passed on such an answer.
func drainSaysLeaving(w *world) []string {
	w.manifest(1, map[string][]string{"members": {"key-members"}})
	for _, zone := range zones {
		w.startServer("i-"+zone, service, zone, "v1", 30*time.Millisecond)
	}
	leaver := w.startServer("i-leaver", service, "jkt", "v1", 30*time.Millisecond)
	w.addRelays("jkt", "bdg")
	ctx, cancel := context.WithCancel(context.Background())
	done := w.load(ctx, 20, path, "key-members")
	time.Sleep(3 * time.Second)
	if w.trouble {
		for _, r := range w.relays {
			r.link.set(linkReset)
		}
		w.note("the store is down: it resets all connections")
	}
	time.Sleep(time.Second)
	leaver.setLeaving()
	w.note("server %s begins to leave and says so in all its answers", leaver.id)
	if w.trouble {
		// The server cannot report to the store, so it serves on.
		time.Sleep(7 * time.Second)
		for _, r := range w.relays {
			r.link.set(linkUp)
		}
		w.note("the store is back")
	}
	leaver.drain(drainBound + time.Second)
	time.Sleep(time.Second)
	cancel()
	done.Wait()
	return w.checkLeaving(leaver.id)
}

// checkLeaving returns, for each relay, the requests that it sent to a server although
// their client sent them later than the bound after the relay had passed on an answer
// that says that the server leaves.
func (w *world) checkLeaving(id string) []string {
	at := map[string]bool{}
	for _, a := range w.allArrivals() {
		if a.server == id && a.status != 421 {
			at[a.request] = true
		}
	}
	first := map[string]time.Time{}
	answers := w.allAnswers()
	for _, a := range answers {
		if known, found := first[a.relay]; a.leaving && (!found || a.ended.Before(known)) {
			first[a.relay] = a.ended
		}
	}
	var findings []string
	for _, r := range w.relays {
		told, found := first[r.name]
		if !found {
			w.note("relay %s has passed on no answer with Server-Leaving", r.name)
			continue
		}
		w.note("relay %s passed on the first answer with Server-Leaving at %.3f", r.name, told.Sub(w.began).Seconds())
		var late int
		var worst time.Duration
		for _, a := range answers {
			if after := a.sent.Sub(told); a.relay == r.name && at[a.request] && after > drainBound {
				late++
				worst = max(worst, after)
			}
		}
		if late > 0 {
			findings = append(findings, fmt.Sprintf("DRAIN: %d requests reached server %s from %s, sent up to %d ms after it had passed on an answer with Server-Leaving; the bound is %d ms", late, id, r.name, worst.Milliseconds(), drainBound.Milliseconds()))
		}
	}
	return findings
}
