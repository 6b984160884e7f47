package relay_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
)

// Guards against a call that ends with the first refusal of the only server that is left,
// although that has room soon, and against one that runs twice since it was offered twice.
var _ = Describe("a call whose only server is full for a moment", func() {
	It("is offered to it again and runs once", func() {
		s := newTestSite()
		Eventually(readinessStatus(s.relay), 5*time.Second).Should(Equal(http.StatusOK))
		s.configure(2, map[string]any{"name": "booking", "host": "site.example", "prefix": "/booking/", "route_type": "non_idempotent", "timeout_ms": 6000, "target_latency_ms": 3000, "service": "shop", "max_attempts": 1})
		leaver, left := s.plain[0], s.plain[1]
		leaver.SetFaults(standin.ServerFaults{Refuse: true, Leaving: true})
		// The relay paces its offers by the time of an answer.
		left.SetFaults(standin.ServerFaults{Slow: 100 * time.Millisecond})
		Eventually(func() int { return s.caller().send("POST", "/booking/1", "before").status }, 3*time.Second).Should(Equal(http.StatusOK))
		left.SetFaults(standin.ServerFaults{Refuse: true})
		got := make(chan int, 1)
		go func() { got <- s.caller().sendAs("booked", "POST", "/booking/1", "booked").status }()
		time.Sleep(40 * time.Millisecond)
		left.SetFaults(standin.ServerFaults{})
		Eventually(got, 5*time.Second).Should(Receive(Equal(http.StatusOK)))
		Expect(runsOf(s.plain, "booked")).To(HaveLen(1))
	})
})
