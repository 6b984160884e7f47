package config

import (
	"fmt"
	"slices"

	"github.com/lentilpoint/lentilpoint/model"
)

var moveStates = []model.MoveState{model.MoveRunning, model.MoveDone, model.MoveWithdrawn}

func (v *validation) checkMove(field string, move model.Move) {
	v.checkName(field+" id", string(move.ID))
	v.checkName(field+" to", string(move.To))
	if !slices.Contains(moveStates, move.State) {
		v.addProblem(field+" state", fmt.Sprintf("the state %q does not exist", move.State), "use running, done or withdrawn")
	}
	if move.From == move.To {
		v.addProblem(field+" to", "it names the version that is in use", "name another version")
	}
	if !move.Deadline.After(move.Started) || move.Deadline.Sub(move.Started) > MaxMoveDuration {
		v.addProblem(field+" deadline", "it is not between the start and "+MaxMoveDuration.String()+" later", "name a later deadline within that time")
	}
	if move.Stage < 0 {
		v.addProblem(field+" stage", "it is negative", "use 0 for the first stage")
	}
	service, found := v.next.Services[move.Service]
	if !found {
		v.addProblem(field+" service", fmt.Sprintf("there is no service %q", move.Service), "check the name with: lentilpoint services list")
	}
	before, exists := v.current.Moves[move.ID]
	if exists {
		v.checkMoveChange(field, before, move)
		return
	}
	if found && !service.HasVersion(move.From) {
		v.addProblem(field+" from", fmt.Sprintf("version %s is not in use", move.From), "name a version that has a share of the service")
	}
}

// checkMoveChange refuses to change the service, versions or start of a move, or
// to restart one that has ended.
func (v *validation) checkMoveChange(field string, before, after model.Move) {
	if before.Service != after.Service || before.From != after.From || before.To != after.To || !before.Started.Equal(after.Started) {
		v.addProblem(field, "service, versions and start of a move cannot change", "cancel it and start another move")
	}
	if before.State != model.MoveRunning && before.State != after.State {
		v.addProblem(field+" state", fmt.Sprintf("the move has ended as %s", before.State), "start another move")
	}
}

// checkRunningMoves refuses two running moves of one service, because both would
// set its shares.
func (v *validation) checkRunningMoves() {
	running := make(map[model.ServiceName]model.MoveID)
	for _, change := range v.changes {
		if change.PutMove == nil || change.PutMove.State != model.MoveRunning {
			continue
		}
		for _, other := range v.next.Moves {
			if other.Service == change.PutMove.Service && other.State == model.MoveRunning && other.ID != change.PutMove.ID {
				running[other.Service] = other.ID
			}
		}
	}
	for service, other := range running {
		v.addProblem("service "+string(service), fmt.Sprintf("move %s is running", other), "wait for it, or run: lentilpoint moves cancel "+string(other))
	}
}
