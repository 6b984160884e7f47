package moves

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/catalog"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/task"
)

// Traffic is the dispatcher as the mover sees it.
type Traffic interface {
	// SetStage puts a stage in force on this host.
	SetStage(ctx context.Context, stage routing.Stage) error
	// Samples returns what this host saw of both versions in the move.
	Samples(ctx context.Context, service string) (target, other Sample, err error)
}

// Parameters are what the mover is built from.
type Parameters struct {
	// Self is the address of this host among the entry hosts.
	Self    string
	Store   Store
	Traffic Traffic
	Terms   Terms
	Clock   clockwork.Clock
	Metrics *metrics.Set
	Logger  *slog.Logger
}

// move is one order that this host carries out.
type move struct {
	order routing.Move
	since time.Time
	// state is the last that was read, seen since when its beat stands still.
	state State
	still int
	phase routing.Phase
}

// Mover is the task that carries out the moves of all services.
type Mover struct {
	Parameters
	views task.Mailbox[*catalog.View]
	moves map[string]*move
}

// NewMover returns the task.
func NewMover(parameters Parameters) *Mover {
	return &Mover{Parameters: parameters, views: task.NewMailbox[*catalog.View](viewsSize), moves: map[string]*move{}}
}

// Views takes views of the catalog.
func (m *Mover) Views() task.Mailbox[*catalog.View] { return m.views }

// String names the task in the logs.
func (m *Mover) String() string { return "mover" }

// Serve carries out moves until the context ends. Without an active move it
// makes no call to the store.
func (m *Mover) Serve(ctx context.Context) error {
	var round <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case view := <-m.views.C():
			m.take(view)
		case <-round:
			m.rounds(ctx)
		}
		round = nil
		if m.active() {
			round = m.Clock.After(roundInterval)
		}
	}
}

// take begins the moves that are new and forgets those that were dropped.
func (m *Mover) take(view *catalog.View) {
	for service, order := range view.Moves {
		if known, found := m.moves[service]; found && known.order.Order == order.Order {
			continue
		}
		m.moves[service] = &move{order: order, since: m.Clock.Now()}
		m.Logger.Info("version move ordered", eventcode.RelayMoveOrdered.Attr(), "service", service, "target", order.Target, "order", order.Order, "duration_ms", order.Duration.Milliseconds())
	}
	for service := range m.moves {
		if _, found := view.Moves[service]; !found {
			delete(m.moves, service)
		}
	}
}

func (m *Mover) active() bool {
	for _, move := range m.moves {
		if move.phase != routing.PhaseCompleted && move.phase != routing.PhaseWithdrawn {
			return true
		}
	}
	return false
}

// rounds runs one round of each active move.
func (m *Mover) rounds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for service, move := range m.moves {
		if move.phase == routing.PhaseCompleted || move.phase == routing.PhaseWithdrawn {
			continue
		}
		if err := m.round(ctx, service, move); err != nil {
			m.Metrics.GetOrCreateCounter("lentilpoint_relay_move_round_failures_total").Inc()
			m.Logger.Warn("round of a version move failed; the stage in force stays", eventcode.RelayMoveRound.Attr(), "service", service, "error", err)
		}
	}
}

// round reports this host's evidence, decides if this host holds the move, and
// puts the agreed stage in force here.
func (m *Mover) round(ctx context.Context, service string, move *move) error {
	state, err := m.Store.ReadState(ctx, service)
	if err != nil {
		return err
	}
	if state.Order == move.order.Order && state.Beat == move.state.Beat {
		move.still++
	} else {
		move.still = 0
	}
	target, other, err := m.Traffic.Samples(ctx, service)
	if err != nil {
		return err
	}
	if err := m.Store.WriteEvidence(ctx, service, Evidence{Host: m.Self, Order: move.order.Order, Target: target, Other: other}); err != nil {
		return err
	}
	if m.holds(state, move) {
		if state, err = m.decide(ctx, service, state, move); err != nil {
			return err
		}
	}
	return m.follow(ctx, state, move)
}

// holds reports whether this host decides on the move: it holds it, nobody does,
// or the holder has stopped.
func (m *Mover) holds(state State, move *move) bool {
	if state.Order != move.order.Order {
		return true
	}
	terminal := state.Phase == routing.PhaseCompleted || state.Phase == routing.PhaseWithdrawn
	return !terminal && (state.Holder == m.Self || move.still >= holderRounds)
}

// decide writes the next state under the condition that nobody else did.
func (m *Mover) decide(ctx context.Context, service string, state State, move *move) (State, error) {
	evidence, err := m.Store.ReadEvidence(ctx, service)
	if err != nil {
		return state, err
	}
	target, other := sum(evidence, move.order.Order)
	if state.Order != move.order.Order {
		state = State{Service: service, Target: move.order.Target, Order: move.order.Order, Phase: routing.PhaseActive, Version: state.Version}
	}
	state.Holder = m.Self
	proposed := next(state, target, other, m.Clock.Since(move.since), move.order.Duration, m.Terms)
	err = m.Store.WriteState(ctx, proposed)
	if errors.Is(err, ErrConflict) {
		return m.Store.ReadState(ctx, service)
	}
	if err != nil {
		// The write may have happened; the next round reads it back.
		return state, err
	}
	m.Logger.Info("version move decided", eventcode.RelayMoveDecided.Attr(), "service", service, "target", proposed.Target, "phase", int(proposed.Phase),
		"share", proposed.Share, "target_count", target.Count, "target_failed", target.Failed, "target_mean_ms", target.mean().Milliseconds(),
		"other_count", other.Count, "other_failed", other.Failed, "other_mean_ms", other.mean().Milliseconds())
	return proposed, nil
}

// follow puts the stage in force on this host.
func (m *Mover) follow(ctx context.Context, state State, move *move) error {
	move.state = state
	if state.Order != move.order.Order {
		return nil
	}
	if err := m.Traffic.SetStage(ctx, routing.Stage{Service: state.Service, Target: state.Target, Order: state.Order, Phase: state.Phase, Share: state.Share}); err != nil {
		return err
	}
	move.phase = state.Phase
	return nil
}
