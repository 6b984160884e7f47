package relay_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
)

var _ = Describe("a drain", func() {
	var s *testSite

	BeforeEach(func() {
		s = newTestSite()
		Eventually(readinessStatus(s.relay), 5*time.Second).Should(Equal(http.StatusOK))
	})

	// Guards against requests that are taken late in a planned stop and cut off at its end.
	It("refuses a request during a drain that may last longer than the drain", func() {
		s.configure(2, map[string]any{"name": "slow", "host": "site.example", "prefix": "/slow/", "route_type": "non_idempotent", "timeout_ms": 20000, "target_latency_ms": 9000, "service": "shop", "max_attempts": 1})
		Eventually(func() int { return s.caller().send("POST", "/slow/1", "probe").status }, 3*time.Second).Should(Equal(http.StatusOK))
		for _, server := range s.plain {
			server.SetFaults(standin.ServerFaults{Slow: 6 * time.Second})
		}
		for _, engine := range s.engines {
			engine.SetEventTime(150 * time.Millisecond)
		}
		// The socket stays open while a stream does.
		stream := make(chan answer, 1)
		c := s.caller()
		go func() { stream <- c.send("POST", "/advice/1", "long") }()
		Eventually(func() []standin.Run { return runsOf(s.engines, "long") }).ShouldNot(BeEmpty())
		s.stop()
		time.Sleep(300 * time.Millisecond)
		got := s.caller().send("POST", "/slow/1", "late")
		Expect(got.err).NotTo(HaveOccurred(), "cut off without an answer")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(runsOf(s.plain, "late")).To(BeEmpty())
		var whole answer
		Eventually(stream, 5*time.Second).Should(Receive(&whole))
		Expect(whole.err).NotTo(HaveOccurred())
	})
})
