package moves

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/catalog"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

// Guards against a holder that forgets which versions earlier moves have shown to be
// faulty, whichever host decides next.
var _ = Describe("what a move has shown about its target", func() {
	var store *standinStore
	var mover *Mover
	var peers *standinPeers
	var traffic standinTraffic
	registered := routing.Servers{
		"one": {ID: "one", Service: "engine", Version: "v1", StartedAt: time.Hour},
		"two": {ID: "two", Service: "engine", Version: "v2", StartedAt: 2 * time.Hour},
	}
	rejectedSecond := routing.Rejection{Version: "v2", Order: 7, Withdrawn: true, LatestStart: 2 * time.Hour}

	BeforeEach(func() {
		store = &standinStore{rounds: make(chan struct{}, 100), orders: make(chan uint64, 100), states: make(chan State, 100)}
		peers, traffic = &standinPeers{}, standinTraffic{stages: make(chan routing.Stage, 100)}
		mover = NewMover(Parameters{
			Self: "host", Store: store, Peers: peers, Traffic: traffic, Limits: ExposureLimits{Share: 0.1, Slack: 50},
			Clock: clockwork.NewFakeClock(), Metrics: metrics.NewSet(), Logger: slog.New(slog.DiscardHandler),
		})
	})
	// runsAlready makes the orders come after the start of the host.
	runsAlready := func() { mover.hasOrders = true }
	order := func(number uint64, target string) {
		mover.updateMoves(&catalog.View{Servers: registered, Moves: map[string]routing.Move{"engine": {Service: "engine", Target: target, Order: number, Duration: 10 * time.Second}}})
	}
	round := func(ctx context.Context) {
		mover.runRounds(ctx, mover.activeMoves())
		mover.recordRound(<-mover.rounds)
	}

	It("is part of the state of the withdrawn move, with the latest start of its servers", func() {
		state := State{Target: "v2", Order: 7, Phase: routing.PhaseActive}
		got := nextState(state, progress{elapsed: 9 * time.Second, duration: 10 * time.Second, latestStart: 2 * time.Hour}, limits)
		Expect(got.Phase).To(Equal(routing.PhaseWithdrawn))
		Expect(got.Rejected).To(Equal(routing.Rejections{rejectedSecond}))
	})

	It("is carried into the state of the next order by a host that did not see the earlier one", func(ctx SpecContext) {
		runsAlready()
		store.state = State{Service: "engine", Target: "v2", Order: 7, Phase: routing.PhaseWithdrawn, Rejected: routing.Rejections{rejectedSecond}}
		order(8, "v3")
		round(ctx)
		Expect((<-store.states).Rejected).To(Equal(routing.Rejections{rejectedSecond}))
	})

	It("is carried on by a host that saw it if the state of a host of an earlier build lacks it", func(ctx SpecContext) {
		runsAlready()
		store.state = State{Service: "engine", Target: "v2", Order: 7, Phase: routing.PhaseWithdrawn, Rejected: routing.Rejections{rejectedSecond}}
		order(7, "v2")
		round(ctx)
		order(8, "v3")
		store.state = State{Service: "engine", Target: "v3", Order: 8, Phase: routing.PhaseActive, Holder: "host"}
		round(ctx)
		Expect((<-store.states).Rejected).To(Equal(routing.Rejections{rejectedSecond}))
	})

	It("rejects a target that a later order replaced before it was proven", func(ctx SpecContext) {
		runsAlready()
		store.state = State{Service: "engine", Target: "v2", Order: 7, Phase: routing.PhaseActive}
		order(8, "v3")
		round(ctx)
		Expect((<-store.states).Rejected).To(Equal(routing.Rejections{{Version: "v2", Order: 7, LatestStart: 2 * time.Hour}}))
	})

	It("does not reject a target that was completed", func(ctx SpecContext) {
		runsAlready()
		store.state = State{Service: "engine", Target: "v2", Order: 7, Phase: routing.PhaseCompleted}
		order(8, "v3")
		round(ctx)
		Expect((<-store.states).Rejected).To(BeEmpty())
	})

	It("holds for earlier servers only when the version is ordered again, and for all when it is withdrawn again", func() {
		again := routing.Stage{Order: 8, Target: "v3", Phase: routing.PhaseCompleted, Rejected: routing.Rejections{rejectedSecond}}.Succeed(routing.Move{Target: "v2", Order: 9}, registered)
		_, former := again.Rejected.Find(registered["two"])
		later := &routing.Server{Version: "v2", StartedAt: 3 * time.Hour}
		_, fresh := again.Rejected.Find(later)
		Expect([]bool{former, fresh}).To(Equal([]bool{true, false}))
		state := State{Target: "v2", Order: 9, Rejected: again.Rejected}.withdrawn("faulty", 3*time.Hour)
		rejection, _ := state.Rejected.Find(&routing.Server{Version: "v2", StartedAt: 4 * time.Hour})
		Expect(rejection.Order).To(BeEquivalentTo(9))
	})

	It("is bounded and keeps what the latest orders have shown", func() {
		var rejected routing.Rejections
		for number := range 100 {
			rejected = rejected.With(routing.Rejection{Version: string(rune('a' + number)), Order: uint64(number)})
		}
		Expect(len(rejected)).To(Equal(32))
		Expect(rejected[len(rejected)-1].Order).To(BeEquivalentTo(99))
	})

	It("is told by a peer to a host that has started while the store does not answer", func(ctx SpecContext) {
		store.hangs.Store(true)
		peers.state = &State{Service: "engine", Target: "v3", Order: 8, Phase: routing.PhaseActive, Rejected: routing.Rejections{rejectedSecond}}
		order(8, "v3")
		Expect(mover.roundDelay()).To(BeZero())
		round(ctx)
		Expect((<-traffic.stages).Rejected).To(Equal(routing.Rejections{rejectedSecond}))

		runsAlready()
		By("and told further")
		order(9, "v4")
		Expect(mover.roundDelay()).To(Equal(roundInterval))
		Expect(mover.moves["engine"].rejected).To(ContainElement(rejectedSecond))
	})

	// Guards against shares that are derived from the requests of some milliseconds.
	It("is asked for before the host takes part in the decisions, and not for orders that come later", func(ctx SpecContext) {
		peers.state = &State{Service: "engine", Target: "v2", Order: 7, Phase: routing.PhaseActive}
		order(8, "v3")
		round(ctx)
		Expect(store.orders).NotTo(Receive())
		Expect(store.states).NotTo(Receive())
		mover.updateMoves(&catalog.View{Config: &routing.Config{}, Moves: map[string]routing.Move{
			"engine": {Service: "engine", Target: "v3", Order: 8, Duration: time.Minute}, "shop": {Service: "shop", Target: "v2", Order: 9, Duration: time.Minute},
		}})
		mover.updateMoves(&catalog.View{Config: &routing.Config{}, Moves: map[string]routing.Move{
			"engine": {Service: "engine", Target: "v3", Order: 8, Duration: time.Minute}, "desk": {Service: "desk", Target: "v2", Order: 10, Duration: time.Minute},
		}})
		Expect(mover.moves["desk"].isJoining).To(BeFalse())
	})

	It("is told by a peer that has not seen the order yet", func(ctx SpecContext) {
		store.hangs.Store(true)
		peers.state = &State{Service: "engine", Target: "v2", Order: 7, Phase: routing.PhaseWithdrawn, Rejected: routing.Rejections{rejectedSecond}}
		order(8, "v3")
		round(ctx)
		stage := <-traffic.stages
		Expect(stage.Phase).To(Equal(routing.PhaseNone))
		Expect(stage.Rejected).To(Equal(routing.Rejections{rejectedSecond}))
	})
})
