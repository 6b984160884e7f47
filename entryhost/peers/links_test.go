package peers

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/settings"
	"github.com/lentilpoint/lentilpoint/task"
)

// echo is a net/rpc receiver of the tests. Wait blocks until release is closed.
type echo struct{ release chan struct{} }

// Say answers with its argument.
func (e *echo) Say(text *string, answer *string) error {
	*answer = *text
	return nil
}

// Wait answers with its argument once release is closed.
func (e *echo) Wait(text *string, answer *string) error {
	<-e.release
	*answer = *text
	return nil
}

type testHost struct {
	membership *Membership
	hosts      task.Mailbox[platform.HostsRead]
	refreshes  task.Mailbox[platform.RefreshHosts]
	facts      task.Mailbox[Fact]
	host       model.Host
	echo       *echo
	stop       context.CancelFunc
}

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

func startHost(id string, dataCentre model.DataCentre, secret string) *testHost {
	GinkgoHelper()
	mailboxes := provideMailboxes()
	set := metrics.NewSet()
	values := settings.Settings{
		HostID: id, DataCentre: string(dataCentre), PeerAddress: "127.0.0.1:0", PeerSecret: settings.Secret(secret), RandomSeed: 1,
	}
	h := &testHost{hosts: mailboxes.Hosts, refreshes: task.NewMailbox[platform.RefreshHosts](1), facts: task.NewMailbox[Fact](64), echo: &echo{release: make(chan struct{})}}
	h.membership = provideMembership(membershipIn{
		Messages: mailboxes.Messages, Hosts: mailboxes.Hosts, Refreshes: h.refreshes, Settings: values, Metrics: set,
		Clock: clockwork.NewRealClock(), Logger: discardLogger,
		Subscribers: []Subscriber{{Kinds: []FactKind{FactWithdrawal, FactUsage}, Mailbox: h.facts}},
	})
	receivers := []Receiver{provideExchange(mailboxes.Messages).Receiver, {Name: "Echo", Object: h.echo}}
	listener, err := provideListener(listenerIn{Receivers: receivers, Settings: values, Metrics: set, Logger: discardLogger})
	Expect(err).NotTo(HaveOccurred())
	h.host = entryHost(id, dataCentre)
	h.host.PeerAddress = listener.Address()
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	DeferCleanup(cancel)
	go func() { _ = h.membership.Serve(ctx) }()
	go func() { _ = listener.Serve(ctx) }()
	return h
}

func sendHostList(hosts ...*testHost) {
	var list []model.Host
	for _, h := range hosts {
		list = append(list, h.host)
	}
	for _, h := range hosts {
		Expect(h.hosts.TrySend(platform.HostsRead{Hosts: list})).To(Succeed())
	}
}

func (h *testHost) members() map[model.HostID]bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	members, err := task.Call(ctx, h.membership.Messages(), func(reply task.Reply[[]Member]) Message { return Members{Reply: reply} })
	Expect(err).NotTo(HaveOccurred())
	alive := map[model.HostID]bool{}
	for _, member := range members {
		alive[member.ID] = member.Alive
	}
	return alive
}

func (h *testHost) invoke(host model.HostID, method string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	text, result := "hello", new(string)
	reply := make(chan error, 1)
	Expect(h.membership.Messages().TrySend(Invoke{
		Context: ctx, Host: host, Method: method, Arguments: &text, Result: result, Reply: reply,
	})).To(Succeed())
	if err := <-reply; err != nil {
		return "", err
	}
	return *result, nil
}

var _ = Describe("entry hosts", func() {
	It("share facts within and across data centres, and detect the death of a host within 3.5 seconds", func() {
		var hosts []*testHost
		for i := range 4 {
			hosts = append(hosts, startHost(fmt.Sprintf("h%d", i), model.DataCentre([]string{"jkt", "jkt", "jkt", "bdg"}[i]), "s"))
		}
		sendHostList(hosts...)
		Eventually(hosts[0].members, 5*time.Second).Should(Equal(map[model.HostID]bool{"h1": true, "h2": true, "h3": true}))
		fact := Fact{Kind: FactWithdrawal, Key: "move-1", Value: []byte("bad"), Everywhere: true}
		Expect(hosts[1].membership.Messages().TrySend(Publish{Fact: fact})).To(Succeed())
		for _, i := range []int{0, 2, 3} {
			Eventually(hosts[i].facts.C(), 2*time.Second).Should(Receive(HaveField("Key", "move-1")))
		}
		hosts[2].stop()
		Eventually(func() bool { return hosts[0].members()["h2"] }, 3500*time.Millisecond).Should(BeFalse())
		Expect(hosts[0].members()["h1"]).To(BeTrue())
	})

	It("tell a host that has just started what they know before the next gossip round, and look for it in the host list", func() {
		a, b := startHost("a", "jkt", "s"), startHost("b", "bdg", "s")
		sendHostList(a)
		fact := Fact{Kind: FactWithdrawal, Key: "move-1", Value: []byte("bad"), Everywhere: true}
		Expect(a.membership.Messages().TrySend(Publish{Fact: fact})).To(Succeed())
		Expect(b.hosts.TrySend(platform.HostsRead{Hosts: []model.Host{a.host, b.host}})).To(Succeed())
		Eventually(b.facts.C(), roundInterval/2).Should(Receive(HaveField("Key", "move-1")))
		Eventually(a.refreshes.C(), roundInterval/2).Should(Receive())
	})

	It("refuse a host with another secret", func() {
		a, b := startHost("a", "jkt", "right"), startHost("b", "jkt", "wrong")
		sendHostList(a, b)
		_, err := a.invoke("b", "Echo.Say", time.Second)
		Expect(ErrUnreachable.Has(err)).To(BeTrue())
		Consistently(a.members, time.Second).Should(Equal(map[model.HostID]bool{"b": false}))
	})

	It("answer calls while another call on the same link is still waiting", func() {
		a, b := startHost("a", "jkt", "s"), startHost("b", "jkt", "s")
		sendHostList(a, b)
		Eventually(a.members, 3*time.Second).Should(Equal(map[model.HostID]bool{"b": true}))
		slow := make(chan error, 1)
		go func() {
			defer GinkgoRecover()
			_, err := a.invoke("b", "Echo.Wait", 5*time.Second)
			slow <- err
		}()
		Expect(a.invoke("b", "Echo.Say", time.Second)).To(Equal("hello"))
		_, err := a.invoke("b", "Echo.Wait", 50*time.Millisecond)
		Expect(ErrUnreachable.Has(err)).To(BeTrue())
		close(b.echo.release)
		Expect(<-slow).To(Succeed())
		_, err = a.invoke("nobody", "Echo.Say", time.Second)
		Expect(ErrUnreachable.Has(err)).To(BeTrue())
	})

	It("replace a connection that delivers no more answers", func() {
		a, b := startHost("a", "jkt", "s"), startHost("b", "jkt", "s")
		proxy, silence := newSilentProxy(b.host.PeerAddress)
		b.host.PeerAddress = proxy
		sendHostList(a, b)
		Eventually(a.members, 3*time.Second).Should(Equal(map[model.HostID]bool{"b": true}))
		silence()
		Eventually(func() error {
			_, err := a.invoke("b", "Echo.Say", 300*time.Millisecond)
			return err
		}, 5*time.Second).Should(Succeed())
	})
})

// newSilentProxy returns the address of a proxy to the given address and a function
// that silences it: open connections then drop all bytes, and new ones work.
func newSilentProxy(address string) (string, func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	silent := make(chan struct{})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", address)
			if err != nil {
				_ = conn.Close()
				continue
			}
			dropBytes := silent
			select {
			case <-silent:
				dropBytes = nil
			default:
			}
			go copyUntil(conn, upstream, dropBytes)
			go copyUntil(upstream, conn, dropBytes)
		}
	}()
	return listener.Addr().String(), func() { close(silent) }
}

func copyUntil(to, from net.Conn, dropBytes <-chan struct{}) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		select {
		case <-dropBytes:
			continue
		default:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
