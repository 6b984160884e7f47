package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/moves"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/task"
)

// SetStage puts a stage of a version move in force.
type SetStage struct {
	Stage routing.Stage
}

// GetSamples asks for the outcomes counted for both versions in a move.
type GetSamples struct {
	Service string
	Reply   task.Reply[map[string]moves.Versions]
}

func (SetStage) isMessage()   {}
func (GetSamples) isMessage() {}

// Traffic is the mover's interface to the dispatcher. It implements
// moves.Traffic.
type Traffic struct {
	Dispatcher task.Mailbox[Message]
}

// SetStage implements moves.Traffic.
func (t Traffic) SetStage(ctx context.Context, stage routing.Stage) error {
	return t.Dispatcher.Send(ctx, SetStage{Stage: stage})
}

// Samples implements moves.Traffic.
func (t Traffic) Samples(ctx context.Context, service string) (map[string]moves.Versions, error) {
	return task.Call(ctx, t.Dispatcher, func(reply task.Reply[map[string]moves.Versions]) Message {
		return GetSamples{Service: service, Reply: reply}
	})
}

// maxSampledRoutes bounds the routes whose samples are kept apart, and with them the
// row of this host's evidence. Further routes share the samples of otherRoutes.
const (
	maxSampledRoutes = 32
	otherRoutes      = "other routes"
)

// moveState is the dispatcher's state of one service's version move.
type moveState struct {
	stage routing.Stage
	// samples are the samples of both versions by route.
	samples map[string]*moves.Versions
}

// routeKey returns the key of a route's samples.
func (m *moveState) routeKey(route string) string {
	if _, found := m.samples[route]; found || len(m.samples) < maxSampledRoutes {
		return route
	}
	return otherRoutes
}

// routeSamples returns the samples of a route.
func (m *moveState) routeSamples(route string) *moves.Versions {
	key := m.routeKey(route)
	if m.samples[key] == nil {
		m.samples[key] = &moves.Versions{}
	}
	return m.samples[key]
}

// moveOf returns the state of the service's version move, or nil. Samples are counted
// from the order on, so that those of the other versions exist when the first stage is
// in force. A new order discards the samples of the previous one.
func (t *Task) moveOf(service string) *moveState {
	state := t.moves[service]
	order, ordered := t.view.Moves[service]
	if ordered && (state == nil || state.stage.Order < order.Order) {
		state = &moveState{stage: t.lastStage(service).Succeed(order, t.view.Servers), samples: map[string]*moves.Versions{}}
		t.moves[service] = state
	}
	return state
}

// lastStage returns the last stage of the service on this host, whichever its order.
func (t *Task) lastStage(service string) routing.Stage {
	if state := t.moves[service]; state != nil {
		return state.stage
	}
	return routing.Stage{}
}

// stageOf returns the stage in force for the service. While an order has no
// stage yet, the target gets no traffic. What earlier moves have shown about versions
// stays in force, also if the operator removes the order.
func (t *Task) stageOf(service string) (routing.Stage, bool) {
	last := t.lastStage(service)
	order, ordered := t.view.Moves[service]
	switch {
	case !ordered && last.Order == 0:
		return routing.Stage{}, false
	case !ordered:
		return last.Succeed(routing.Move{Service: service, Order: last.Order + 1}, t.view.Servers), true
	case last.Order < order.Order:
		return last.Succeed(order, t.view.Servers), true
	case last.Order > order.Order:
		return routing.Stage{Service: service, Target: order.Target, Order: order.Order, Rejected: last.Rejected}, true
	default:
		return last.At(t.Clock.Now()), true
	}
}

// withoutRejected removes the servers of versions that earlier moves have rejected.
// Servers whose version was only replaced by a later order remain if no others could
// take the traffic that does not go to the target.
func withoutRejected(stage routing.Stage, candidates []candidate) []candidate {
	if len(stage.Rejected) == 0 {
		return candidates
	}
	accepted := filterCandidates(candidates, func(c *candidate) bool {
		_, rejected := stage.Rejected.Find(c.server)
		return !rejected
	})
	if slices.ContainsFunc(accepted, func(c candidate) bool {
		return c.server.Version != stage.Target || stage.Phase == routing.PhaseCompleted
	}) {
		return accepted
	}
	return filterCandidates(candidates, func(c *candidate) bool {
		rejection, rejected := stage.Rejected.Find(c.server)
		return !rejected || !rejection.Withdrawn
	})
}

// handleSetStage puts a stage in force. The view with its order may arrive later; a
// stage of an earlier order is out of date.
func (t *Task) handleSetStage(message SetStage) {
	state := t.moveOf(message.Stage.Service)
	switch {
	case state == nil || state.stage.Order < message.Stage.Order:
		order := routing.Move{Service: message.Stage.Service, Target: message.Stage.Target, Order: message.Stage.Order}
		message.Stage.Rejected = message.Stage.Rejected.Or(t.lastStage(order.Service).Succeed(order, t.view.Servers).Rejected)
		t.moves[order.Service] = &moveState{stage: message.Stage, samples: map[string]*moves.Versions{}}
	case state.stage.Order == message.Stage.Order:
		message.Stage.Rejected = message.Stage.Rejected.Or(state.stage.Rejected)
		state.stage = message.Stage
	}
}

// handleSamples returns the samples to the mover, with the attempts that are waiting.
func (t *Task) handleSamples(message GetSamples) {
	routes := map[string]moves.Versions{}
	state := t.moveOf(message.Service)
	if state == nil {
		message.Reply.Send(routes)
		return
	}
	for route, samples := range state.samples {
		routes[route] = samples.Clone()
	}
	now := t.Clock.Now()
	for _, granted := range t.leases {
		if granted.service != message.Service || granted.skipsStep() {
			continue
		}
		key := state.routeKey(granted.route)
		samples := routes[key]
		stepOf(sampleOf(&samples, state, granted), granted).Waiting.Add(now.Sub(granted.stepStarted))
		routes[key] = samples
	}
	message.Reply.Send(routes)
}

// skipsStep reports whether the time of the attempt's current step says nothing about
// the version: an attempt that continues from a copy of a cache reads no prompt.
func (l leaseState) skipsStep() bool { return l.fromCopy && !l.decoding }

// sampleOf returns the sample of the version that serves the attempt. Attempts on a
// rejected version, which may have begun before its rejection, are not recorded: the
// target would be compared with them.
func sampleOf(versions *moves.Versions, state *moveState, granted leaseState) *moves.Sample {
	server := granted.server.server
	if _, rejected := state.stage.Rejected.Find(server); rejected && server.Version != state.stage.Target {
		return &moves.Sample{}
	}
	if server.Version == state.stage.Target {
		return &versions.Target
	}
	return &versions.Other
}

// stepOf returns the step of the response that the attempt is waiting for.
func stepOf(sample *moves.Sample, granted leaseState) *moves.Step {
	if granted.decoding {
		return &sample.Pace
	}
	return &sample.Answers
}

// recordSent counts an attempt for the version of its server.
func (t *Task) recordSent(granted leaseState) {
	state := t.moveOf(granted.service)
	if state == nil {
		return
	}
	sample := sampleOf(state.routeSamples(granted.route), state, granted)
	sample.Sent++
	if granted.retry {
		sample.Retried++
	}
}

// recordAnswer counts the time to the first event of an attempt. It is counted when the
// event arrives, since a stream may run for many seconds after it, and those of a slow
// version run longest.
func (t *Task) recordAnswer(granted leaseState) {
	t.recordStep(granted, func(step *moves.Step, took time.Duration) { step.Done.Add(took) })
}

// handleEventsSent counts the time that further events of an attempt took.
func (t *Task) handleEventsSent(message EventsSent) {
	granted, found := t.leases[message.Lease]
	if !found || !granted.decoding {
		return
	}
	t.recordStep(granted, func(step *moves.Step, took time.Duration) { step.Done.Add(took) })
	granted.stepStarted = t.Clock.Now()
	t.leases[message.Lease] = granted
}

// recordStep passes the attempt's step and the time that it has taken to record.
func (t *Task) recordStep(granted leaseState, record func(step *moves.Step, took time.Duration)) {
	state := t.moveOf(granted.service)
	if state == nil || granted.skipsStep() {
		return
	}
	sample := sampleOf(state.routeSamples(granted.route), state, granted)
	record(stepOf(sample, granted), t.Clock.Since(granted.stepStarted))
}

// recordEnd counts the outcome of an attempt for the version of its server.
func (t *Task) recordEnd(granted leaseState, outcome Outcome, latency time.Duration) {
	state := t.moveOf(granted.service)
	if state == nil {
		return
	}
	sample := sampleOf(state.routeSamples(granted.route), state, granted)
	switch outcome {
	case OutcomeUnreachable, OutcomeMisdirected:
		// The attempt did not reach the server.
		sample.Sent = max(sample.Sent-1, 0)
		if granted.retry {
			sample.Retried = max(sample.Retried-1, 0)
		}
		return
	case OutcomeNone:
		// The caller left. How long it had waited may still show a slow version.
		t.recordStep(granted, func(step *moves.Step, waited time.Duration) { step.Left.Add(waited) })
		return
	}
	if outcome == OutcomeSuccess && !granted.decoding {
		// A complete response, or a stream whose first event was not reported.
		sample.Answers.Done.Add(latency)
	}
	switch {
	case granted.retry:
	case outcome == OutcomeSuccess:
		sample.Count++
		sample.LatencySum += latency
	default:
		sample.Count++
		sample.Failed++
		if outcome == OutcomeFailed {
			sample.AddReported(reportedBy(state, granted))
		}
	}
}

// reportedBy returns the server to which a reported failure is counted. Only those of the
// target are told apart.
func reportedBy(state *moveState, granted leaseState) string {
	if server := granted.server.server; server.Version == state.stage.Target {
		return server.ID
	}
	return moves.AnyServer
}

// filterVersions removes the servers of versions that the request may not use.
func filterVersions(stage routing.Stage, point float64, candidates []candidate) []candidate {
	allowed := filterCandidates(candidates, func(c *candidate) bool { return stage.Allows(c.server.Version, point) })
	if len(allowed) > 0 || stage.Phase == routing.PhaseWithdrawn {
		return allowed
	}
	if stage.Phase == routing.PhaseActive {
		// If no server of the target has started yet, the other versions take its
		// share. If all servers of the other versions have failed, none remains.
		return filterCandidates(candidates, func(c *candidate) bool { return c.server.Version != stage.Target })
	}
	return candidates
}
