package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/loads"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/task"
)

// RouteQuery describes a request of which the route is to be explained.
type RouteQuery struct {
	Host string
	Path string
	// Organisation is the name of the caller's organisation, or "".
	Organisation string
	// Resumed is set if the caller has events of the stream.
	Resumed bool
	// Point is that of the request, in [0, 1): it decides about the service of a split
	// route and about the version in a move.
	Point float64
}

// Explain asks for the decision that a new request would get now. It changes no state.
type Explain struct {
	Query RouteQuery
	Reply task.Reply[Explanation]
}

func (Explain) isMessage() {}

// Explanation is the decision about a request without the random jitter of costs and
// without a reservation of the collector. Hosts send it to each other, so that its fields are
// not renamed.
type Explanation struct {
	// Problem is why there is no explanation, and Remedy what to do about it; both are
	// "" otherwise.
	Problem string `json:"problem,omitempty"`
	Remedy  string `json:"remedy,omitempty"`
	// NotReady is set if the problem is that of the host, and not of the query.
	NotReady bool `json:"not_ready,omitempty"`

	Route        string `json:"route"`
	Service      string `json:"service"`
	Kind         string `json:"kind"`
	Organisation string `json:"organisation"`
	Rank         int    `json:"rank"`
	// Refusal is the reason of a refusal, or "". RetryAfter is the mean of the random time
	// after which the caller may return, and 0 if the dispatcher states none.
	Refusal    Refusal       `json:"refusal"`
	RetryAfter time.Duration `json:"retry_after_ns"`
	// Waits is set if the request would wait for a server. It is refused with
	// RefusedNoServer if none is available within the route's ServerWait.
	Waits bool `json:"waits"`
	// PredictedWait is the time until an engine reads the prompt of a stream.
	PredictedWait time.Duration     `json:"predicted_wait_ns"`
	Move          *ExplainedMove    `json:"move,omitempty"`
	Views         []ExplainedView   `json:"views"`
	Servers       []ExplainedServer `json:"servers"`
	Notes         []string          `json:"notes"`
}

// ExplainedMove is the stage of a version move that is in force for the route.
type ExplainedMove struct {
	Target string  `json:"target"`
	Phase  int     `json:"phase"`
	Share  float64 `json:"share"`
}

// ExplainedView is the age of what the host knows of the loads in a data centre.
type ExplainedView struct {
	DataCentre string `json:"data_centre"`
	// Known is set if the loads were exchanged before, and Used if they are recent enough
	// for a decision.
	Known bool          `json:"known"`
	Used  bool          `json:"used"`
	Age   time.Duration `json:"age_ns"`
}

// ExplainedServer is a server of the service: what removed it, and its cost.
type ExplainedServer struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Version    string `json:"version"`
	// RemovedBy is the name of the filter that removed the server, or "".
	RemovedBy string     `json:"removed_by"`
	Costs     []CostPart `json:"costs,omitempty"`
	Cost      float64    `json:"cost"`
	Taken     bool       `json:"taken"`
}

// CostPart is a part of a cost in seconds.
type CostPart struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
}

// The names of what removes servers beside the filters.
const (
	removedByRejection = "rejected_version"
	removedByMove      = "version_move"
	// removedByPlan names the servers of a plain service to which the call may not be sent
	// yet: they are in backoff after a refusal.
	removedByPlan = "not_ready"
)

// unlimitedTime is the time that a request of a route without a time limit has left.
const unlimitedTime = time.Hour

// explain decides on a copy of the task without a random source, so that the decisions
// neither draw random numbers nor use the memory of the next sample.
func (t *Task) explain(query RouteQuery) Explanation {
	still := *t
	still.Random, still.sampled = nil, nil
	request, result := still.requestOf(query)
	if result.Problem != "" {
		return result
	}
	now := t.Clock.Now()
	still.describe(&request, &result, now)
	if request.Plain != nil {
		result.take(still.explainPlain(&request, &result, now))
	} else {
		result.take(still.explainChoice(&request, &result, now))
	}
	return result
}

// requestOf returns the request that the query describes, or an explanation with the problem.
func (t *Task) requestOf(query RouteQuery) (Acquire, Explanation) {
	config := t.view.Config
	if config == nil {
		return Acquire{}, Explanation{NotReady: true, Problem: "the host has no configuration yet", Remedy: "ask another host, or check that this one reaches the store or its peers"}
	}
	route, found := config.Match(query.Host, query.Path)
	if !found {
		return Acquire{}, Explanation{
			Problem: "no route has the host name " + query.Host + " and a prefix of the path " + query.Path, Remedy: "name the host and the prefix of a route of the configuration",
		}
	}
	var organisation routing.Organisation
	if query.Organisation != "" {
		if organisation, found = config.OrganisationNamed(query.Organisation); !found {
			return Acquire{}, Explanation{
				Problem: "no organisation has the name " + query.Organisation, Remedy: "name an organisation of the configuration, or none",
			}
		}
	}
	now, service := t.Clock.Now(), route.Service(query.Point)
	request := Acquire{
		Service: service, Route: route.Name, Organisation: organisation.Name, Point: query.Point, WaitUntil: now.Add(route.ServerWait()),
		NotRepeatable: route.Kind == routing.NonIdempotent,
	}
	deadline := now.Add(cmp.Or(route.Timeout, unlimitedTime))
	switch {
	case route.Kind == routing.Streaming:
		request.Rank, request.Objective, request.Deadline, request.Begun = organisation.Rank(route), route.LatencyObjective, deadline, query.Resumed
	case config.Services[service].Engine == nil:
		request.Plain = &PlainCall{Objective: now.Add(route.LatencyObjective), Deadline: deadline}
	}
	return request, Explanation{
		Route: route.Name, Service: service, Kind: route.Kind.String(), Organisation: organisation.Name, Rank: request.Rank,
		Notes: []string{"the random jitter of costs, samples of engines and reservations of the collector are left out"},
	}
}

// explainPlain returns the server that a call of a plain service would get, or nil if it
// would be refused or wait. Calls that wait before it are not considered.
func (t *Task) explainPlain(request *Acquire, result *Explanation, now time.Time) *candidate {
	result.Notes = append(result.Notes, "calls of the service that wait already may come first")
	plan := planPlain(request, t.candidatesWithBackoff(request, t.candidatesFor(request, now), now), now, t.plainServices[request.Service])
	ready := map[string]bool{}
	for i := range plan.ready {
		ready[plan.ready[i].server.ID] = true
	}
	for i := range result.Servers {
		if server := &result.Servers[i]; server.RemovedBy == "" && !ready[server.ID] {
			server.RemovedBy = removedByPlan
		}
	}
	chosen := t.pickServer(request, plan.ready)
	if chosen != nil {
		return chosen
	}
	result.Refusal, result.Waits = plan.refusal, plan.refusal == ""
	switch plan.refusal {
	case "":
	case RefusedByServers:
		result.RetryAfter = time.Duration(float64(plan.expected) * (1 + refusalJitter*meanRandom))
	default:
		result.RetryAfter = callerReturn(plan.expected, request.Plain.Deadline.Sub(now), meanRandom)
	}
	return nil
}

// candidatesWithBackoff sets what only calls of plain services depend on.
func (t *Task) candidatesWithBackoff(request *Acquire, candidates []candidate, now time.Time) []candidate {
	if request.Plain == nil {
		return candidates
	}
	for i := range candidates {
		state := t.servers[candidates[i].server.ID]
		candidates[i].backoff, candidates[i].warm = state.backoff.current(now), state.reusable(request.NotRepeatable, now)
	}
	return candidates
}

// explainChoice returns the engine that the request would get, or nil if it would be
// refused, and sets the reason.
func (t *Task) explainChoice(request *Acquire, result *Explanation, now time.Time) *candidate {
	chosen, candidates := t.choose(request, now)
	if chosen == nil {
		result.Waits = true
		if wait, refuse := allRefuse(candidates); refuse {
			result.Waits, result.Refusal, result.RetryAfter = false, RefusedByServers, time.Duration(float64(wait)*(1+refusalJitter*meanRandom))
		}
		return nil
	}
	if !t.sharesLoads(request.Service) {
		return chosen
	}
	waiting, needs := t.demandFor(request, chosen, candidates, now), t.needsOf(request, now)
	result.PredictedWait = time.Duration(waiting.backlogAhead() * float64(needs.prompt))
	if retryAfter, refused := waiting.refusal(request.Organisation, meanRandom); refused {
		result.Refusal, result.RetryAfter = RefusedOverload, retryAfter
		return nil
	}
	if waiting.byRank == nil {
		return chosen
	}
	decided := t.admissionAt(chosen.server.DataCentre, waiting, needs)
	if decided.refusal == "" || request.Begun {
		return chosen
	}
	result.Notes = append(result.Notes, "the host would ask for the loads of the other data centres before it refuses the stream")
	elsewhere, elsewhereWaiting := t.spillOver(request, decided, needs, candidates, now)
	if elsewhere == nil {
		result.Refusal, result.RetryAfter = decided.refusal, roomWait(decided.untilRoom, needs, meanRandom)
		return nil
	}
	result.PredictedWait = time.Duration(elsewhereWaiting.backlogAhead() * float64(needs.prompt))
	return elsewhere
}

// meanRandom is the mean of the random numbers that spread the returns of callers.
const meanRandom = 0.5

// describe sets what the decision is made from: the move, the views and the servers.
func (t *Task) describe(request *Acquire, result *Explanation, now time.Time) {
	if stage, moving := t.stageOf(request.Service); moving {
		stage = stage.OfRoute(request.Route)
		result.Move = &ExplainedMove{Target: stage.Target, Phase: int(stage.Phase), Share: stage.Share}
	}
	for _, dataCentre := range append([]string{t.DataCentre}, t.otherDataCentres()...) {
		view := ExplainedView{DataCentre: dataCentre, Used: t.isViewFresh(dataCentre, now)}
		if shared, known := t.shared[dataCentre]; known {
			view.Known, view.Age = true, now.Sub(shared.askedAt)
		}
		result.Views = append(result.Views, view)
	}
	removedBy := map[string]string{}
	accepted, allowed := t.candidates(request.Service, now), t.candidatesWithBackoff(request, t.candidatesFor(request, now), now)
	var all []candidate
	servers, limit := t.serversOf(request.Service), t.connectionLimit(request.Service)
	for _, group := range servers.groups() {
		all = t.sample(all, group, len(group.servers), limit, now)
	}
	all = t.candidatesWithBackoff(request, all, now)
	nameRemoved(removedBy, removedByRejection, all, accepted)
	nameRemoved(removedBy, removedByMove, accepted, allowed)
	for _, filter := range filters {
		kept := filter.apply(request, allowed)
		nameRemoved(removedBy, filter.name, allowed, kept)
		allowed = kept
	}
	for i := range all {
		c := &all[i]
		result.Servers = append(result.Servers, ExplainedServer{
			ID: c.server.ID, DataCentre: c.server.DataCentre, Version: c.server.Version, RemovedBy: removedBy[c.server.ID],
			Costs: costParts(t.DataCentre, c), Cost: costOf(nil, t.DataCentre, c),
		})
	}
	slices.SortFunc(result.Servers, func(a, b ExplainedServer) int {
		return cmp.Or(cmp.Compare(a.RemovedBy, b.RemovedBy), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.ID, b.ID))
	})
}

// nameRemoved notes by what the candidates were removed that are not among the kept ones.
func nameRemoved(removedBy map[string]string, name string, before, kept []candidate) {
	isKept := make(map[string]bool, len(kept))
	for i := range kept {
		isKept[kept[i].server.ID] = true
	}
	for i := range before {
		if id := before[i].server.ID; !isKept[id] {
			removedBy[id] = name
		}
	}
}

// costParts returns the parts of a candidate's cost that are not 0.
func costParts(dataCentre string, c *candidate) []CostPart {
	load := c.load()
	parts := []CostPart{
		{"load", loads.Load{Reading: load.Reading, Decoding: load.Decoding}.Cost(0)},
		{"failures", loads.Load{Failed: load.Failed}.Cost(0)},
		{"speed", loads.Load{}.Cost(c.slowdown)},
	}
	for _, scorer := range scorers {
		parts = append(parts, CostPart{scorer.name, scorer.score(dataCentre, c)})
	}
	kept := parts[:0]
	for _, part := range parts {
		if part.Seconds != 0 {
			kept = append(kept, part)
		}
	}
	return kept
}

// take marks the server that would be taken; nil marks none.
func (e *Explanation) take(chosen *candidate) {
	for i := range e.Servers {
		e.Servers[i].Taken = chosen != nil && e.Servers[i].ID == chosen.server.ID
	}
}
