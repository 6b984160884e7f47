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

// standinStore answers at once, or, if hangs is set, only when the context of the
// call ends. It counts the rounds that began.
type standinStore struct {
	hangs  bool
	rounds chan struct{}
}

func (s *standinStore) ReadState(ctx context.Context, _ string) (State, error) {
	s.rounds <- struct{}{}
	if s.hangs {
		<-ctx.Done()
		return State{}, ctx.Err()
	}
	return State{}, nil
}

func (s *standinStore) WriteState(context.Context, State) error                  { return nil }
func (s *standinStore) WriteEvidence(context.Context, string, Evidence) error    { return nil }
func (s *standinStore) ReadEvidence(context.Context, string) ([]Evidence, error) { return nil, nil }

// standinTraffic has no samples and accepts every stage.
type standinTraffic struct{}

func (standinTraffic) SetStage(context.Context, routing.Stage) error { return nil }
func (standinTraffic) Samples(context.Context, string) (target, other Sample, err error) {
	return Sample{}, Sample{}, nil
}

var _ = Describe("the mover", func() {
	var clock *clockwork.FakeClock
	var store *standinStore
	var mover *Mover
	view := &catalog.View{Moves: map[string]routing.Move{"engine": {Service: "engine", Target: "v2", Order: 7, Duration: time.Minute}}}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		store = &standinStore{rounds: make(chan struct{}, 100)}
		mover = NewMover(Parameters{
			Self: "host", Store: store, Traffic: standinTraffic{}, Limits: ExposureLimits{Share: 0.1, Slack: 50},
			Clock: clock, Metrics: metrics.NewSet(), Logger: slog.New(slog.DiscardHandler),
		})
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
})
