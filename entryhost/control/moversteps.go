package control

import (
	"context"
	"fmt"

	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
)

// decideMoveStep decides the next step of the running move and commits it.
func (m *moverTask) decideMoveStep(ctx context.Context, service model.Service, move model.Move, views []ServerView) {
	evidence := m.moveEvidence(move)
	m.trackStage(service, move, evidence)
	current := m.policy.Plan.CurrentStage(service, move)
	input := StepInput{
		Now: m.clock.Now(), Move: move, Service: service, Since: m.stage.inForceSince,
		Needed:  RequiredServers(m.policy.Orders, m.policy.Plan.StageShare(current+1), countUsable(views)),
		Samples: evidence.Samples - m.stage.samples,
		Verdict: evidence.Verdict, Suspicious: evidence.Suspicious,
	}
	for _, view := range views {
		if view.Usable && view.Has(move.To) {
			input.Ready++
		}
	}
	if input.Needed == 0 {
		// Without a usable server no version counts as ready.
		input.Needed = 1
	}
	decision := DecideStep(m.policy.Plan, input)
	if decision.Kind == StepStay || !m.holds() {
		return
	}
	m.commitStep(ctx, service, move, evidence, decision)
}

func (m *moverTask) moveEvidence(move model.Move) admission.EvidenceReport {
	if m.evidence.Move != move.ID {
		return admission.EvidenceReport{Service: m.service, Move: move.ID}
	}
	return m.evidence
}

// trackStage records when a stage was first seen in force. A new holder starts
// the time of the stage from zero.
func (m *moverTask) trackStage(service model.Service, move model.Move, evidence admission.EvidenceReport) {
	current := m.policy.Plan.CurrentStage(service, move)
	if m.stage.move == move.ID && m.stage.stage == current {
		return
	}
	m.stage = stageProgress{move: move.ID, stage: current, inForceSince: m.clock.Now(), samples: evidence.Samples}
}

// commitStep commits a decision as a configuration revision.
func (m *moverTask) commitStep(ctx context.Context, service model.Service, move model.Move, evidence admission.EvidenceReport, decision Step) {
	ctx, cancel := m.writeContext(ctx)
	defer cancel()
	event := m.applyStep(&service, &move, evidence, decision)
	base := m.configuration.Revision
	err := m.committer.Commit(ctx, Commit{
		Current: m.configuration, ID: m.commitID(base), Author: "control on " + string(m.owner.Host), Note: event.Cause,
		Changes:    []config.Change{{PutService: &service}, {PutMove: &move}},
		Conditions: m.conditions(),
	})
	if err != nil {
		m.logger.Warn("move not committed", eventcode.MoveNotCommitted.Attr(), "move", move.ID, "error", err)
		return
	}
	m.awaitedRevision = base + 1
	m.awaitDeadline = m.clock.Now().Add(m.policy.SettleTimeout)
	m.logger.Info("move step committed", event.Code.Attr(), "move", move.ID, "stage", move.Stage, "state", move.State, "cause", event.Cause)
	m.recorder.Record(event)
}

// applyStep changes the service and the move as decided and returns the event to
// record once the change is committed.
func (m *moverTask) applyStep(service *model.Service, move *model.Move, evidence admission.EvidenceReport, decision Step) events.Event {
	event := events.Event{Move: move.ID, Service: service.Name, Version: move.To}
	switch decision.Kind {
	case StepAdvance:
		share := m.policy.Plan.StageShare(decision.Stage)
		service.Shares = MoveShares(*service, *move, share)
		move.Stage = decision.Stage
		event.Code = eventcode.MoveAdvanced
		event.Cause = fmt.Sprintf("Version %s now receives %.1f%% of the traffic, because no fault showed in %d requests so far.",
			move.To, float64(share)*100/model.FullShare, evidence.Samples)
	case StepWithdraw:
		service.Shares = MoveShares(*service, *move, 0)
		move.State, move.Reason, move.Evidence = model.MoveWithdrawn, decision.Reason, evidence.Routes
		event.Code = eventcode.MoveWithdrawn
		event.Cause = fmt.Sprintf("All traffic went back to version %s, because %s.", move.From, decision.Reason)
	case StepFinish:
		move.State, move.Reason, move.Evidence = model.MoveDone, decision.Reason, evidence.Routes
		event.Code = eventcode.MoveDone
		event.Cause = fmt.Sprintf("The move to version %s is done, because %s.", move.To, decision.Reason)
	}
	return event
}
