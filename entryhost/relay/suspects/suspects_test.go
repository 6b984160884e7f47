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

var crashing = NewFingerprint("org", "POST", "/a", "crash")

var _ = Describe("the table of deaths", func() {
	It("stops a request after three servers died, and counts each server once", func() {
		t := deathTable{}
		for range 5 {
			Expect(t.addDeath(crashing, "a", time.Second)).To(BeFalse(), "attempts that see the same server die count one death")
		}
		Expect(t.addDeath(crashing, "b", time.Second)).To(BeFalse())
		Expect(t.addDeath(crashing, "c", time.Second)).To(BeTrue())
		Expect(t.addDeath(crashing, "d", time.Second)).To(BeFalse(), "the stop is sent to the other hosts once")
		Expect(t.isStopped(crashing, time.Second)).To(BeTrue())
		Expect(t.isStopped(NewFingerprint("org", "POST", "/a", "other"), time.Second)).To(BeFalse(), "other requests are served")
	})

	It("does not add up deaths that are further apart than the window, as when servers fail for other reasons", func() {
		t := deathTable{}
		for i := range 10 {
			Expect(t.addDeath(crashing, fmt.Sprint(i), time.Duration(i)*deathWindow)).To(BeFalse())
		}
	})

	It("clears a request that ran to completion, since it did not cause the deaths", func() {
		t := deathTable{}
		t.addDeath(crashing, "a", 0)
		t.addDeath(crashing, "b", 0)
		Expect(t.clear(crashing, 0)).To(BeTrue())
		Expect(t.addDeath(crashing, "c", 0)).To(BeFalse())
	})

	It("keeps a stopped request stopped even if a late answer arrives", func() {
		t := deathTable{}
		t.stop(crashing, 0)
		Expect(t.clear(crashing, 0)).To(BeFalse())
		Expect(t.isStopped(crashing, 0)).To(BeTrue())
		Expect(t.isStopped(crashing, stopDuration)).To(BeFalse())
	})

	It("does not grow without bound", func() {
		t := deathTable{}
		for i := range 2 * maxFingerprints {
			t.addDeath(NewFingerprint(fmt.Sprint(i)), "a", 0)
		}
		Expect(t).To(HaveLen(maxFingerprints))
		t.expire(deathWindow)
		Expect(t).To(BeEmpty())
	})
})

var _ = Describe("the trackers of a fingerprint", func() {
	It("are the same two on all hosts, so that deaths on different hosts add up", func() {
		var hosts []routing.Host
		for i := range 9 {
			hosts = append(hosts, routing.Host{Address: fmt.Sprintf("10.0.0.%d:7", i)})
		}
		expected := trackers(crashing, hosts[0].Address, hosts[1:])
		Expect(expected).To(HaveLen(maxTrackers))
		for i := range hosts {
			others := append(append([]routing.Host{}, hosts[i+1:]...), hosts[:i]...)
			Expect(trackers(crashing, hosts[i].Address, others)).To(Equal(expected))
		}
		Expect(trackers(crashing, "alone", nil)).To(Equal([]string{"alone"}))
	})
})

// localPeers delivers messages between tasks without a network.
type localPeers map[string]*Task

func (p localPeers) SendDeath(ctx context.Context, host string, death Death) error {
	return p[host].Mailbox().Send(ctx, death)
}

func (p localPeers) SendStop(ctx context.Context, host string, stop Stop) error {
	return p[host].Mailbox().Send(ctx, stop)
}

func (p localPeers) SendClear(ctx context.Context, host string, cleared Clear) error {
	return p[host].Mailbox().Send(ctx, cleared)
}

var _ = Describe("hosts that exchange deaths and stops", func() {
	var tasks localPeers
	var addresses []string

	BeforeEach(func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		tasks, addresses = localPeers{}, nil
		var hosts []routing.Host
		for i := range 5 {
			address := fmt.Sprintf("host-%d", i)
			addresses = append(addresses, address)
			hosts = append(hosts, routing.Host{Address: address})
			tasks[address] = NewTask(Parameters{
				Self: address, Peers: tasks, Clock: clockwork.NewRealClock(), Metrics: metrics.NewSet(), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
				RefusesConnections: func(_ context.Context, address string) bool { return address != "alive" },
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
				return CheckStopped{Fingerprint: crashing, Reply: reply}
			})
			Expect(err).NotTo(HaveOccurred())
			return got
		}
	}

	It("all stop a request whose three deaths were seen on three hosts", func() {
		for i := range deathsToStop {
			Expect(tasks[addresses[i]].Mailbox().TrySend(AttemptBroken{Fingerprint: crashing, Server: fmt.Sprint(i), Address: "dead"})).To(Succeed())
		}
		for _, address := range addresses {
			Eventually(stopped(address)).Should(BeTrue(), address)
		}
	})

	It("stop nothing while the servers that broke off live on", func() {
		for i := range 2 * deathsToStop {
			Expect(tasks[addresses[0]].Mailbox().TrySend(AttemptBroken{Fingerprint: crashing, Server: fmt.Sprint(i), Address: "alive"})).To(Succeed())
		}
		Consistently(stopped(addresses[0]), 4*confirmDelay).Should(BeFalse())
	})
})
