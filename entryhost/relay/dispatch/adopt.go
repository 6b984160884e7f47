package dispatch

import (
	"context"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/eventcode"
)

// adoptionGrace is how long an adopted engine counts while the store serves
// registrations without it; live servers register within about 2 s.
const adoptionGrace = 3 * time.Second

// adoption is an engine that was found at the address of a former start.
type adoption struct {
	server *routing.Server
	former *routing.Server
	since  time.Time
}

// identify asks whether the server at the former's address is an engine, so that
// it can take work before its registration arrives. An address may have gone to
// another service, and only one service with engines makes the answer certain.
func (t *Task) identify(ctx context.Context, former *routing.Server, instance string) {
	if t.known(instance) || !t.onlyEngines(former.Service) {
		return
	}
	go func() {
		probeContext, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		report, err := t.Prober.Probe(probeContext, former.Address)
		_ = t.mailbox.Send(ctx, identified{former: former, instance: instance, engine: err == nil && report.Engine})
	}()
}

// onlyEngines reports whether the service is the only one with engines.
func (t *Task) onlyEngines(service string) bool {
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

// adopt lets the engine take work in place of the former start.
func (t *Task) adopt(message identified) {
	if !message.engine || t.known(message.instance) {
		return
	}
	server := *message.former
	server.ID = message.instance
	server.Draining = false
	for id, other := range t.adopted {
		if other.server.Address == server.Address {
			t.forget(id)
		}
	}
	t.adopted[server.ID] = adoption{server: &server, former: message.former, since: t.Clock.Now()}
	t.servers[server.ID] = &serverState{server: &server}
	t.Logger.Info("restarted engine takes work before its registration", eventcode.ServerAdopted.Attr(), "server", server.ID,
		"service", server.Service, "address", server.Address, "former", message.former.ID)
}

// known reports whether the server may take work.
func (t *Task) known(id string) bool {
	if _, found := t.view.Servers[id]; found {
		return true
	}
	_, found := t.adopted[id]
	return found
}

// dropAdopted ends adoptions that registrations confirm or contradict.
func (t *Task) dropAdopted() {
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
		case taken && present.ID != adopted.former.ID, t.Clock.Since(adopted.since) > adoptionGrace:
			t.forget(id)
		}
	}
}

// forget ends an adoption.
func (t *Task) forget(id string) {
	delete(t.adopted, id)
	if state, found := t.servers[id]; found {
		state.closeIdle()
		t.tellCopyLost(state)
		delete(t.servers, id)
	}
}
