package relay_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
)

// Guards against requests that go on to a server whose answers say that it leaves, while
// the store is away and the registration stays as it was.
var _ = Describe("a server that leaves while the store is down", func() {
	var s *testSite
	BeforeEach(func() {
		s = newTestSite()
		Eventually(readinessStatus(s.relay), 5*time.Second).Should(Equal(http.StatusOK))
	})

	DescribeTable("gets no new requests once the relay has read a response of it",
		func(method, path string, faults standin.ServerFaults, servers func() []*standin.Server) {
			leaver := servers()[0]
			// send sends requests that come together, so that they spread over all servers.
			send := func(name string) {
				var callers sync.WaitGroup
				for number := range 30 {
					id := fmt.Sprintf("%s-%d", name, number)
					callers.Go(func() { s.caller().sendAs(id, method, path, id) })
				}
				callers.Wait()
			}
			send("before")
			Expect(leaver.Runs()).NotTo(BeEmpty())
			s.store.SetFaults(standin.StoreFaults{Down: true})
			faults.Leaving = true
			leaver.SetFaults(faults)
			send("first")
			leaver.SetFaults(standin.ServerFaults{Leaving: true})
			reached := len(leaver.Runs())
			for round := range 3 {
				send(fmt.Sprintf("later-%d", round))
			}
			Expect(leaver.Runs()).To(HaveLen(reached))
		},
		Entry("a plain answer", "POST", "/order/1", standin.ServerFaults{}, func() []*standin.Server { return s.plain }),
		Entry("a failure, which is answered by another server", "GET", "/stock/1", standin.ServerFaults{Fail: true}, func() []*standin.Server { return s.plain }),
		Entry("a refusal, after which the request goes to another server", "POST", "/order/1", standin.ServerFaults{Refuse: true}, func() []*standin.Server { return s.plain }),
		Entry("the head of a stream", "POST", "/advice/1", standin.ServerFaults{}, func() []*standin.Server { return s.engines }),
		Entry("the head of a stream that breaks off and goes on elsewhere", "POST", "/advice/1", standin.ServerFaults{CutAfter: 3}, func() []*standin.Server { return s.engines }),
	)

	It("finishes the streams that it has begun", func() {
		s.engines[0].SetFaults(standin.ServerFaults{Leaving: true})
		got := s.caller().send("POST", "/advice/1", "whole")
		Expect(eventData(got.body)).To(Equal(wholeStream("whole")))
	})
})
