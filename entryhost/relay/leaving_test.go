package relay_test

import (
	"fmt"
	"net/http"
	"strconv"
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

// Guards against requests to servers that have turned one away and asked for none, and against
// callers that wait for them in vain.
var _ = Describe("servers that ask for no requests for a time", func() {
	It("get none until then, and callers are refused at once with that time", func() {
		s := newTestSite()
		Eventually(readinessStatus(s.relay), 5*time.Second).Should(Equal(http.StatusOK))
		for _, server := range s.plain {
			server.SetFaults(standin.ServerFaults{Refuse: true, RetryAfter: "3"})
		}
		s.caller().send("POST", "/order/1", "first")
		for _, server := range s.plain {
			server.SetFaults(standin.ServerFaults{})
		}
		started := time.Now()
		for number := range 10 {
			got := s.caller().send("POST", "/order/1", fmt.Sprintf("refused-%d", number))
			Expect(got.status).To(Equal(http.StatusServiceUnavailable))
			seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(seconds).To(And(BeNumerically(">", 2), BeNumerically("<", 4)))
		}
		Expect(time.Since(started)).To(BeNumerically("<", time.Second))
		for _, server := range s.plain {
			Expect(server.Runs()).To(BeEmpty())
		}
		Eventually(func() int { return s.caller().send("POST", "/order/1", "later").status }, 5*time.Second, 500*time.Millisecond).Should(Equal(http.StatusOK))
	})
})
