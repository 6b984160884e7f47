package relay_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/platform"
)

// Guards against a version that was withdrawn and gets traffic again with the next order,
// since what a move has shown ended with its order.
var _ = Describe("a withdrawn version", func() {
	var s *testSite
	BeforeEach(func() {
		s = newTestSite()
		Eventually(readinessStatus(s.relay), 5*time.Second).Should(Equal(http.StatusOK))
	})

	start := func(version string, faults standin.ServerFaults) *standin.Server {
		GinkgoHelper()
		server, err := standin.StartServer(s.ctx, standin.ServerOptions{Name: "shop-" + version, Service: "shop", Zone: "zone-0", Version: version}, s.store)
		Expect(err).NotTo(HaveOccurred())
		server.SetFaults(faults)
		return server
	}
	order := func(version string) {
		GinkgoHelper()
		Expect(s.store.Put(platform.TableOrders, platform.PrefixMove+"shop", map[string]any{"service": "shop", "target": version, "duration_s": 6})).To(Succeed())
	}
	// stateOf returns the state of the move to the version, or "" if it has none.
	stateOf := func(version string) string {
		var status struct{ State, Target string }
		if row := s.store.Row(platform.TableStatus, platform.PrefixMove+"shop"); row != nil {
			Expect(json.Unmarshal(row, &status)).To(Succeed())
		}
		if status.Target != version {
			return ""
		}
		return status.State
	}
	// sendUntil sends requests until the move to the version has the state.
	sendUntil := func(version, state string) {
		GinkgoHelper()
		for deadline := time.Now().Add(8 * time.Second); stateOf(version) != state; {
			Expect(time.Now()).To(BeTemporally("<", deadline), "the move to %s is %s", version, stateOf(version))
			requestCount++
			s.caller().send("POST", "/order/1", fmt.Sprintf("load-%d", requestCount))
		}
	}
	// withdraw lets the move to a faulty version end.
	withdraw := func(version string) *standin.Server {
		GinkgoHelper()
		// A version that is slow is found by the move only, not by the failures of its servers.
		faulty := start(version, standin.ServerFaults{Slow: 50 * time.Millisecond})
		order(version)
		sendUntil(version, "rolled_back")
		time.Sleep(1500 * time.Millisecond)
		return faulty
	}

	It("gets no traffic through later orders while its servers are registered, and the next version is completed", func() {
		second := withdraw("v2")
		third := withdraw("v3")
		exposed, exposedThird := len(second.Runs()), len(third.Runs())
		start("v4", standin.ServerFaults{})
		order("v4")
		sendUntil("v4", "completed")
		Expect(second.Runs()).To(HaveLen(exposed), "through two further orders")
		Expect(third.Runs()).To(HaveLen(exposedThird))
	})

	It("gets no traffic from a host that starts while the store is away", func() {
		second := withdraw("v2")
		start("v3", standin.ServerFaults{})
		order("v3")
		Eventually(func() string { return stateOf("v3") }, 3*time.Second).Should(Equal("active"))
		exposed := len(second.Runs())
		other, _, _ := s.start("127.0.0.1:1", s.relay.PeerAddress)
		Eventually(readinessStatus(other), 5*time.Second).Should(Equal(http.StatusOK))
		c := s.caller()
		c.settings = other
		// The host asks a peer within some milliseconds after it has read the order.
		time.Sleep(200 * time.Millisecond)
		// Requests that come together spread over all servers.
		var callers sync.WaitGroup
		for number := range 60 {
			id := fmt.Sprintf("restarted-%d", number)
			callers.Go(func() { c.sendAs(id, "POST", "/order/1", id) })
		}
		callers.Wait()
		Expect(second.Runs()).To(HaveLen(exposed))
	})

	It("is completed when it is ordered again with servers that started since, and only those get traffic", func() {
		former := withdraw("v2")
		exposed := len(former.Runs())
		time.Sleep(10 * time.Millisecond)
		fresh, err := standin.StartServer(s.ctx, standin.ServerOptions{Name: "shop-again", Service: "shop", Zone: "zone-0", Version: "v2"}, s.store)
		Expect(err).NotTo(HaveOccurred())
		order("v2")
		Eventually(func() string { return stateOf("v2") }, 3*time.Second).Should(Equal("active"))
		sendUntil("v2", "completed")
		Expect(len(fresh.Runs())).To(BeNumerically(">", 0))
		Expect(former.Runs()).To(HaveLen(exposed))
	})
})
