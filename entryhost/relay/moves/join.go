package moves

import (
	"context"

	"github.com/lentilpoint/lentilpoint/eventcode"
)

// joinMoves puts in force what other hosts follow of the moves that were under way when
// this host started. It would otherwise send requests to rejected versions until its first
// round, and for as long as the store does not answer. It returns the moves that are left
// for a round; this host has no evidence on the others yet.
func (m *Mover) joinMoves(ctx context.Context, active map[string]move) map[string]move {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	known := make(map[string]move, len(active))
	for service, move := range active {
		if !move.isJoining {
			known[service] = move
			continue
		}
		state, err := m.Peers.State(ctx, service)
		if err != nil || state.Order == 0 {
			m.Logger.Info("no peer told the state of a version move; reading the store", eventcode.RelayMoveRound.Attr(), "service", service, "error", err)
			state, err = m.Store.ReadState(ctx, service)
		}
		if err == nil {
			err = m.join(ctx, state, &move)
		}
		if err != nil {
			m.Logger.Warn("version move not joined; its next round reads the state", eventcode.RelayMoveRound.Attr(), "service", service, "error", err)
		}
		move.isJoining = false
		active[service] = move
	}
	return known
}

// join puts a state in force, or what the state of an earlier order has shown.
func (m *Mover) join(ctx context.Context, state State, move *move) error {
	switch {
	case state.Order > move.order.Order:
		return ErrNewerOrder
	case state.Order == move.order.Order:
		return m.applyStage(ctx, state, move)
	}
	stage := state.stage().Succeed(move.order, move.servers)
	move.rejected = stage.Rejected
	return m.Traffic.SetStage(ctx, stage)
}
