package dispatch

import (
	"context"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/eventcode"
)

// adoptionGrace is how long an adopted engine remains usable while the store
// does not list it; a live server registers within about 2 s.
const adoptionGrace = 3 * time.Second

// endedLifetime is how long a server whose registration ended is not adopted. A server
// that leaves serves on for a while, and an older registration of its address may
// outlast its own.
const endedLifetime = time.Minute

// recordEnded notes the servers whose registration has ended between two views.
func (t *Task) recordEnded(before, after routing.Servers) {
	now := t.Clock.Now()
	for id := range before {
		if _, found := after[id]; !found {
			t.ended[id] = now
		}
	}
	for id, at := range t.ended {
		if _, registered := after[id]; registered || now.Sub(at) > endedLifetime {
			delete(t.ended, id)
		}
	}
}

// adoption is a restarted engine, found at the address of the previous process,
// that has no registration yet.
type adoption struct {
	server    *routing.Server
	former    *routing.Server
	adoptedAt time.Time
}

// identify checks whether the server at the address of a stale registration is
// an engine, so that it can take work before its own registration arrives.
// Another service may have taken over the address, so this is done only where a
// single service has engines.
func (t *Task) identify(ctx context.Context, former *routing.Server, instance string) {
	if _, hasLeft := t.ended[instance]; hasLeft || t.isKnown(instance) || !t.isOnlyEngineService(former.Service) {
		return
	}
	go func() {
		probeContext, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		report, err := t.Prober.Probe(probeContext, former.Address)
		_ = t.mailbox.Send(ctx, identifyResult{former: former, instance: instance, engine: err == nil && report.IsEngine})
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
	if _, hasLeft := t.ended[message.instance]; hasLeft || !message.engine || t.isKnown(message.instance) {
		return
	}
	server := *message.former
	server.ID = message.instance
	server.Draining = false
	for id, other := range t.adopted {
		if other.server.Address == server.Address {
			t.endAdoption(id)
		}
	}
	t.adopted[server.ID] = adoption{server: &server, former: message.former, adoptedAt: t.Clock.Now()}
	t.servers[server.ID] = &serverState{server: &server}
	t.Logger.Info("restarted engine adopted before its registration", eventcode.ServerAdopted.Attr(), "server", server.ID,
		"service", server.Service, "address", server.Address, "former", message.former.ID)
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
// registered to another process, or that exceed adoptionGrace.
func (t *Task) expireAdoptions() {
	byAddress := make(map[string]*routing.Server, len(t.view.Servers))
	for _, server := range t.view.Servers {
		byAddress[server.Address] = server
	}
	for id, adopted := range t.adopted {
		_, registered := t.view.Servers[id]
		present, taken := byAddress[adopted.server.Address]
		switch {
		case registered:
			delete(t.adopted, id)
		case taken && present.ID != adopted.former.ID, t.Clock.Since(adopted.adoptedAt) > adoptionGrace:
			t.endAdoption(id)
		}
	}
}

// endAdoption removes an adopted engine that never registered.
func (t *Task) endAdoption(id string) {
	delete(t.adopted, id)
	if state, found := t.servers[id]; found {
		state.closeIdle()
		t.notifyCopyLost(state)
		t.forgetUnused(id)
	}
}
