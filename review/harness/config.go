package main

import (
	"context"
	"fmt"
	"time"
)

// configReaderCut lets the store give no answer to the one machine that reads it for the
// others, and takes a key away meanwhile. It checks CONFIG at the other machines.
func configReaderCut(w *world) []string {
	const members, guests = "key-members", "key-guests"
	w.manifest(1, map[string][]string{"members": {members}, "guests": {guests}})
	for i, zone := range []string{"jkt", "bdg"} {
		w.startServer(fmt.Sprintf("i-%d", i+1), service, zone, "v1", 30*time.Millisecond)
	}
	w.addRelays("jkt", "jkt", "bdg", "bdg")
	ctx, cancel := context.WithCancel(context.Background())
	memberLoad := w.load(ctx, 5, path, members)
	guestLoad := w.load(ctx, 20, path, guests)
	time.Sleep(5 * time.Second)
	reader := w.reader("op")
	w.note("relay %s reads the table of the operator from the store for the others", reader.name)
	reader.awaitPollEnd("op")
	if w.trouble {
		reader.link.set(linkSilent)
		w.note("the store gives no answer to %s from now on, and serves all others", reader.name)
	}
	time.Sleep(20 * time.Millisecond)
	acked := w.manifest(2, map[string][]string{"members": {members}, "guests": {}})
	time.Sleep(4400 * time.Millisecond)
	reader.link.set(linkUp)
	w.note("the store serves %s", reader.name)
	time.Sleep(time.Second)
	cancel()
	memberLoad.Wait()
	guestLoad.Wait()
	return w.checkRevoked(guests, acked, reader.name)
}

// reader returns the relay that follows the feed of a table at the store.
func (w *world) reader(table string) *relay {
	var found *relay
	for _, r := range w.relays {
		if began, _ := r.link.lastPoll(table); time.Since(began) < 3*time.Second {
			if found != nil {
				panic(errNotRun{"more than one relay reads the store"})
			}
			found = r
		}
	}
	if found == nil {
		panic(errNotRun{"no relay reads the store"})
	}
	return found
}

// awaitPollEnd waits until the store has answered a call for the feed of the table.
func (r *relay) awaitPollEnd(table string) {
	_, before := r.link.lastPoll(table)
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if _, ended := r.link.lastPoll(table); ended.After(before) {
			return
		}
	}
	panic(errNotRun{"the relay does not poll the feed"})
}

// checkRevoked returns the requests with a key that ran although they were sent later
// than the bound after the ack of the manifest without it, at relays other than the one
// that is not in touch.
func (w *world) checkRevoked(key string, acked time.Time, notInTouch string) []string {
	ran := map[string]bool{}
	for _, a := range w.allArrivals() {
		ran[a.request] = ran[a.request] || a.ran
	}
	late := map[string]int{}
	var worst time.Duration
	for _, a := range w.allAnswers() {
		after := a.sent.Sub(acked)
		if a.key != key || a.relay == notInTouch || !ran[a.request] || after <= configApply {
			continue
		}
		late[a.relay]++
		worst = max(worst, after)
	}
	var findings []string
	for relay, count := range late {
		findings = append(findings, fmt.Sprintf("CONFIG: %d requests with a key that was taken away ran, sent to %s in touch up to %d ms after the ack; the bound is %d ms", count, relay, worst.Milliseconds(), configApply.Milliseconds()))
	}
	return findings
}
