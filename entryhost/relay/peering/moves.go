package peering

import (
	"context"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/moves"
	"github.com/lentilpoint/lentilpoint/task"
)

const movesService = "Moves"

// Moves is the net/rpc service that tells the states of version moves that this host
// follows.
type Moves struct {
	mover task.Mailbox[moves.StateRequest]
}

// State sets followed to the state of the service's latest move, or to a zero State if
// this host follows none.
func (m *Moves) State(service string, followed *moves.State) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	state, err := task.Call(ctx, m.mover, func(reply task.Reply[moves.State]) moves.StateRequest {
		return moves.StateRequest{Service: service, Reply: reply}
	})
	*followed = state
	return err
}

// State implements moves.Peers. It asks several hosts in turn and returns the state of
// the latest order.
func (p *Peers) State(ctx context.Context, service string) (moves.State, error) {
	var latest moves.State
	addresses := peersToQuery(p.DataCentre, p.Self, p.Hosts(ctx), p.Seeds)
	var err error
	for i, address := range addresses {
		callContext, cancel := context.WithTimeout(ctx, timeSlice(ctx, len(addresses)-i))
		var followed moves.State
		callErr := call(callContext, address, movesService+".State", service, &followed)
		cancel()
		if callErr != nil {
			err = callErr
			continue
		}
		if followed.Order > latest.Order || followed.Order == latest.Order && followed.Heartbeat > latest.Heartbeat {
			latest = followed
		}
	}
	if latest.Order != 0 {
		return latest, nil
	}
	return latest, err
}
