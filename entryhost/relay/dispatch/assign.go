package dispatch

import (
	"context"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
)

// assign answers the request, or reports that it has to wait.
func (t *Task) assign(ctx context.Context, request Acquire) bool {
	now := t.Clock.Now()
	candidates := t.candidates(request.Service, now)
	if stage, moving := t.stageOf(request.Service); moving {
		candidates = versionsAllowed(stage, request.Point, candidates)
	}
	chosen := t.pick(&request, candidates)
	if chosen == nil {
		if request.OnlyPreferred {
			t.refuse(request, RefusedCopyGone)
			return true
		}
		if now.Before(request.Until) {
			return false
		}
		t.refuse(request, RefusedNoServer)
		return true
	}
	ledger := t.budgetOf(request.Service)
	if request.Repeat && !request.paid && !ledger.spend(t.uptime(), t.sharers, 0) {
		t.borrow(ctx, request)
		return true
	}
	if !request.Repeat {
		ledger.earn(t.uptime())
	}
	t.grant(ctx, request, chosen, candidates, now)
	return true
}

// pick returns the preferred server if it is usable, else the best one.
func (t *Task) pick(request *Acquire, candidates []candidate) *candidate {
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
	return choose(t.Random, t.DataCentre, request, candidates)
}

func (t *Task) grant(ctx context.Context, request Acquire, chosen *candidate, candidates []candidate, now time.Time) {
	state := t.servers[chosen.server.ID]
	granted := use{server: state, service: request.Service, repeat: request.Repeat}
	answer := Assignment{Server: state.server}
	if request.Backup {
		if backup := chooseBackup(t.Random, t.DataCentre, &request, candidates, chosen.server); backup != nil {
			granted.backup, granted.copyLost = t.servers[backup.server.ID], request.CopyLost
			granted.backup.copies++
			answer.Backup = backup.server
			answer.Away = chosen.server.DataCentre != t.DataCentre && backup.server.DataCentre != t.DataCentre
		}
	}
	answer.Connection, answer.Reused = t.connection(ctx, state, request.Once, now)
	t.last++
	answer.Lease = t.last
	state.inFlight++
	t.leases[answer.Lease] = granted
	request.Reply.Send(answer)
}

// connection returns the idle connection that was used last, or a new one.
func (t *Task) connection(ctx context.Context, state *serverState, once bool, now time.Time) (*exchange.Connection, bool) {
	for len(state.idle) > 0 {
		last := state.idle[len(state.idle)-1]
		if once && now.Sub(last.since) > onceIdle && now.Before(last.until) {
			break
		}
		state.idle = state.idle[:len(state.idle)-1]
		if now.Before(last.until) {
			return last.connection, true
		}
		last.connection.Close()
	}
	state.open++
	t.Metrics.GetOrCreateCounter(`lentilpoint_relay_connections_opened_total{service="` + state.server.Service + `"}`).Inc()
	return exchange.Open(ctx, state.server.ID, state.server.Address, t.Protocol, t.reports), false
}

func (t *Task) refuse(request Acquire, refusal Refusal) {
	t.Metrics.GetOrCreateCounter(`lentilpoint_relay_dispatch_refusals_total{reason="` + string(refusal) + `"}`).Inc()
	request.Reply.Send(Assignment{Refusal: refusal})
}

func (t *Task) candidates(service string, now time.Time) []candidate {
	var list []candidate
	limit := t.connectionLimit(service)
	for id, state := range t.servers {
		if state.server.Service != service || !t.known(id) {
			continue
		}
		list = append(list, candidate{
			server: state.server, inFlight: state.inFlight, decoding: state.decoding, copies: state.copies,
			own:  t.owners.owns(state.server),
			warm: len(state.idle) > 0, full: len(state.idle) == 0 && state.open >= limit,
			paused: now.Before(state.standing.pausedUntil), dataCentreLost: t.losses[placeOf(state.server)].lost(now), recovering: state.standing.pause > 0,
			stale: state.standing.stale, failureRate: state.standing.failureRate,
		})
	}
	return list
}

// connectionLimit is this host's share of the connections to one server.
func (t *Task) connectionLimit(service string) int {
	var most int
	if t.view.Config != nil {
		most = t.view.Config.Services[service].MaxConnections
	}
	if most == 0 {
		return int(^uint(0) >> 1)
	}
	return max(connectionsMin, int(connectionShare*float64(most)/float64(t.sharers)))
}

// uptime is the time since the dispatcher was built, on the steady clock.
func (t *Task) uptime() time.Duration { return t.Clock.Since(t.built) }

func (t *Task) budgetOf(service string) *budget {
	ledger, found := t.budgets[service]
	if !found {
		ledger = &budget{terms: t.Budget}
		t.budgets[service] = ledger
	}
	return ledger
}

func (t *Task) retryWaiting(ctx context.Context) {
	waiting := t.waiting
	t.waiting = nil
	for _, request := range waiting {
		if !t.assign(ctx, request) {
			t.waiting = append(t.waiting, request)
		}
	}
}
