package backends

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/model"
)

func cacheEvent(sequence uint64, stored ...uint64) enginewire.CacheEvent {
	return enginewire.CacheEvent{Sequence: sequence, Stored: stored}
}

var _ = Describe("the position in cache events", func() {
	It("resets the known blocks when events are missing, which would leave evicted blocks in the index", func() {
		position, _, _, reset := cachePosition{}.advance(enginewire.CacheEvents{Incarnation: 1, Events: []enginewire.CacheEvent{cacheEvent(1, 10), cacheEvent(2, 11)}})
		Expect(reset).To(BeFalse())
		_, stored, _, reset := position.advance(enginewire.CacheEvents{Incarnation: 1, Events: []enginewire.CacheEvent{cacheEvent(5, 12)}})
		Expect(reset).To(BeTrue())
		Expect(stored).To(Equal([]uint64{12}))
	})

	It("resets the known blocks when the server restarted", func() {
		_, _, _, reset := cachePosition{incarnation: 1, sequence: 9}.advance(enginewire.CacheEvents{Incarnation: 2})
		Expect(reset).To(BeTrue())
	})

	It("ignores events that come twice", func() {
		_, stored, _, reset := cachePosition{incarnation: 1, sequence: 5}.advance(enginewire.CacheEvents{Incarnation: 1, Events: []enginewire.CacheEvent{cacheEvent(5, 12)}})
		Expect(reset).To(BeFalse())
		Expect(stored).To(BeEmpty())
	})
})

var _ = Describe("polling", func() {
	It("bounds the polls of all servers together, so that their cost does not grow with the fleet", func() {
		polling := Polling{MinInterval: time.Second, MaxPerSecond: 4}
		Expect(polling.intervalFor(2)).To(Equal(time.Second))
		Expect(polling.intervalFor(206)).To(Equal(51500 * time.Millisecond))
	})
})

var _ = Describe("the subset of servers", func() {
	list := func(servers int) []model.Host {
		var hosts []model.Host
		for i := range servers {
			hosts = append(hosts, model.Host{
				ID: fmt.Sprintf("s%d", i), Role: model.RoleBackend, Service: "advisor",
				DataCentre: model.DataCentre(fmt.Sprintf("dc%d", i%4)),
			})
		}
		return hosts
	}

	It("has all servers of the own data centre and a bounded number of others for each service", func() {
		subset := Subset{Self: "entry-1", Home: "dc0", RemotePerService: 16}
		Expect(subset.Choose(list(20))).To(HaveLen(20))
		Expect(subset.Choose(list(400))).To(HaveLen(100 + 16))
	})

	It("differs between entry hosts, so that spill-over does not concentrate on the same servers", func() {
		seen := map[string]bool{}
		for host := range 20 {
			subset := Subset{Self: model.HostID(fmt.Sprintf("entry-%d", host)), Home: "none", RemotePerService: 4}
			for _, server := range subset.Choose(list(40)) {
				seen[server.ID] = true
			}
		}
		Expect(len(seen)).To(BeNumerically(">", 30))
	})
})

var _ = Describe("headers of a plain service's call", func() {
	It("lose the hop-by-hop ones, which the next hop must not receive", func() {
		header := http.Header{"Connection": {"X-Private, close"}, "X-Private": {"1"}, "Transfer-Encoding": {"chunked"}, "Accept": {"a"}}
		Expect(EndToEndHeaders(header)).To(Equal(http.Header{"Accept": {"a"}}))
	})
})
