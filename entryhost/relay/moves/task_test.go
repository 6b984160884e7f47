package moves

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/catalog"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

// standinStore answers at once, or, if hangs is set, only when the context of the
// call ends. It receives the rounds that began, the orders of written evidence and the
// written states.
type standinStore struct {
	hangs  atomic.Bool
	state  State
	rounds chan struct{}
	orders chan uint64
	states chan State
}

func (s *standinStore) ReadState(ctx context.Context, _ string) (State, error) {
	s.rounds <- struct{}{}
	if s.hangs.Load() {
		<-ctx.Done()
		return State{}, ctx.Err()
	}
	return s.state, nil
}

func (s *standinStore) WriteState(_ context.Context, state State) error {
	s.states <- state
	return nil
}

func (s *standinStore) WriteEvidence(_ context.Context, _ string, evidence Evidence) error {
	s.orders <- evidence.Order
	return nil
}

func (s *standinStore) ReadEvidence(context.Context, string) ([]Evidence, error) { return nil, nil }

// standinTraffic has no samples and receives the stages.
type standinTraffic struct{ stages chan routing.Stage }

func (t standinTraffic) SetStage(_ context.Context, stage routing.Stage) error {
	t.stages <- stage
	return nil
}

func (standinTraffic) Samples(context.Context, string) (map[string]Versions, error) { return nil, nil }

// standinPeers follow the state, if it is set.
type standinPeers struct{ state *State }

func (p standinPeers) State(context.Context, string) (State, error) {
	if p.state == nil {
		return State{}, errors.New("no peer answered")
	}
	return *p.state, nil
}

var _ = Describe("the mover", func() {
	var peers *standinPeers
	var clock *clockwork.FakeClock
	var store *standinStore
	var traffic standinTraffic
	var mover *Mover
	view := &catalog.View{Moves: map[string]routing.Move{"engine": {Service: "engine", Target: "v2", Order: 7, Duration: time.Minute}}}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		store = &standinStore{rounds: make(chan struct{}, 100), orders: make(chan uint64, 100), states: make(chan State, 100)}
		peers = &standinPeers{}
		traffic = standinTraffic{stages: make(chan routing.Stage, 100)}
		mover = NewMover(Parameters{
			Self: "host", Store: store, Peers: peers, Traffic: traffic, Limits: ExposureLimits{Share: 0.1, Slack: 50},
			Clock: clock, Metrics: metrics.NewSet(), Logger: slog.New(slog.DiscardHandler),
		})
		// The orders come after the start of the host.
		mover.hasOrders = true
	})

	start := func() {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- mover.Serve(ctx) }()
		DeferCleanup(func() {
			cancel()
			Eventually(done, 5*time.Second).Should(Receive(BeNil()))
		})
	}

	// Guards against views that postpone the round: registrations and configurations
	// can change several times a second, and a faulty version would keep its traffic
	// meanwhile.
	It("runs a round each second while the view changes more often", func() {
		start()
		for range 10 {
			Expect(mover.Views().Send(context.Background(), view)).To(Succeed())
			Eventually(mover.Views().Len).Should(BeZero())
			Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
			clock.Advance(roundInterval / 4)
		}
		Expect(len(store.rounds)).To(BeNumerically(">=", 2), "in 2.5 s")
	})

	// Guards against a store that answers late holding up the catalog, for which
	// every request of the host waits.
	It("takes views while the store does not answer", func() {
		store.hangs.Store(true)
		start()
		Expect(mover.Views().Send(context.Background(), view)).To(Succeed())
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
		clock.Advance(roundInterval)
		Eventually(store.rounds).Should(Receive(), "the round waits for the store")
		ctx, cancel := context.WithTimeout(context.Background(), roundsTimeout/3)
		defer cancel()
		for number := range 3 * viewsCapacity {
			Expect(mover.Views().Send(ctx, view)).To(Succeed(), "view %d", number)
		}
	})

	It("carries out an order that replaces another one during a round", func() {
		store.hangs.Store(true)
		start()
		Expect(mover.Views().Send(context.Background(), view)).To(Succeed())
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
		clock.Advance(roundInterval)
		Eventually(store.rounds).Should(Receive())
		store.hangs.Store(false)
		replaced := &catalog.View{Moves: map[string]routing.Move{"engine": {Service: "engine", Target: "v3", Order: 8, Duration: time.Minute}}}
		Expect(mover.Views().Send(context.Background(), replaced)).To(Succeed())
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed(), "the round has ended")
		clock.Advance(roundInterval)
		Eventually(store.orders).Should(Receive(BeEquivalentTo(8)))
	})

	// Guards against a version on trial that keeps a large share of a route while no host
	// can withdraw it.
	It("reduces the target's share while the store cannot be reached", func() {
		store.state = State{
			Service: "engine", Target: "v2", Order: 7, Phase: routing.PhaseActive, Holder: "other",
			Share: provenShare, RouteShares: map[string]float64{"chat": lateTrialShare},
		}
		start()
		Expect(mover.Views().Send(context.Background(), view)).To(Succeed())
		// round lets the next round run.
		round := func() {
			Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
			clock.Advance(roundInterval)
			Eventually(store.rounds).Should(Receive())
		}
		round()
		var stage routing.Stage
		Eventually(traffic.stages).Should(Receive(&stage))
		Expect(stage.OfRoute("chat").Share).To(Equal(lateTrialShare))
		store.hangs.Store(true)
		for range maxFailedRounds {
			round()
		}
		Eventually(traffic.stages, 2*time.Second).Should(Receive(&stage))
		Expect(stage.Phase).To(Equal(routing.PhaseActive))
		Expect(stage.OfRoute("chat").Share).To(Equal(initialShare))

		By("and follows the stage of the store again")
		store.hangs.Store(false)
		round()
		Eventually(traffic.stages).Should(Receive(&stage))
		Expect(stage.OfRoute("chat").Share).To(Equal(lateTrialShare))
	})

	// Guards against a host whose copy of the orders is old, for example after it was frozen:
	// it replaced the state of the newer order, with what that had shown, by its own.
	It("leaves the state of a newer order as it is", func() {
		store.state = State{Service: "engine", Target: "v3", Order: 8, Phase: routing.PhaseWithdrawn, Holder: "other"}
		start()
		Expect(mover.Views().Send(context.Background(), view)).To(Succeed())
		for range holderTimeoutRounds + 1 {
			Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
			clock.Advance(roundInterval)
			Eventually(store.rounds).Should(Receive())
		}
		Consistently(store.states, 100*time.Millisecond).ShouldNot(Receive())
		Expect(traffic.stages).NotTo(Receive())
	})

	// Guards against a host that takes the time of its own start for that of the order:
	// the move would end after its time.
	It("continues the time of a move that it takes over after a restart", func() {
		store.state = State{Service: "engine", Target: "v2", Order: 7, Phase: routing.PhaseActive, Holder: "other", Elapsed: 50 * time.Second}
		start()
		Expect(mover.Views().Send(context.Background(), view)).To(Succeed())
		var state State
		for range holderTimeoutRounds + 1 {
			Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
			clock.Advance(roundInterval)
			Eventually(store.rounds).Should(Receive())
		}
		Eventually(store.states).Should(Receive(&state))
		Expect(state.Holder).To(Equal("host"))
		Expect(state.Elapsed).To(BeNumerically(">=", 50*time.Second))
	})
})
