package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/entryhost/relay"
	"github.com/lentilpoint/lentilpoint/platform"
)

const (
	// deadlyPart is the part of a prompt that crashes engines.
	deadlyPart = "dead"
	// contactTime is the time after which a stop must hold on all hosts.
	contactTime = 3 * time.Second
	// engineDownTime is how long a crashed engine is gone.
	engineDownTime = 300 * time.Millisecond
)

// deadlyRuns returns the runs that held the deadly part, as a part that is not the last.
func deadlyRuns(engines []*standin.Server) []standin.Run {
	var runs []standin.Run
	for _, engine := range engines {
		for _, run := range engine.Runs() {
			if strings.Contains(run.Header.Get(platform.HeaderPrompt), deadlyPart+":") {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

var _ = Describe("relays before engines that crash on a part of a prompt", func() {
	var s *testSite
	var hosts []relay.Settings
	var requests int

	BeforeEach(func() {
		s = newTestSite()
		hosts, requests = []relay.Settings{s.relay}, 0
		for range 2 {
			other, _, _ := s.start(s.store.Address(), s.relay.PeerAddress)
			hosts = append(hosts, other)
		}
		for _, host := range hosts {
			Eventually(readinessStatus(host), 5*time.Second).Should(Equal(http.StatusOK))
		}
		// Hosts list each other after 2 s.
		time.Sleep(2500 * time.Millisecond)
		for _, engine := range s.engines {
			engine.SetFaults(standin.ServerFaults{CrashOnPart: deadlyPart})
		}
	})

	// send sends a request with the parts and a last one of its own to a host, and brings
	// crashed engines back.
	send := func(host relay.Settings, parts string) answer {
		requests++
		c := caller{settings: host, header: http.Header{platform.HeaderKey: {key}}}
		c.header.Set(platform.HeaderPrompt, fmt.Sprintf("%s,own%d:100", parts, requests))
		got := c.send("POST", "/advice/1", fmt.Sprintf("body-%d", requests))
		for _, engine := range s.engines {
			if engine.Running() {
				continue
			}
			time.Sleep(engineDownTime)
			s.store.Remove(platform.TableServers, engine.ID())
			Expect(engine.Restart()).To(Succeed())
			Expect(engine.Register(s.store, "ready")).To(Succeed())
		}
		return got
	}

	It("stop all requests with the part, on hosts that start later too, and no others", func() {
		Expect(send(hosts[0], "aa:200").status).To(Equal(http.StatusOK))
		for i := range 6 {
			send(hosts[i%len(hosts)], "aa:200,"+deadlyPart+":10")
			time.Sleep(300 * time.Millisecond)
		}
		crashes := len(deadlyRuns(s.engines))
		GinkgoWriter.Println("runs with the part until it was stopped:", crashes)
		Expect(crashes).To(BeNumerically("<=", 5), "the part is stopped before the sixth crash")
		time.Sleep(contactTime)
		for _, host := range hosts {
			for range 2 {
				got := send(host, "aa:200,"+deadlyPart+":10")
				Expect(got.status).To(Equal(http.StatusServiceUnavailable))
				Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
				Expect(send(host, "aa:200").status).To(Equal(http.StatusOK), "requests that share the caller and the first part are served")
			}
		}
		late, _, _ := s.start(s.store.Address(), s.relay.PeerAddress)
		Eventually(readinessStatus(late), 5*time.Second).Should(Equal(http.StatusOK))
		Expect(send(late, "aa:200,"+deadlyPart+":10").status).To(Equal(http.StatusServiceUnavailable))
		Expect(send(late, "aa:200").status).To(Equal(http.StatusOK))
		Expect(deadlyRuns(s.engines)).To(HaveLen(crashes))
	})

	It("stop a single stream that crashes engines after its third one, and no other with the same first part", func() {
		for _, engine := range s.engines {
			engine.SetFaults(standin.ServerFaults{CrashOnPart: "rare"})
		}
		for i := range 4 {
			requests = 100
			Expect(send(hosts[i%len(hosts)], "aa:200,rare:10").status).NotTo(Equal(http.StatusOK))
			time.Sleep(300 * time.Millisecond)
		}
		Expect(len(runsOf(s.engines, "body-101"))).To(BeNumerically("<=", 3))
		requests = 200
		Expect(send(hosts[0], "aa:200").status).To(Equal(http.StatusOK))
	})

	It("stop nothing when engines crash again and again under sound requests", func() {
		for i := range 8 {
			go func() {
				defer GinkgoRecover()
				time.Sleep(15 * time.Millisecond)
				s.engines[i%len(s.engines)].Crash()
			}()
			send(hosts[i%len(hosts)], "bb:200,cc:10")
			time.Sleep(300 * time.Millisecond)
		}
		for _, host := range hosts {
			Expect(send(host, "bb:200,cc:10").status).To(Equal(http.StatusOK))
		}
	})
})
