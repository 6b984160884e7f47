package relay_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/platform"
)

// Guards against servers that write an earlier refusal once more on a kept connection:
// the caller of a request that runs would be told that it did not run, or the request
// would run at a second server too.
var _ = Describe("a server that writes a refusal once more", func() {
	var s *testSite

	BeforeEach(func() {
		s = newTestSite()
		Eventually(readinessStatus(s.relay), 5*time.Second).Should(Equal(http.StatusOK))
	})

	DescribeTable("does not make the relay report a request that runs as not run, or run it elsewhere",
		func(anonymous bool) {
			for _, server := range s.plain {
				server.SetFaults(standin.ServerFaults{Refuse: true, RepeatRefusal: true, AnonymousRefusal: anonymous})
			}
			Expect(s.caller().send("POST", "/order/1", "refused").status).To(Equal(http.StatusServiceUnavailable))
			Expect(runsOf(s.plain, "refused")).To(BeEmpty(), "the first refusals are true")
			got := s.caller().send("POST", "/order/1", "runs")
			Expect(got.status).To(Equal(http.StatusBadGateway), "the request may have run")
			Expect(runsOf(s.plain, "runs")).To(HaveLen(1))
		},
		Entry("with the id of the earlier request", false),
		Entry("without an id", true),
	)

	It("does not end a stream that goes on at the server after its copy was refused there", func() {
		// Two engines remain: one that breaks off, and the holder of the backup, which
		// has lost it.
		s.engines[2].Crash()
		s.store.Remove(platform.TableServers, s.engines[2].ID())
		for _, engine := range s.engines[:2] {
			engine.SetFaults(standin.ServerFaults{CutAfter: 5, RepeatRefusal: true})
			engine.SetEventTime(30 * time.Millisecond)
		}
		Eventually(func() int { return s.caller().send("GET", "/-/none", "").status }, time.Second).Should(Equal(http.StatusNotFound))
		// The holder writes no more than the refusals that it owes.
		started := make(chan struct{})
		go func() {
			defer close(started)
			Eventually(func() int { return len(runsOf(s.engines, "copy")) }, 2*time.Second, 5*time.Millisecond).Should(Equal(1))
			for _, engine := range s.engines[:2] {
				if len(runsOf([]*standin.Server{engine}, "copy")) == 0 {
					engine.SetFaults(standin.ServerFaults{RepeatRefusal: true})
				}
			}
		}()
		got := s.caller().send("POST", "/advice/1", "copy")
		Eventually(started, 3*time.Second).Should(BeClosed())
		Expect(got.err).NotTo(HaveOccurred())
		Expect(eventData(got.body)).To(Equal(wholeStream("copy")))
		Expect(runsOf(s.engines, "copy")).To(HaveLen(2), fmt.Sprint(runsOf(s.engines, "copy")))
	})
})
