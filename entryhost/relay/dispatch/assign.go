package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/series"
)

// tryAssign answers the request with a server or a refusal, or returns false if
// it has to wait for a server.
func (t *Task) tryAssign(ctx context.Context, request Acquire) bool {
	now := t.Clock.Now()
	if request.Plain != nil {
		return t.tryAssignPlain(ctx, request, t.candidatesFor(&request, now), now)
	}
	chosen, candidates := t.choose(&request, now)
	if chosen == nil {
		if request.OnlyPreferred {
			t.refuse(request, RefusedCopyGone)
			return true
		}
		if wait, refuse := allRefuse(candidates); refuse {
			t.refuseFor(request, RefusedByServers, time.Duration(float64(wait)*(1+refusalJitter*t.Random.Float64())))
			return true
		}
		if now.Before(request.WaitUntil) {
			return false
		}
		t.refuse(request, RefusedNoServer)
		return true
	}
	deferred := false
	if t.sharesLoads(request.Service) && !request.OnlyPreferred {
		waiting := t.demandFor(&request, chosen, candidates, now)
		if retryAfter, refused := waiting.refusal(request.Organisation, t.Random.Float64()); refused && !request.Retry {
			t.refuseFor(request, RefusedOverload, retryAfter)
			return true
		}
		if waiting.byRank != nil {
			if chosen, waiting = t.admitStream(ctx, &request, chosen, waiting, candidates, now); chosen == nil {
				return true
			}
		}
		deferred = waiting.exceedsShare(request.Organisation)
		if request.Backup && !waiting.copiesAllowed() {
			request.Backup = false
			t.Metrics.GetOrCreateCounter(series.Name("lentilpoint_relay_backups_omitted_total", "service", request.Service)).Inc()
		}
	}
	t.payAndGrant(ctx, request, chosen, candidates, deferred, now)
	return true
}

// choose returns the server with the lowest cost for a request that is no call of a plain
// service, or nil. The candidates are nil after a quick choice.
func (t *Task) choose(request *Acquire, now time.Time) (*candidate, []candidate) {
	if chosen := t.quickChoice(request, now); chosen != nil {
		return chosen, nil
	}
	candidates := t.candidatesFor(request, now)
	return t.pickServer(request, candidates), candidates
}

// payAndGrant leases the chosen server to the request if the retry budget allows it, and
// otherwise asks other hosts to pay.
func (t *Task) payAndGrant(ctx context.Context, request Acquire, chosen *candidate, candidates []candidate, deferred bool, now time.Time) {
	retryBudget := t.budgetOf(request.Service)
	if request.Retry && !request.paidByPeer && !retryBudget.spend(t.uptime(), t.hostCount, 0) {
		t.borrowRetry(ctx, request)
		return
	}
	if !request.Retry {
		retryBudget.countRequest(t.uptime())
	}
	t.grant(ctx, request, chosen, candidates, deferred, now)
}

// candidatesFor returns the servers of the versions that may serve the request.
func (t *Task) candidatesFor(request *Acquire, now time.Time) []candidate {
	candidates := t.candidates(request.Service, now)
	if stage, moving := t.stageOf(request.Service); moving {
		return filterVersions(stage.OfRoute(request.Route), request.Point, candidates)
	}
	return candidates
}

// demandFor returns what waits in the data centre of the chosen engine.
func (t *Task) demandFor(request *Acquire, chosen *candidate, candidates []candidate, now time.Time) demand {
	return t.demandAt(chosen.server.DataCentre, request, t.enginesFor(request, chosen.server.DataCentre, candidates, now), now)
}

// enginesFor counts the engines of a data centre that may serve the request. The candidates
// are nil unless a version move restricts them or the quick choice found none.
func (t *Task) enginesFor(request *Acquire, dataCentre string, candidates []candidate, now time.Time) engineCounts {
	if candidates != nil {
		return countEngines(dataCentre, candidates)
	}
	if t.ranksOf(request.Service) == nil {
		return engineCounts{all: t.engineCount(request.Service, dataCentre)}
	}
	group := t.serversOf(request.Service).groupOf(dataCentre)
	return countEngines(dataCentre, t.sample(nil, group, len(group.servers), t.connectionLimit(request.Service), now))
}

// pickServer returns the preferred server if it is usable and not paused. Otherwise
// it returns the one with the lowest cost, or nil if there is none or the request
// accepts only the preferred one.
func (t *Task) pickServer(request *Acquire, candidates []candidate) *candidate {
	if request.NotPaused {
		candidates = filterCandidates(candidates, func(c *candidate) bool { return !c.paused && !c.dataCentreDown })
	}
	if request.Prefer != "" {
		for _, c := range usable(request, candidates) {
			if c.server.ID == request.Prefer && !c.paused {
				return &c
			}
		}
	}
	if request.OnlyPreferred {
		return nil
	}
	return chooseServer(t.Random, t.DataCentre, request, candidates)
}

// grant leases the chosen server to the request and answers it.
func (t *Task) grant(ctx context.Context, request Acquire, chosen *candidate, candidates []candidate, deferred bool, now time.Time) {
	state := t.servers[chosen.server.ID]
	granted := leaseState{
		server: state, service: request.Service, organisation: request.Organisation, rank: request.Rank, retry: request.Retry,
		route: request.Route, stepStarted: now, fromCopy: request.OnlyPreferred, plain: request.Plain != nil,
		alone: chosen.reading() == 0 && !request.OnlyPreferred && t.isViewFresh(chosen.server.DataCentre, now),
	}
	assignment := Assignment{Server: state.server}
	if deferred {
		assignment.Deferred = true
		t.Metrics.GetOrCreateCounter(series.Name("lentilpoint_relay_deferred_total", "service", request.Service)).Inc()
		t.countByRank("lentilpoint_relay_urgency_deferrals_total", &request, string(RefusedOverload))
	}
	if request.Backup {
		if backup := t.pickBackup(&request, chosen, candidates, now); backup != nil {
			granted.backup, granted.copyLost = t.servers[backup.server.ID], request.CopyLost
			granted.backup.copies++
			assignment.Backup = backup.server
			assignment.AllRemote = chosen.server.DataCentre != t.DataCentre && backup.server.DataCentre != t.DataCentre
		}
	}
	assignment.Connection, assignment.Reused = t.takeConnection(ctx, state, request.NotRepeatable, now)
	t.lastLease++
	assignment.Lease = t.lastLease
	state.inFlight++
	t.leases[assignment.Lease] = granted
	t.recordSent(granted)
	t.countChoice(&request, chosen, now)
	request.Reply.Send(assignment)
	t.reportAttempt(ctx, state.server)
}

// reusable reports whether takeConnection would return an idle connection.
func (s *serverState) reusable(notRepeatable bool, now time.Time) bool {
	return slices.ContainsFunc(s.idle, func(idle idleConnection) bool {
		return now.Before(idle.usableUntil) && !idle.tooOld(notRepeatable, now)
	})
}

// tooOld reports whether the connection may be stale and the request must not be lost with it.
func (c idleConnection) tooOld(notRepeatable bool, now time.Time) bool {
	return notRepeatable && now.Sub(c.idleSince) > maxNotRepeatableIdle
}

// pickBackup returns the server for a copy of the run's cache, or nil. The candidates are
// nil after a quick choice.
func (t *Task) pickBackup(request *Acquire, chosen *candidate, candidates []candidate, now time.Time) *candidate {
	if candidates == nil {
		if backup := t.quickBackup(request, chosen, now); backup != nil {
			return backup
		}
		candidates = t.candidatesFor(request, now)
	}
	return chooseBackup(t.Random, t.DataCentre, request, candidates, chosen.server)
}

// takeConnection returns the most recently used idle connection, or a new one.
func (t *Task) takeConnection(ctx context.Context, state *serverState, notRepeatable bool, now time.Time) (*exchange.Connection, bool) {
	for len(state.idle) > 0 {
		last := state.idle[len(state.idle)-1]
		if last.tooOld(notRepeatable, now) && now.Before(last.usableUntil) {
			break
		}
		state.idle = state.idle[:len(state.idle)-1]
		if now.Before(last.usableUntil) {
			return last.connection, true
		}
		last.connection.Close()
	}
	state.open++
	t.Metrics.GetOrCreateCounter(series.Name("lentilpoint_relay_connections_opened_total", "service", state.server.Service)).Inc()
	return exchange.Open(ctx, state.server.ID, state.server.Address, t.Protocol, t.reports), false
}

func (t *Task) refuse(request Acquire, refusal Refusal) { t.refuseFor(request, refusal, 0) }

// refuseFor refuses the request and states when the caller may return, unless that is
// 0.
func (t *Task) refuseFor(request Acquire, refusal Refusal, retryAfter time.Duration) {
	t.Metrics.GetOrCreateCounter(series.Name("lentilpoint_relay_dispatch_refusals_total", "reason", string(refusal))).Inc()
	t.countByRank("lentilpoint_relay_urgency_refusals_total", &request, string(refusal))
	request.Reply.Send(Assignment{Refusal: refusal, RetryAfter: retryAfter})
}

// connectionLimit returns the number of connections that this host may open to
// one server of the service.
func (t *Task) connectionLimit(service string) int {
	var maxConnections int
	if t.view.Config != nil {
		maxConnections = t.view.Config.Services[service].MaxConnections
	}
	if maxConnections == 0 {
		return int(^uint(0) >> 1)
	}
	return max(minConnections, int(connectionShare*float64(maxConnections)/float64(t.hostCount)))
}

// uptime returns the monotonic time since the dispatcher was created.
func (t *Task) uptime() time.Duration { return t.Clock.Since(t.createdAt) }

func (t *Task) budgetOf(service string) *budget {
	serviceBudget, found := t.budgets[service]
	if !found {
		serviceBudget = &budget{limits: t.Budget}
		t.budgets[service] = serviceBudget
	}
	return serviceBudget
}

// retryWaiting tries each waiting request once, in their order. It takes them from the
// list one by one, so that a panic loses only the request that caused it.
func (t *Task) retryWaiting(ctx context.Context) {
	for range len(t.waiting) {
		request := t.waiting[0]
		t.waiting = t.waiting[1:]
		if !t.tryAssign(ctx, request) {
			t.waiting = append(t.waiting, request)
		}
	}
}
