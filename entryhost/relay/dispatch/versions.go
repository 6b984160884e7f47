package dispatch

import (
	"context"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/moves"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/task"
)

// SetStage puts the stage of a version move in force.
type SetStage struct {
	Stage routing.Stage
}

// Samples asks what was seen of both versions in a move.
type Samples struct {
	Service string
	Reply   task.Reply[VersionSamples]
}

// VersionSamples is what was seen of the target and of the other versions.
type VersionSamples struct {
	Target moves.Sample
	Other  moves.Sample
}

func (SetStage) isMessage() {}
func (Samples) isMessage()  {}

// Traffic lets the mover talk to the dispatcher. It implements moves.Traffic.
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
		return Samples{Service: service, Reply: reply}
	})
	return got.Target, got.Other, err
}

// versions is what the dispatcher knows of the move of one service.
type versions struct {
	stage   routing.Stage
	samples VersionSamples
}

// stageOf returns the stage in force for the service. An order that no stage was
// set for yet keeps the target without traffic.
func (t *Task) stageOf(service string) (routing.Stage, bool) {
	order, ordered := t.view.Moves[service]
	if !ordered {
		return routing.Stage{}, false
	}
	known := t.versions[service]
	if known == nil || known.stage.Order != order.Order {
		return routing.Stage{Service: service, Target: order.Target, Order: order.Order}, true
	}
	return known.stage, true
}

// setStage puts a stage in force; a new order starts with no evidence.
func (t *Task) setStage(message SetStage) {
	known := t.versions[message.Stage.Service]
	if known == nil || known.stage.Order != message.Stage.Order {
		known = &versions{}
		t.versions[message.Stage.Service] = known
	}
	known.stage = message.Stage
}

// answerSamples answers the mover.
func (t *Task) answerSamples(message Samples) {
	var samples VersionSamples
	if known := t.versions[message.Service]; known != nil {
		samples = known.samples
	}
	message.Reply.Send(samples)
}

// sample counts the outcome of an attempt for the version of its server.
func (t *Task) sample(server *routing.Server, outcome Outcome, took time.Duration) {
	known := t.versions[server.Service]
	if known == nil || outcome == OutcomeNone || outcome == OutcomeUnreachable || outcome == OutcomeMisdirected {
		return
	}
	sample := &known.samples.Other
	if server.Version == known.stage.Target {
		sample = &known.samples.Target
	}
	sample.Count++
	if outcome != OutcomeSuccess {
		sample.Failed++
		return
	}
	sample.LatencySum += took
}

// versionsAllowed removes the servers of versions that the request may not use.
func versionsAllowed(stage routing.Stage, point float64, candidates []candidate) []candidate {
	allowed := keep(candidates, func(c *candidate) bool { return stage.Allows(c.server.Version, point) })
	if len(allowed) > 0 || stage.Phase == routing.PhaseWithdrawn {
		return allowed
	}
	if stage.Phase == routing.PhaseActive {
		// Servers of the target may not have started yet, or the others all died.
		return keep(candidates, func(c *candidate) bool { return c.server.Version != stage.Target })
	}
	return candidates
}
