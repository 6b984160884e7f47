package dispatch

import (
	"context"
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
	Reply   task.Reply[VersionSamples]
}

// VersionSamples are the outcomes of the target version and of all other
// versions.
type VersionSamples struct {
	Target moves.Sample
	Other  moves.Sample
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
func (t Traffic) Samples(ctx context.Context, service string) (target, other moves.Sample, err error) {
	got, err := task.Call(ctx, t.Dispatcher, func(reply task.Reply[VersionSamples]) Message {
		return GetSamples{Service: service, Reply: reply}
	})
	return got.Target, got.Other, err
}

// moveState is the dispatcher's state of one service's version move.
type moveState struct {
	stage   routing.Stage
	samples VersionSamples
}

// stageOf returns the stage in force for the service. While an order has no
// stage yet, the target gets no traffic.
func (t *Task) stageOf(service string) (routing.Stage, bool) {
	order, ordered := t.view.Moves[service]
	if !ordered {
		return routing.Stage{}, false
	}
	state := t.moves[service]
	if state == nil || state.stage.Order != order.Order {
		return routing.Stage{Service: service, Target: order.Target, Order: order.Order}, true
	}
	return state.stage, true
}

// handleSetStage puts a stage in force; a new order discards the samples of the
// previous one.
func (t *Task) handleSetStage(message SetStage) {
	state := t.moves[message.Stage.Service]
	if state == nil || state.stage.Order != message.Stage.Order {
		state = &moveState{}
		t.moves[message.Stage.Service] = state
	}
	state.stage = message.Stage
}

// handleSamples returns the counted outcomes to the mover.
func (t *Task) handleSamples(message GetSamples) {
	var samples VersionSamples
	if state := t.moves[message.Service]; state != nil {
		samples = state.samples
	}
	message.Reply.Send(samples)
}

// recordSample counts an attempt's outcome for the version of its server.
func (t *Task) recordSample(server *routing.Server, outcome Outcome, latency time.Duration) {
	state := t.moves[server.Service]
	if state == nil || outcome == OutcomeNone || outcome == OutcomeUnreachable || outcome == OutcomeMisdirected {
		return
	}
	sample := &state.samples.Other
	if server.Version == state.stage.Target {
		sample = &state.samples.Target
	}
	sample.Count++
	if outcome != OutcomeSuccess {
		sample.Failed++
		return
	}
	sample.LatencySum += latency
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
