package relay_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
)

var _ = Describe("a request that crashes servers which keep their id", func() {
	var s *testSite

	BeforeEach(func() {
		s = newTestSite()
		Eventually(readinessStatus(s.relay), 5*time.Second).Should(Equal(http.StatusOK))
	})

	// Guards against deaths that are counted by the id of the server: a request that is sent
	// once each time meets few servers.
	It("is stopped", func() {
		for _, server := range s.plain {
			server.SetFaults(standin.ServerFaults{CrashOn: "poison"})
		}
		statuses := make([]int, 7)
		for i := range statuses {
			statuses[i] = s.caller().send("POST", "/order/1", "poison").status
			time.Sleep(1200 * time.Millisecond)
			for _, server := range s.plain {
				if !server.Running() {
					Expect(server.RestartSameID()).To(Succeed())
					Expect(server.Register(s.store, "ready")).To(Succeed())
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		Expect(runsOf(s.plain, "poison")).To(HaveLen(3))
		Expect(statuses[3:]).To(HaveEach(http.StatusServiceUnavailable))
		Expect(s.caller().send("POST", "/order/1", "wholesome").status).To(Equal(http.StatusOK))
	})

	// Guards against a stop that is lost with the hosts that know it.
	It("is still stopped after all hosts were replaced at once", func() {
		for _, server := range s.plain {
			server.SetFaults(standin.ServerFaults{CrashOn: "poison"})
		}
		restart := func() {
			for _, server := range s.plain {
				if !server.Running() {
					Expect(server.RestartSameID()).To(Succeed())
					Expect(server.Register(s.store, "ready")).To(Succeed())
				}
			}
		}
		for range 3 {
			s.caller().send("POST", "/order/1", "poison")
			time.Sleep(1200 * time.Millisecond)
			restart()
			time.Sleep(100 * time.Millisecond)
		}
		Expect(s.caller().send("POST", "/order/1", "poison").status).To(Equal(http.StatusServiceUnavailable))
		s.stop()
		Eventually(s.done, 6*time.Second).Should(Receive())
		c := s.caller()
		c.settings, _, _ = s.start(s.store.Address())
		Eventually(readinessStatus(c.settings), 5*time.Second).Should(Equal(http.StatusOK))
		// No other host answers, so this one reads the store after two rounds of 1.5 s.
		time.Sleep(3500 * time.Millisecond)
		Expect(c.send("POST", "/order/1", "poison").status).To(Equal(http.StatusServiceUnavailable))
		Expect(runsOf(s.plain, "poison")).To(HaveLen(3))
		Expect(c.send("POST", "/order/1", "wholesome").status).To(Equal(http.StatusOK))
	})
})
