package platform

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform")
}

// fakeHosts answers queries from a list of hosts and counts the hosts in its
// answers.
type fakeHosts struct {
	hosts []model.Host
	tag   string
	sent  int
}

// List implements Hosts.
func (f *fakeHosts) List(_ context.Context, query HostQuery) (HostAnswer, error) {
	if query.Known == f.tag {
		return HostAnswer{Unchanged: true, Tag: f.tag}, nil
	}
	answer := HostAnswer{Tag: f.tag}
	for _, host := range f.hosts {
		if query.DataCentre == "" || host.DataCentre == query.DataCentre {
			answer.Hosts = append(answer.Hosts, host)
		}
	}
	f.sent += len(answer.Hosts)
	return answer, nil
}

var _ = Describe("the host list task", func() {
	var (
		hosts   *fakeHosts
		mailbox task.Mailbox[HostsRead]
		list    *HostListTask
		refresh task.Mailbox[RefreshHosts]
	)

	BeforeEach(func() {
		hosts = &fakeHosts{tag: "1", hosts: []model.Host{{ID: "a", DataCentre: "jkt"}, {ID: "b", DataCentre: "bdg"}}}
		mailbox = task.NewMailbox[HostsRead](1)
		refresh = task.NewMailbox[RefreshHosts](refreshMailboxSize)
		list = NewHostListTask(hosts, "jkt", clockwork.NewFakeClock(), time.Second, refresh, slog.New(slog.NewTextHandler(io.Discard, nil)), mailbox)
	})

	It("does not transfer an unchanged list again, as that would exceed all other control traffic at fleet size", func() {
		for range 2 * roundsPerFullList {
			Expect(list.poll(context.Background())).To(Succeed())
		}
		Expect(hosts.sent).To(Equal(3))
	})

	It("sends a change in the home data centre after the next poll, and changes elsewhere only after the next full read", func() {
		Expect(list.poll(context.Background())).To(Succeed())
		Expect((<-mailbox.C()).Hosts).To(HaveLen(2))
		hosts.tag = "2"
		hosts.hosts = []model.Host{{ID: "a", DataCentre: "jkt", Leaving: true}, {ID: "b", DataCentre: "bdg", Leaving: true}}
		Expect(list.poll(context.Background())).To(Succeed())
		Expect((<-mailbox.C()).Hosts).To(Equal([]model.Host{{ID: "a", DataCentre: "jkt", Leaving: true}, {ID: "b", DataCentre: "bdg"}}))
	})

	It("reads the full list at the next poll after a request, so that a host that started elsewhere is known before the next full read", func() {
		Expect(list.poll(context.Background())).To(Succeed())
		<-mailbox.C()
		hosts.tag = "2"
		hosts.hosts = append(hosts.hosts, model.Host{ID: "c", DataCentre: "bdg"})
		Expect(refresh.TrySend(RefreshHosts{})).To(Succeed())
		Expect(list.poll(context.Background())).To(Succeed())
		Expect((<-mailbox.C()).Hosts).To(HaveLen(3))
	})

	It("sends a list again to a subscriber whose mailbox was full, so that no leaving mark is lost", func() {
		Expect(list.poll(context.Background())).To(Succeed())
		hosts.tag = "2"
		hosts.hosts[0].Leaving = true
		Expect(list.poll(context.Background())).To(Succeed())
		Expect((<-mailbox.C()).Hosts[0].Leaving).To(BeFalse())
		Expect(list.poll(context.Background())).To(Succeed())
		Expect((<-mailbox.C()).Hosts[0].Leaving).To(BeTrue())
	})
})
