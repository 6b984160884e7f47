package moves

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/catalog"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/series"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/task"
)

// Traffic is the part of the dispatcher that the mover uses.
type Traffic interface {
	// SetStage puts a stage in force on this host.
	SetStage(ctx context.Context, stage routing.Stage) error
	// Samples returns this host's samples of both versions in the service's move, by
	// route.
	Samples(ctx context.Context, service string) (map[string]Versions, error)
}

// Parameters holds the dependencies of a Mover.
type Parameters struct {
	// Self is the peer address of this host.
	Self    string
	Store   Store
	Peers   Peers
	Traffic Traffic
	Limits  ExposureLimits
	Clock   clockwork.Clock
	Metrics *metrics.Set
	Logger  *slog.Logger
}

// move is the progress of one order on this host.
type move struct {
	order     routing.Move
	startedAt time.Time
	// latestStart is the latest start of the target's servers that this host knew.
	latestStart time.Duration
	// servers are the registered servers.
	servers routing.Servers
	// rejected holds what this host knows from earlier moves; see routing.Rejections.
	rejected routing.Rejections
	// isJoining is set until the first round if the move was ordered before this host
	// started.
	isJoining bool
	// state is the last state that this host followed.
	state State
	// staleRounds counts the consecutive rounds without a new heartbeat.
	staleRounds int
	// failedRounds counts the consecutive failed rounds.
	failedRounds int
	// phase is the phase in force on this host.
	phase routing.Phase
	// history holds the observations of the last recentRounds rounds in which this host
	// decided, oldest first.
	history []Observation
}

// Mover is the task that carries out the moves of all services. The store may take
// long to answer, so each round runs in a goroutine of its own, with copies of the
// moves; the task takes views meanwhile.
type Mover struct {
	Parameters
	views    task.Mailbox[*catalog.View]
	requests task.Mailbox[StateRequest]
	moves    map[string]*move
	// hasOrders is set once the operator's orders were read.
	hasOrders bool
	// rounds receives the moves after a round; at most one round runs.
	rounds chan map[string]move
}

// NewMover returns a mover without moves; it receives them through Views.
func NewMover(parameters Parameters) *Mover {
	return &Mover{
		Parameters: parameters, views: task.NewMailbox[*catalog.View](viewsCapacity), requests: task.NewMailbox[StateRequest](requestsCapacity),
		moves: map[string]*move{}, rounds: make(chan map[string]move, 1),
	}
}

// Views receives the views of the catalog.
func (m *Mover) Views() task.Mailbox[*catalog.View] { return m.views }

// Requests receives requests for the states that this host follows.
func (m *Mover) Requests() task.Mailbox[StateRequest] { return m.requests }

// String names the task in the logs.
func (m *Mover) String() string { return "mover" }

// Serve carries out moves until the context ends. It calls the store only while a
// move is active.
func (m *Mover) Serve(ctx context.Context) error {
	var nextRound <-chan time.Time
	running := false
	for {
		select {
		case <-ctx.Done():
			if running {
				// The round ends with the context.
				<-m.rounds
			}
			return nil
		case view := <-m.views.C():
			m.updateMoves(view)
		case request := <-m.requests.C():
			m.handleStateRequest(request)
		case <-nextRound:
			nextRound, running = nil, true
			go m.runRounds(ctx, m.activeMoves())
		case after := <-m.rounds:
			running = false
			m.recordRound(after)
		}
		// A view must not restart the timer: views that arrive more often than
		// roundInterval would then postpone the round for as long as they come.
		if nextRound == nil && !running && len(m.activeMoves()) > 0 {
			nextRound = m.Clock.After(m.roundDelay())
		}
	}
}

// roundDelay returns the time until the next round. After a restart this host lacks what
// the other hosts know of earlier moves, so it does not wait.
func (m *Mover) roundDelay() time.Duration {
	for _, move := range m.moves {
		if move.isJoining {
			return 0
		}
	}
	delay := roundInterval
	for _, move := range m.moves {
		if untilReport := move.untilLoadTestReport(m.Clock.Now()); untilReport > 0 {
			delay = min(delay, untilReport)
		}
	}
	return delay
}

// untilLoadTestReport returns the time until the round in which this host reports what the
// load test has shown.
func (m *move) untilLoadTestReport(now time.Time) time.Duration {
	if m.state.Order != m.order.Order {
		return 0
	}
	return m.state.LoadTest.period(m.startedAt).Until.Add(loadTestRoundDelay).Sub(now)
}

// handleStateRequest answers with the state that this host follows, or a zero State.
func (m *Mover) handleStateRequest(request StateRequest) {
	var followed State
	if known, found := m.moves[request.Service]; found {
		followed = known.state
	}
	request.Reply.Send(followed)
}

// updateMoves starts new moves and removes those that are no longer ordered.
func (m *Mover) updateMoves(view *catalog.View) {
	for service, order := range view.Moves {
		known, found := m.moves[service]
		if found && known.order.Order == order.Order {
			known.noteServers(view)
			continue
		}
		next := &move{order: order, startedAt: m.Clock.Now(), isJoining: !m.hasOrders}
		if found {
			next.rejected = known.followed().Succeed(order, view.Servers).Rejected
		}
		next.noteServers(view)
		m.moves[service] = next
		m.Logger.Info("version move ordered", eventcode.RelayMoveOrdered.Attr(), "service", service, "target", order.Target, "order", order.Order, "duration_ms", order.Duration.Milliseconds())
	}
	m.hasOrders = m.hasOrders || view.Config != nil
	for service := range m.moves {
		if _, found := view.Moves[service]; !found {
			delete(m.moves, service)
		}
	}
}

// noteServers updates what this host knows of the servers.
func (m *move) noteServers(view *catalog.View) {
	m.servers = view.Servers
	for _, servers := range []routing.Servers{view.Servers, view.Superseded} {
		m.latestStart = max(m.latestStart, servers.LatestStart(m.order.Service, m.order.Target))
	}
}

// followed returns the stage of the move that this host followed last.
func (m *move) followed() routing.Stage {
	stage := routing.Stage{Service: m.order.Service, Target: m.order.Target, Order: m.order.Order}
	if m.state.Order == m.order.Order {
		stage = m.state.stage()
	}
	stage.Rejected = stage.Rejected.Or(m.rejected)
	return stage
}

// activeMoves returns copies of the moves that have not ended on this host.
func (m *Mover) activeMoves() map[string]move {
	active := map[string]move{}
	for service, move := range m.moves {
		if move.phase != routing.PhaseCompleted && move.phase != routing.PhaseWithdrawn {
			active[service] = *move
		}
	}
	return active
}

// recordRound takes over the progress of the moves after a round, except for those
// that were ordered anew meanwhile.
func (m *Mover) recordRound(after map[string]move) {
	for service, move := range after {
		if known, found := m.moves[service]; found && known.order.Order == move.order.Order {
			move.latestStart, move.servers = known.latestStart, known.servers
			*known = move
		}
	}
}

// runRounds runs one round of each active move within roundsTimeout, outside of the
// task's goroutine, and sends the moves after it to the task.
func (m *Mover) runRounds(taskCtx context.Context, active map[string]move) {
	ready := m.joinMoves(taskCtx, active)
	ctx, cancel := context.WithTimeout(taskCtx, roundsTimeout)
	defer cancel()
	for service, move := range ready {
		err := m.runRound(ctx, service, &move)
		if err == nil {
			move.failedRounds = 0
		} else {
			move.failedRounds++
			m.Metrics.GetOrCreateCounter("lentilpoint_relay_move_round_failures_total").Inc()
			m.Logger.Warn("version move round failed; keeping the current stage", eventcode.RelayMoveRound.Attr(), "service", service, "error", err)
		}
		if move.failedRounds == maxFailedRounds {
			m.pauseTrial(taskCtx, service, &move)
		}
		active[service] = move
	}
	m.rounds <- active
}

// pauseTrial reduces the target's share on this host to the initial one. While the store
// cannot be reached, no host withdraws a faulty target, so none may get more. In the
// handover the old servers may have stopped since, so the traffic stays on the target.
func (m *Mover) pauseTrial(ctx context.Context, service string, move *move) {
	if move.state.Order != move.order.Order || move.state.Phase != routing.PhaseActive || move.state.Handover > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, roundsTimeout)
	defer cancel()
	paused := move.state
	paused.Share, paused.RouteShares, paused.LoadTest = min(paused.Share, initialShare), nil, LoadTest{}
	m.Logger.Warn("version move paused; the store cannot be reached", eventcode.RelayMovePaused.Attr(), "service", service, "target", paused.Target, "share", paused.Share)
	if err := m.applyStage(ctx, paused, move); err != nil {
		m.Logger.Error("paused stage not delivered to the dispatcher", eventcode.RelayMoveRound.Attr(), "service", service, "error", err)
	}
}

// runRound writes this host's evidence, decides on the next state if this host is
// the holder, and applies the current stage on this host.
func (m *Mover) runRound(ctx context.Context, service string, move *move) error {
	state, err := m.Store.ReadState(ctx, service)
	if err != nil {
		return err
	}
	if state.Order > move.order.Order {
		return ErrNewerOrder
	}
	move.alignStart(state, m.Clock.Now())
	if state.Order == move.order.Order && state.Heartbeat == move.state.Heartbeat {
		move.staleRounds++
	} else {
		move.staleRounds = 0
	}
	routes, err := m.Traffic.Samples(ctx, service)
	if err != nil {
		return err
	}
	if err := m.Store.WriteEvidence(ctx, service, NewEvidence(m.Self, move.order.Order, routes)); err != nil {
		return err
	}
	if m.isHolder(state, move) {
		if state, err = m.decideState(ctx, service, state, move); err != nil {
			return err
		}
	}
	return m.applyStage(ctx, state, move)
}

// isHolder reports whether this host decides on the move: it is the holder, the
// order has no state yet, or the holder's heartbeat has stopped.
func (m *Mover) isHolder(state State, move *move) bool {
	if state.Order != move.order.Order {
		return true
	}
	terminal := state.Phase == routing.PhaseCompleted || state.Phase == routing.PhaseWithdrawn
	return !terminal && (state.Holder == m.Self || move.staleRounds >= holderTimeoutRounds)
}

// decideState writes the next state, or reads it again if another host has written it.
func (m *Mover) decideState(ctx context.Context, service string, state State, move *move) (State, error) {
	evidence, err := m.Store.ReadEvidence(ctx, service)
	if err != nil {
		return state, err
	}
	seen := sumEvidence(evidence, move.order.Order)
	if state.Order != move.order.Order {
		state = firstState(state, move)
	}
	state.Rejected = state.Rejected.Or(move.rejected)
	state.Holder = m.Self
	proposed := nextState(state, move.observe(seen, m.Clock.Now()), m.Limits)
	err = m.Store.WriteState(ctx, proposed)
	if errors.Is(err, ErrConflict) {
		return m.Store.ReadState(ctx, service)
	}
	if err != nil {
		// The write may have taken effect; the next round reads the state.
		return state, err
	}
	m.logDecision(proposed, seen)
	if result := proposed.result(); result != "" {
		m.Metrics.GetOrCreateCounter(series.Name("lentilpoint_relay_moves_ended_total", "service", service, "result", result)).Inc()
	}
	return proposed, nil
}

// firstState returns the state in which the move begins, with what the earlier moves of
// the service have shown.
func firstState(before State, move *move) State {
	earlier := before.stage()
	earlier.Rejected = earlier.Rejected.Or(move.rejected)
	return State{
		Service: move.order.Service, Target: move.order.Target, Order: move.order.Order, Phase: routing.PhaseActive,
		Rejected: earlier.Succeed(move.order, move.servers).Rejected, Version: before.Version,
	}
}

// alignStart moves the start of the move back if the state shows that it was ordered
// earlier than this host knows, for example because this host has restarted.
func (m *move) alignStart(state State, now time.Time) {
	if startedAt := now.Add(-state.Elapsed); state.Order == m.order.Order && startedAt.Before(m.startedAt) {
		m.startedAt = startedAt
	}
}

// observe records an observation and returns it with what is new since the rounds
// before. While there are too few rounds, nothing is recent.
func (m *move) observe(seen Observation, now time.Time) progress {
	p := progress{elapsed: now.Sub(m.startedAt), duration: m.order.Duration, seen: seen, latestStart: m.latestStart, targetServers: m.servers.Count(m.order.Service, m.order.Target)}
	if len(m.history) == recentRounds {
		p.recent = seen.since(m.history[0])
		m.history = m.history[1:]
	}
	m.history = append(slices.Clip(m.history), seen)
	return p
}

// logDecision logs a state that this host has written and the evidence for it.
func (m *Mover) logDecision(decided State, seen Observation) {
	total := seen.total()
	rates := make([]string, 0, len(seen))
	for _, c := range seen.compare() {
		if c.tally.count > 0 {
			rates = append(rates, c.String())
		}
	}
	m.Logger.Info("version move decided", eventcode.RelayMoveDecided.Attr(), "service", decided.Service, "target", decided.Target, "phase", int(decided.Phase),
		"share", decided.Share, "rejected", decided.Rejected, "handover", decided.Handover, "route_shares", decided.RouteShares, "reason", decided.Reason,
		"load_test_from_ms", decided.LoadTest.From.Milliseconds(), "load_test_until_ms", decided.LoadTest.Until.Milliseconds(),
		"target_sent", total.Target.sent(), "target_answered", total.Target.answered(), "target_waiting", total.Target.Answers.Waiting.Count(),
		"target_count", total.Target.Count, "target_failed", total.Target.Failed, "target_mean_ms", total.Target.meanLatency().Milliseconds(),
		"other_sent", total.Other.sent(), "other_answered", total.Other.answered(), "other_waiting", total.Other.Answers.Waiting.Count(),
		"other_count", total.Other.Count, "other_failed", total.Other.Failed, "other_mean_ms", total.Other.meanLatency().Milliseconds(), "rates", rates)
}

// applyStage applies the stage of the state on this host.
func (m *Mover) applyStage(ctx context.Context, state State, move *move) error {
	move.state = state
	if state.Order != move.order.Order {
		return nil
	}
	stage := state.stage()
	stage.LoadTest = state.LoadTest.period(move.startedAt)
	if err := m.Traffic.SetStage(ctx, stage); err != nil {
		return err
	}
	move.phase = state.Phase
	return nil
}
