package suspects

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/task"
)

func TestSuspects(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "suspects")
}

var bad = NewFingerprint("org", "POST", "/a", "crash")

var _ = Describe("the table of deaths", func() {
	It("stops a request after three servers died, and counts each server once", func() {
		t := table{}
		for range 5 {
			Expect(t.died(bad, "a", time.Second)).To(BeFalse(), "one death seen by several attempts is one death")
		}
		Expect(t.died(bad, "b", time.Second)).To(BeFalse())
		Expect(t.died(bad, "c", time.Second)).To(BeTrue())
		Expect(t.died(bad, "d", time.Second)).To(BeFalse(), "hosts are told once")
		Expect(t.isStopped(bad, time.Second)).To(BeTrue())
		Expect(t.isStopped(NewFingerprint("org", "POST", "/a", "other"), time.Second)).To(BeFalse(), "neighbours are served")
	})

	It("does not add up deaths that lie far apart, as on a bad day for servers", func() {
		t := table{}
		for i := range 10 {
			Expect(t.died(bad, fmt.Sprint(i), time.Duration(i)*deathMemory)).To(BeFalse())
		}
	})

	It("forgets a request that ran to its end, since it only was there when servers died", func() {
		t := table{}
		t.died(bad, "a", 0)
		t.died(bad, "b", 0)
		Expect(t.clear(bad, 0)).To(BeTrue())
		Expect(t.died(bad, "c", 0)).To(BeFalse())
	})

	It("keeps a stopped request stopped, also when a late answer arrives", func() {
		t := table{}
		t.stop(bad, 0)
		Expect(t.clear(bad, 0)).To(BeFalse())
		Expect(t.isStopped(bad, 0)).To(BeTrue())
		Expect(t.isStopped(bad, stopTime)).To(BeFalse())
	})

	It("does not grow without bound", func() {
		t := table{}
		for i := range 2 * fingerprintsMax {
			t.died(NewFingerprint(fmt.Sprint(i)), "a", 0)
		}
		Expect(t).To(HaveLen(fingerprintsMax))
		t.expire(deathMemory)
		Expect(t).To(BeEmpty())
	})
})

var _ = Describe("the keepers of a fingerprint", func() {
	It("are the same two on all hosts, so that deaths on different hosts add up", func() {
		var hosts []routing.Host
		for i := range 9 {
			hosts = append(hosts, routing.Host{Address: fmt.Sprintf("10.0.0.%d:7", i)})
		}
		expected := keepers(bad, hosts[0].Address, hosts[1:])
		Expect(expected).To(HaveLen(keepersMax))
		for i := range hosts {
			others := append(append([]routing.Host{}, hosts[i+1:]...), hosts[:i]...)
			Expect(keepers(bad, hosts[i].Address, others)).To(Equal(expected))
		}
		Expect(keepers(bad, "alone", nil)).To(Equal([]string{"alone"}))
	})
})

// wire delivers messages between tasks without a network.
type wire map[string]*Task

func (w wire) TellDeath(ctx context.Context, host string, death Death) error {
	return w[host].Mailbox().Send(ctx, death)
}

func (w wire) TellStop(ctx context.Context, host string, stop Stop) error {
	return w[host].Mailbox().Send(ctx, stop)
}

func (w wire) TellClear(ctx context.Context, host string, cleared Clear) error {
	return w[host].Mailbox().Send(ctx, cleared)
}

var _ = Describe("hosts that share suspects", func() {
	var tasks wire
	var addresses []string

	BeforeEach(func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		tasks, addresses = wire{}, nil
		var hosts []routing.Host
		for i := range 5 {
			address := fmt.Sprintf("host-%d", i)
			addresses = append(addresses, address)
			hosts = append(hosts, routing.Host{Address: address})
			tasks[address] = NewTask(Parameters{
				Self: address, Peers: tasks, Clock: clockwork.NewRealClock(), Metrics: metrics.NewSet(), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
				Refuses: func(_ context.Context, address string) bool { return address != "alive" },
			})
		}
		for i, address := range addresses {
			others := append(append([]routing.Host{}, hosts[:i]...), hosts[i+1:]...)
			Expect(tasks[address].Hosts().Send(ctx, others)).To(Succeed())
			go func() { _ = tasks[address].Serve(ctx) }()
		}
	})

	stopped := func(address string) func() bool {
		return func() bool {
			got, err := task.Call(context.Background(), tasks[address].Mailbox(), func(reply task.Reply[bool]) Message {
				return Ask{Fingerprint: bad, Reply: reply}
			})
			Expect(err).NotTo(HaveOccurred())
			return got
		}
	}

	It("all stop a request whose three deaths were seen on three hosts", func() {
		for i := range deathsMax {
			Expect(tasks[addresses[i]].Mailbox().TrySend(Broke{Fingerprint: bad, Server: fmt.Sprint(i), Address: "dead"})).To(Succeed())
		}
		for _, address := range addresses {
			Eventually(stopped(address)).Should(BeTrue(), address)
		}
	})

	It("stop nothing while the servers that broke off live on", func() {
		for i := range 2 * deathsMax {
			Expect(tasks[addresses[0]].Mailbox().TrySend(Broke{Fingerprint: bad, Server: fmt.Sprint(i), Address: "alive"})).To(Succeed())
		}
		Consistently(stopped(addresses[0]), 4*confirmAfter).Should(BeFalse())
	})
})
