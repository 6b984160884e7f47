package suspects

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/task"
)

// memoryStops is a StopStore in memory. Its mutex stands for the process of the store.
type memoryStops struct {
	mutex sync.Mutex
	kept  []KeptStop
	reads int
}

func (m *memoryStops) WriteStop(_ context.Context, kept KeptStop) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.kept = append(m.kept, kept)
	return nil
}

func (m *memoryStops) RemoveStop(_ context.Context, signature Signature) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.kept = slices.DeleteFunc(m.kept, func(kept KeptStop) bool { return slices.Equal(kept.Signature, signature) })
	return nil
}

func (m *memoryStops) ReadStops(context.Context) ([]KeptStop, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.reads++
	return slices.Clone(m.kept), nil
}

func (m *memoryStops) signatures() []Signature {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var signatures []Signature
	for _, kept := range m.kept {
		signatures = append(signatures, kept.Signature)
	}
	return signatures
}

func (m *memoryStops) readCount() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.reads
}

// Guards against stops that are lost when all hosts are killed at once: as many servers as
// before would fall until the request is stopped again.
var _ = Describe("a stop in the store", func() {
	plain := NewPrompt("shop", crashing, nil)
	var store *memoryStops
	BeforeEach(func() { store = &memoryStops{} })

	// start starts hosts together that know each other.
	start := func(count int) []*Task {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		tasks := localPeers{}
		var hosts []routing.Host
		for i := range count {
			address := string(rune('a' + i))
			hosts = append(hosts, routing.Host{Address: address})
			tasks[address] = NewTask(Parameters{
				Self: address, Peers: tasks, Store: store, Clock: clockwork.NewRealClock(), Metrics: metrics.NewSet(), Logger: slog.New(slog.DiscardHandler),
				RefusesConnections: func(context.Context, string) bool { return true },
			})
		}
		var started []*Task
		for _, host := range hosts {
			Expect(tasks[host.Address].Hosts().Send(ctx, slices.DeleteFunc(slices.Clone(hosts), func(other routing.Host) bool { return other == host }))).To(Succeed())
			started = append(started, tasks[host.Address])
			go func() { _ = tasks[host.Address].Serve(ctx) }()
		}
		return started
	}
	isStopped := func(host *Task) func() bool {
		return func() bool {
			got, err := task.Call(context.Background(), host.Mailbox(), func(reply task.Reply[bool]) Message {
				return CheckStopped{Fingerprint: crashing, Service: "shop", Prompt: plain, Reply: reply}
			})
			Expect(err).NotTo(HaveOccurred())
			return got
		}
	}

	It("is kept until a server answers such a request", func() {
		host := start(1)[0]
		for range deathsToStop {
			Expect(host.Mailbox().TrySend(AttemptBroken{Fingerprint: crashing, Server: "s", Address: "dead", Service: "shop", Prompt: plain, Ran: time.Millisecond})).To(Succeed())
			time.Sleep(sameDeath + 2*confirmDelay)
		}
		Eventually(store.signatures).Should(Equal([]Signature{{plain.Content}}))
		Expect(host.Mailbox().TrySend(RequestCompleted{Fingerprint: crashing, Prompt: plain})).To(Succeed())
		Eventually(store.signatures).Should(BeEmpty())
	})

	It("is kept with the time of its last decision", func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		clock := clockwork.NewFakeClock()
		host := NewTask(Parameters{Self: "host", Store: store, Clock: clock, Metrics: metrics.NewSet(), Logger: slog.New(slog.DiscardHandler)})
		suspected := suspicion{signature: Signature{plain.Content}, servers: []string{"s"}, requests: 1}
		host.stopSignature(ctx, suspected)
		Eventually(store.signatures).Should(HaveLen(1))
		clock.Advance(stopDuration + time.Second)
		host.stopSignature(ctx, suspected)
		Eventually(func() time.Time {
			store.mutex.Lock()
			defer store.mutex.Unlock()
			return store.kept[len(store.kept)-1].DecidedAt
		}).Should(Equal(clock.Now()))
	})

	It("is learned by hosts that all start at once, and read by few of them", func() {
		store.kept = []KeptStop{{Signature: Signature{plain.Content}, DecidedAt: time.Now().Add(-time.Minute)}}
		hosts := start(6)
		for _, host := range hosts {
			Eventually(isStopped(host), (learnRounds+1)*learnInterval).Should(BeTrue())
		}
		Expect(store.readCount()).To(BeNumerically("<=", 2))
	})

	It("does not count any more after its probation, and is removed", func() {
		store.kept = []KeptStop{{Signature: Signature{plain.Content}, DecidedAt: time.Now().Add(-2*stopDuration - time.Second)}}
		hosts := start(2)
		Eventually(store.signatures, (learnRounds+1)*learnInterval).Should(BeEmpty())
		Expect(isStopped(hosts[0])()).To(BeFalse())
	})

	It("is taken for a new one if its decision lies in the future, as after a step of the clock", func() {
		store.kept = []KeptStop{{Signature: Signature{plain.Content}, DecidedAt: time.Now().Add(time.Hour)}}
		Eventually(isStopped(start(2)[0]), (learnRounds+1)*learnInterval).Should(BeTrue())
	})
})
