package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// listFresh is how long the list of an engine's cache answers further
	// questions. The loss of a host makes many callers resume at once, and what
	// they look for was read before.
	listFresh = time.Second
	// locateOwn and locateOthers are the largest numbers of engines in the own and
	// in all other data centres that are asked. Beyond, the questions cost more
	// than reading the prompt again, and most prompts were read in the own one.
	locateOwn    = 64
	locateOthers = 16
)

// cacheList is what an engine's cache held when it was asked.
type cacheList struct {
	parts map[string]int
	at    time.Time
	// running tells that the engine is being asked.
	running bool
}

// search looks for the engine that holds a prompt.
type search struct {
	prompt string
	reply  task.Reply[string]
	// asked are the engines that have not answered yet.
	asked map[string]bool
	// later are the engines to ask if none of these holds the prompt.
	later []*routing.Server
}

// searchSteps returns the engines to ask about a prompt: those of the own data
// centre first, where it was most likely read, and then others.
func searchSteps(dataCentre string, engines []*routing.Server) (own, others []*routing.Server) {
	for _, engine := range engines {
		if engine.DataCentre == dataCentre {
			own = append(own, engine)
		} else {
			others = append(others, engine)
		}
	}
	if len(own) > locateOwn {
		own = nil
	}
	if len(others) > locateOthers {
		others = nil
	}
	return own, others
}

// locate starts a search.
func (t *Task) locate(ctx context.Context, message Locate) {
	var engines []*routing.Server
	for id, state := range t.servers {
		if state.server.Service == message.Service && t.known(id) && !state.standing.stale {
			engines = append(engines, state.server)
		}
	}
	own, others := searchSteps(t.DataCentre, engines)
	s := &search{prompt: message.Prompt, reply: message.Reply, later: others}
	if !t.advance(ctx, s, own) {
		t.searches = append(t.searches, s)
	}
}

// advance asks the engines, and the later ones if there are none. It reports
// whether the search has ended.
func (t *Task) advance(ctx context.Context, s *search, engines []*routing.Server) bool {
	s.asked = map[string]bool{}
	for _, engine := range engines {
		list := &t.servers[engine.ID].list
		if !list.at.IsZero() && t.Clock.Since(list.at) < listFresh {
			if list.parts[s.prompt] > 0 {
				return t.endSearch(s, engine.ID)
			}
			continue
		}
		s.asked[engine.ID] = true
		if !list.running {
			list.running = true
			t.askList(ctx, engine)
		}
	}
	switch {
	case len(s.asked) > 0:
		return false
	case len(s.later) > 0:
		next := s.later
		s.later = nil
		return t.advance(ctx, s, t.present(next))
	}
	return t.endSearch(s, "")
}

// present keeps the servers that are still known.
func (t *Task) present(servers []*routing.Server) []*routing.Server {
	return slices.DeleteFunc(servers, func(server *routing.Server) bool { return t.servers[server.ID] == nil })
}

func (t *Task) endSearch(s *search, server string) bool {
	result := "found"
	if server == "" {
		result = "missing"
	}
	t.Metrics.GetOrCreateCounter(`lentilpoint_relay_prompt_searches_total{result="` + result + `"}`).Inc()
	s.reply.Send(server)
	return true
}

// askList asks the engine what its cache holds.
func (t *Task) askList(ctx context.Context, engine *routing.Server) {
	go func() {
		listContext, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		parts, err := t.Prober.Cached(listContext, engine.Address)
		if err != nil {
			t.Logger.Info("engine does not say what its cache holds", eventcode.CacheListFailed.Attr(), "server", engine.ID, "error", err)
		}
		_ = t.mailbox.Send(ctx, listed{server: engine.ID, parts: parts})
	}()
}

// takeList ends the searches for which the answer is enough.
func (t *Task) takeList(ctx context.Context, message listed) {
	if state, found := t.servers[message.server]; found {
		state.list = cacheList{parts: message.parts, at: t.Clock.Now()}
	}
	t.searches = slices.DeleteFunc(t.searches, func(s *search) bool {
		if !s.asked[message.server] {
			return false
		}
		delete(s.asked, message.server)
		switch {
		case message.parts[s.prompt] > 0:
			return t.endSearch(s, message.server)
		case len(s.asked) > 0:
			return false
		}
		return t.advance(ctx, s, nil)
	})
}
