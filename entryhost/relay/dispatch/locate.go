package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/series"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// cacheListLifetime is how long a fetched list of an engine's cache is
	// reused. After the loss of an entry host many callers resume at once, and
	// the prompts they need were read before that.
	cacheListLifetime = time.Second
	// maxLocalEnginesQueried and maxRemoteEnginesQueried are the largest numbers
	// of engines, in this data centre and in all others, that are queried. Beyond
	// them the queries cost more than reading the prompt again; most prompts were
	// read in this data centre.
	maxLocalEnginesQueried  = 64
	maxRemoteEnginesQueried = 16
)

// cacheList is the content of an engine's prompt cache at the last query.
type cacheList struct {
	partTokens map[string]int
	fetchedAt  time.Time
	// fetching is set while a query is running.
	fetching bool
}

// promptSearch is a search for the engine whose cache holds a prompt.
type promptSearch struct {
	prompt string
	reply  task.Reply[string]
	// pending are the ids of the engines that have not answered yet.
	pending map[string]bool
	// remote are the engines to query if none of the pending ones holds the
	// prompt.
	remote []*routing.Server
}

// searchTargets returns the engines to query for a prompt: those of this data
// centre first, where it was most likely read, then those of others. A group
// above its limit is left out.
func searchTargets(dataCentre string, engines []*routing.Server) (local, remote []*routing.Server) {
	for _, engine := range engines {
		if engine.DataCentre == dataCentre {
			local = append(local, engine)
		} else {
			remote = append(remote, engine)
		}
	}
	if len(local) > maxLocalEnginesQueried {
		local = nil
	}
	if len(remote) > maxRemoteEnginesQueried {
		remote = nil
	}
	return local, remote
}

// locateTimeout bounds a search by another host, which waits for engines for
// probeTimeout.
const locateTimeout = probeTimeout + 50*time.Millisecond

// locateElsewhere asks the collector of the data centre to search for a prompt, so
// that its engines are queried once and not by each host to which callers return. It
// reports whether another host was asked.
func (t *Task) locateElsewhere(ctx context.Context, message Locate) bool {
	if t.Locator == nil || message.Here {
		return false
	}
	collector := t.collectorOf(t.DataCentre)
	if collector == "" || collector == t.Self {
		return false
	}
	go func() {
		locateContext, cancel := context.WithTimeout(ctx, locateTimeout)
		defer cancel()
		server, err := t.Locator.Locate(locateContext, collector, message.Service, message.Prompt)
		if err != nil {
			t.Logger.Info("search for a prompt by another host failed; this host queries the engines", eventcode.CacheListFailed.Attr(), "host", collector, "error", err)
			message.Here = true
			_ = t.mailbox.Send(ctx, message)
			return
		}
		message.Reply.Send(server)
	}()
	return true
}

// handleLocate starts a search for a prompt.
func (t *Task) handleLocate(ctx context.Context, message Locate) {
	if t.locateElsewhere(ctx, message) {
		return
	}
	var engines []*routing.Server
	for id, state := range t.servers {
		if state.server.Service == message.Service && t.isKnown(id) && !state.health.stale {
			engines = append(engines, state.server)
		}
	}
	local, remote := searchTargets(t.DataCentre, engines)
	s := &promptSearch{prompt: message.Prompt, reply: message.Reply, remote: remote}
	if !t.continueSearch(ctx, s, local) {
		t.searches = append(t.searches, s)
	}
}

// continueSearch queries the engines, or the remote ones if no query to these is
// pending. It reports whether the search has ended.
func (t *Task) continueSearch(ctx context.Context, s *promptSearch, engines []*routing.Server) bool {
	s.pending = map[string]bool{}
	for _, engine := range engines {
		list := &t.servers[engine.ID].cache
		if !list.fetchedAt.IsZero() && t.Clock.Since(list.fetchedAt) < cacheListLifetime {
			if list.partTokens[s.prompt] > 0 {
				return t.endSearch(s, engine.ID)
			}
			continue
		}
		s.pending[engine.ID] = true
		if !list.fetching {
			list.fetching = true
			t.fetchCacheList(ctx, engine)
		}
	}
	switch {
	case len(s.pending) > 0:
		return false
	case len(s.remote) > 0:
		next := s.remote
		s.remote = nil
		return t.continueSearch(ctx, s, t.stillKnown(next))
	}
	return t.endSearch(s, "")
}

// stillKnown removes servers that the dispatcher no longer has.
func (t *Task) stillKnown(servers []*routing.Server) []*routing.Server {
	return slices.DeleteFunc(servers, func(server *routing.Server) bool { return t.servers[server.ID] == nil })
}

func (t *Task) endSearch(s *promptSearch, server string) bool {
	result := "found"
	if server == "" {
		result = "missing"
	}
	t.Metrics.GetOrCreateCounter(series.Name("lentilpoint_relay_prompt_searches_total", "result", result)).Inc()
	s.reply.Send(server)
	return true
}

// fetchCacheList queries the engine for the content of its cache.
func (t *Task) fetchCacheList(ctx context.Context, engine *routing.Server) {
	go func() {
		listContext, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		parts, err := t.Prober.CachedParts(listContext, engine.Address)
		if err != nil {
			t.Logger.Info("engine did not list the content of its cache", eventcode.CacheListFailed.Attr(), "server", engine.ID, "error", err)
		}
		_ = t.mailbox.Send(ctx, cacheListed{server: engine.ID, partTokens: parts})
	}()
}

// handleCacheList stores the list of an engine and ends or continues the
// searches that were waiting for it.
func (t *Task) handleCacheList(ctx context.Context, message cacheListed) {
	if state, found := t.servers[message.server]; found {
		state.cache = cacheList{partTokens: message.partTokens, fetchedAt: t.Clock.Now()}
	}
	t.searches = slices.DeleteFunc(t.searches, func(s *promptSearch) bool {
		if !s.pending[message.server] {
			return false
		}
		delete(s.pending, message.server)
		switch {
		case message.partTokens[s.prompt] > 0:
			return t.endSearch(s, message.server)
		case len(s.pending) > 0:
			return false
		}
		return t.continueSearch(ctx, s, nil)
	})
}
