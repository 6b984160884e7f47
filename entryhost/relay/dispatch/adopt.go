package dispatch

import (
	"context"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/catalog"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/eventcode"
)

// adoptionGrace is how long an adopted engine remains usable while the store
// does not list it; a live server registers within about 2 s.
const adoptionGrace = 3 * time.Second

// adoptionCheckInterval is the time between queries of an adopted engine about its state,
// which no registration states.
const adoptionCheckInterval = 500 * time.Millisecond

// endedLifetime is how long a server whose registration ended is not adopted. A server
// that leaves serves on for a while, and an older registration of its address may
// outlast its own.
const endedLifetime = time.Minute

// recordEnded notes the servers whose registration has ended between two views.
func (t *Task) recordEnded(before, after *catalog.View) {
	now := t.Clock.Now()
	for _, servers := range []routing.Servers{before.Servers, before.Superseded} {
		for id := range servers {
			if !isRegistered(after, id) {
				t.ended[id] = now
			}
		}
	}
	for id, at := range t.ended {
		if isRegistered(after, id) || now.Sub(at) > endedLifetime {
			delete(t.ended, id)
		}
	}
}

// isRegistered reports whether the view has a registration with the id.
func isRegistered(view *catalog.View, id string) bool {
	_, found := view.Servers[id]
	_, superseded := view.Superseded[id]
	return found || superseded
}

// adoption is a server that was found at the address of another registration: a
// restarted engine that has no registration yet, or a server whose registration is
// superseded.
type adoption struct {
	server *routing.Server
	// former is the registration that names the address.
	former    *routing.Server
	adoptedAt time.Time
	// checkedAt is when its state was queried last.
	checkedAt time.Time
	// superseded is set if the server has a registration, which is in force for as
	// long as it is there.
	superseded bool
}

// identify checks whether the server at the address of a stale registration is
// an engine, so that it can take work before its own registration arrives.
// Another service may have taken over the address, so this is done only where a
// single service has engines. A server that has a registration with this address needs
// no check: it was superseded by one of another writer.
func (t *Task) identify(ctx context.Context, former *routing.Server, instance string) {
	if server, found := t.view.Superseded[instance]; found && server.Address == former.Address && !t.isKnown(instance) {
		t.adopt(adoption{server: server, former: former, adoptedAt: t.Clock.Now(), superseded: true})
		return
	}
	if _, hasLeft := t.ended[instance]; hasLeft || t.isKnown(instance) || !t.isOnlyEngineService(former.Service) {
		return
	}
	go func() {
		probeContext, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		report, err := t.Prober.Probe(probeContext, former.Address)
		_ = t.mailbox.Send(ctx, identifyResult{former: former, instance: instance, usable: err == nil && report.IsEngine && !report.Leaves})
	}()
}

// isOnlyEngineService reports whether the service is the only one with engines and
// has no version move.
func (t *Task) isOnlyEngineService(service string) bool {
	if t.view.Config == nil || t.view.Moves[service].Target != "" {
		return false
	}
	engines := 0
	for _, other := range t.view.Config.Services {
		if other.Engine != nil {
			engines++
		}
	}
	return engines == 1 && t.view.Config.Services[service].Engine != nil
}

// handleIdentified makes a restarted engine available under its new id.
func (t *Task) handleIdentified(message identifyResult) {
	if _, hasLeft := t.ended[message.instance]; hasLeft || !message.usable || t.isKnown(message.instance) {
		return
	}
	server := *message.former
	server.ID = message.instance
	server.Draining = false
	now := t.Clock.Now()
	t.adopt(adoption{server: &server, former: message.former, adoptedAt: now, checkedAt: now})
}

// checkAdopted queries the state of the adopted engines that are not registered. Such an
// engine may leave, or have left before any of its registrations was read.
func (t *Task) checkAdopted(ctx context.Context) {
	now := t.Clock.Now()
	for id, adopted := range t.adopted {
		if adopted.superseded || now.Sub(adopted.checkedAt) < adoptionCheckInterval {
			continue
		}
		adopted.checkedAt = now
		t.adopted[id] = adopted
		go func() {
			probeContext, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			report, err := t.Prober.Probe(probeContext, adopted.server.Address)
			if err != nil {
				t.Logger.Debug("adopted server does not report", eventcode.ServerAdopted.Attr(), "server", id, "error", err)
			}
			_ = t.mailbox.Send(ctx, adoptedChecked{server: id, adoptedAt: adopted.adoptedAt, leaves: err == nil && report.Leaves})
		}()
	}
}

// handleAdoptedChecked ends the adoption of a server that leaves.
func (t *Task) handleAdoptedChecked(message adoptedChecked) {
	adopted, found := t.adopted[message.server]
	if !found || !message.leaves || adopted.superseded || adopted.adoptedAt != message.adoptedAt {
		return
	}
	t.ended[message.server] = t.Clock.Now()
	t.endAdoption(message.server)
	t.Logger.Info("adopted server leaves", eventcode.ServerLeaves.Attr(), "server", message.server, "service", adopted.server.Service, "address", adopted.server.Address)
}

// adopt makes the server of an adoption available, and ends others at its address.
func (t *Task) adopt(adopted adoption) {
	server := adopted.server
	for id, other := range t.adopted {
		if other.server.Address == server.Address {
			t.endAdoption(id)
		}
	}
	t.adopted[server.ID] = adopted
	t.servers[server.ID] = &serverState{server: server}
	t.index = nil
	t.Logger.Info("server adopted that answers at the address of another registration", eventcode.ServerAdopted.Attr(), "server", server.ID,
		"service", server.Service, "address", server.Address, "former", adopted.former.ID, "superseded", adopted.superseded)
}

// isKnown reports whether the server is registered or adopted.
func (t *Task) isKnown(id string) bool {
	if _, found := t.view.Servers[id]; found {
		return true
	}
	_, found := t.adopted[id]
	return found
}

// expireAdoptions ends adoptions whose engine is registered, whose address is
// registered to another process of the service, or that exceed adoptionGrace. A
// superseded registration is applied instead, and its adoption lasts as long.
func (t *Task) expireAdoptions() {
	for id, adopted := range t.adopted {
		superseded, found := t.view.Superseded[id]
		_, registered := t.view.Servers[id]
		switch {
		case registered:
			delete(t.adopted, id)
		case t.isTakenOver(adopted):
			t.endAdoption(id)
		case found && superseded.SameProcess(adopted.server):
			adopted.server, adopted.superseded = superseded, true
			t.adopted[id] = adopted
			t.servers[id].server = superseded
		case adopted.superseded, t.Clock.Since(adopted.adoptedAt) > adoptionGrace:
			t.endAdoption(id)
		}
	}
}

// isTakenOver reports whether another process of the service is registered at the
// address than the one that was there before the adoption.
func (t *Task) isTakenOver(adopted adoption) bool {
	for _, server := range t.view.Servers {
		if server.Address == adopted.server.Address && server.Service == adopted.server.Service && !server.Draining && server.ID != adopted.former.ID {
			return true
		}
	}
	return false
}

// endAdoption removes an adopted server that is not registered, or not any more.
func (t *Task) endAdoption(id string) {
	delete(t.adopted, id)
	t.index = nil
	if state, found := t.servers[id]; found {
		state.closeIdle()
		t.notifyCopyLost(state)
		t.forgetUnused(id)
	}
}
