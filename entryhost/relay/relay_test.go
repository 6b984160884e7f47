package relay_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/entryhost/relay"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/moves"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/reload"
	"github.com/lentilpoint/lentilpoint/platform"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

const (
	streamEvents = 20
	key          = "key-1"
	organisation = "members"
)

// testSite is a small deployment on loopback: a relay with stand-ins for the
// platform's store, model engines and plain servers.
type testSite struct {
	ctx     context.Context
	store   *standin.Store
	engines []*standin.Server
	plain   []*standin.Server
	relay   relay.Settings
	stop    context.CancelFunc
	done    chan error
	// budget applies to relays that are started later.
	budget dispatch.BudgetLimits
}

func newTestSite() *testSite {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	s := &testSite{ctx: ctx, budget: dispatch.BudgetLimits{Ratio: 0.8, Window: 10 * time.Second, Extra: 150}}
	var err error
	s.store, err = standin.StartStore(ctx)
	Expect(err).NotTo(HaveOccurred())
	for i := range 3 {
		s.engines = append(s.engines, s.server("engine", i, streamEvents))
	}
	for i := range 2 {
		s.plain = append(s.plain, s.server("shop", i, 0))
	}
	s.configure(1)
	s.relay, s.stop, s.done = s.start(s.store.Address())
	return s
}

func (s *testSite) server(service string, number, events int) *standin.Server {
	server, err := standin.StartServer(s.ctx, standin.ServerOptions{
		Name: fmt.Sprintf("%s-%d", service, number), Service: service, Zone: fmt.Sprintf("zone-%d", number), Version: "v1",
		Events: events, EventTime: 10 * time.Millisecond, PromptTime: 20 * time.Millisecond,
	}, s.store)
	Expect(err).NotTo(HaveOccurred())
	return server
}

// configure writes a configuration with the default routes and the given ones.
func (s *testSite) configure(version int, routes ...map[string]any) {
	all := append([]map[string]any{
		{"name": "advice", "host": "site.example", "prefix": "/advice/", "route_type": "streaming", "timeout_ms": 10000, "target_latency_ms": 2000, "gap_aim_ms": 400, "service": "engine", "max_attempts": 5, "stream_resume": true},
		{"name": "stock", "host": "site.example", "prefix": "/stock/", "route_type": "idempotent", "timeout_ms": 2000, "target_latency_ms": 500, "service": "shop", "max_attempts": 2},
		{"name": "order", "host": "site.example", "prefix": "/order/", "route_type": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 500, "service": "shop", "max_attempts": 1},
	}, routes...)
	Expect(s.store.Put(platform.TableOrders, platform.KeyConfig, map[string]any{
		"version": version, "routes": all,
		"services": []map[string]any{{"name": "engine", "max_connections": 100, "engine": map[string]any{"backups": true, "moves": true, "handle_s": 4}}, {"name": "shop", "max_connections": 100}},
		"limits":   map[string]any{"max_body_bytes": 1000},
		"tenants":  []map[string]any{{"name": organisation, "api_keys": []string{key}}},
	})).To(Succeed())
}

func freeAddress() string {
	GinkgoHelper()
	address, err := standin.FreeAddress()
	Expect(err).NotTo(HaveOccurred())
	return address
}

// start runs a relay with the store at the address. It returns the settings of the
// relay, a function that starts its shutdown, and the channel of its result.
func (s *testSite) start(store string, seeds ...string) (relay.Settings, context.CancelFunc, chan error) {
	settings := relay.Settings{
		HostName: "edge", DataCentre: "zone-0", FrontAddress: freeAddress(), ReadyAddress: freeAddress(), PeerAddress: freeAddress(),
		MetricsAddress: freeAddress(), Seeds: strings.Join(seeds, ","), StoreAddress: store, StopGracePeriod: 5 * time.Second, DeregistrationDelay: 100 * time.Millisecond,
		Budget: s.budget, Exposure: moves.ExposureLimits{Share: 0.1, Slack: 50},
	}
	ctx, stop := context.WithCancel(s.ctx)
	done := make(chan error, 1)
	ended, set := make(chan struct{}), metrics.NewSet()
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	go func() {
		defer close(ended)
		err := relay.Run(ctx, settings, relay.Environment{
			Reload: reload.Source[relay.Settings]{
				Read:    func() (relay.Settings, error) { return settings, nil },
				ModTime: func() (time.Time, error) { return time.Time{}, nil },
			},
			Adapter: platform.NewAdapter(settings, set, logger), Clock: clockwork.NewRealClock(), Metrics: set,
			Logger: logger,
		})
		if err != nil {
			GinkgoWriter.Println("relay failed:", err)
		}
		done <- err
	}()
	DeferCleanup(func() {
		stop()
		Eventually(ended, 2*settings.StopGracePeriod).Should(BeClosed())
	})
	return settings, stop, done
}

// readinessStatus returns a function that queries the readiness check. It returns the status,
// or 0 without a response.
func readinessStatus(settings relay.Settings) func() int {
	return func() int {
		response, err := http.Get("http://" + settings.ReadyAddress + platform.PathReady)
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
}

// answer is the response that a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// caller sends each request to the relay on a new connection.
type caller struct {
	settings relay.Settings
	header   http.Header
}

func (s *testSite) caller() caller {
	return caller{settings: s.relay, header: http.Header{platform.HeaderKey: {key}}}
}

var requestCount int

func (c caller) send(method, path, body string) answer {
	requestCount++
	return c.sendAs(fmt.Sprintf("request-%d", requestCount), method, path, body)
}

// sendAs sends a request with the given id. It may be called from any goroutine.
func (c caller) sendAs(id, method, path, body string) answer {
	defer GinkgoRecover()
	request, err := http.NewRequest(method, "http://"+c.settings.FrontAddress+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Host = "site.example"
	request.Header = c.header.Clone()
	request.Header.Set(platform.HeaderRequestID, id)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(content), err: err}
}

// eventData returns the data lines of an event stream.
func eventData(body string) []string {
	var data []string
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		if value, found := strings.CutPrefix(lines.Text(), "data: "); found {
			data = append(data, value)
		}
	}
	return data
}

// wholeStream returns the data of all events of the stream for a request body.
func wholeStream(body string) []string {
	var data []string
	for number := 1; number <= streamEvents; number++ {
		data = append(data, standin.EventData(body, number))
	}
	return data
}

// runsOf returns the runs of a request body on the servers.
func runsOf(servers []*standin.Server, body string) []standin.Run {
	var runs []standin.Run
	for _, server := range servers {
		for _, run := range server.Runs() {
			if run.Body == body {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

var _ = Describe("a relay on the platform", func() {
	var s *testSite

	BeforeEach(func() {
		s = newTestSite()
		Eventually(readinessStatus(s.relay), 5*time.Second).Should(Equal(http.StatusOK))
	})

	It("forwards a complete stream with the server's signature", func() {
		got := s.caller().send("POST", "/advice/1", "one")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.header.Get(platform.HeaderSeal)).NotTo(BeEmpty())
		Expect(eventData(got.body)).To(Equal(wholeStream("one")))
	})

	It("sends servers the organisation, but neither the key nor reserved headers", func() {
		c := s.caller()
		c.header.Set(platform.HeaderOrganisation, "forged")
		c.header.Set(platform.HeaderCacheCopy, "10.0.0.1:1/forged")
		c.header.Set("X-Other", "kept")
		Expect(c.send("POST", "/order/1", "two").status).To(Equal(http.StatusOK))
		runs := runsOf(s.plain, "two")
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Header.Get(platform.HeaderOrganisation)).To(Equal(organisation))
		Expect(runs[0].Header.Get("X-Other")).To(Equal("kept"))
		Expect(runs[0].Header).NotTo(HaveKey(platform.HeaderKey))
		Expect(runs[0].Header).NotTo(HaveKey(platform.HeaderCacheCopy))
	})

	DescribeTable("refuses what the configuration does not allow before any server receives it",
		func(path, usedKey string, size, status int) {
			c := s.caller()
			c.header.Set(platform.HeaderKey, usedKey)
			body := strings.Repeat("x", size)
			Expect(c.send("POST", path, body).status).To(Equal(status))
			Expect(runsOf(s.plain, body)).To(BeEmpty())
		},
		Entry("an unknown route", "/nothing/1", key, 5, http.StatusNotFound),
		Entry("an unknown key", "/order/1", "forged", 5, http.StatusUnauthorized),
		Entry("a body over the limit", "/order/1", key, 2000, http.StatusRequestEntityTooLarge),
	)

	It("resumes a stream on another engine without a missing or repeated event when the engine dies", func() {
		for _, engine := range s.engines {
			engine.SetFaults(standin.ServerFaults{CutAfter: 8})
		}
		got := s.caller().send("POST", "/advice/1", "three")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(eventData(got.body)).To(Equal(wholeStream("three")))
		Expect(len(runsOf(s.engines, "three"))).To(BeNumerically(">", 1))
	})

	It("resumes a stream from a copy of the cache if there is one", func() {
		for _, engine := range s.engines {
			engine.AddCacheCopy(fmt.Sprintf("request-%d", requestCount+1))
			engine.SetFaults(standin.ServerFaults{CutAfter: 12})
		}
		got := s.caller().send("POST", "/advice/1", "copy")
		Expect(eventData(got.body)).To(Equal(wholeStream("copy")))
		runs := runsOf(s.engines, "copy")
		Expect(runs).To(HaveLen(2))
		var copied int
		for _, run := range runs {
			if run.Header.Get(platform.HeaderCacheCopy) != "" {
				copied++
			}
		}
		Expect(copied).To(Equal(1))
	})

	It("replaces the cache copy of a run whose holder is lost, and resumes from the new copy", func() {
		for _, engine := range s.engines {
			engine.SetEventTime(100 * time.Millisecond)
		}
		got := make(chan answer, 1)
		c := s.caller()
		go func() { got <- c.send("POST", "/advice/1", "moved") }()
		var first []standin.Run
		Eventually(func() []standin.Run { first = runsOf(s.engines, "moved"); return first }).Should(HaveLen(1))
		var source, holder *standin.Server
		for _, engine := range s.engines {
			switch {
			case engine.ID() == first[0].Server:
				source = engine
			case engine.Address() == first[0].Header.Get(platform.HeaderCacheBackup):
				holder = engine
			}
		}
		id := holder.ID()
		holder.Crash()
		s.store.Remove(platform.TableServers, id)
		// The new copy is requested once the run has sent an event.
		time.Sleep(600 * time.Millisecond)
		source.Crash()
		var result answer
		Eventually(got, 10*time.Second).Should(Receive(&result))
		Expect(eventData(result.body)).To(Equal(wholeStream("moved")))
		runs := runsOf(s.engines, "moved")
		Expect(runs).To(HaveLen(2))
		Expect(runs[1].Header.Get(platform.HeaderCacheCopy)).To(HavePrefix(source.Address() + "/copy-"))
	})

	It("routes a stream that a caller resumes to the engine that has its prompt cached, so that it is not processed again", func() {
		c := s.caller()
		c.header.Set(platform.HeaderPrompt, "aa:20,bb:100")
		s.engines[0].SetFaults(standin.ServerFaults{Refuse: true})
		c.send("POST", "/advice/1", "prompt")
		first := runsOf(s.engines, "prompt")
		Expect(first).To(HaveLen(1))
		s.engines[0].SetFaults(standin.ServerFaults{})
		Eventually(func() []standin.Run {
			s.caller().send("POST", "/advice/1", "other")
			return runsOf(s.engines[:1], "other")
		}).ShouldNot(BeEmpty(), "the engine of the relay's data centre accepts new streams again")
		c.header.Set(platform.HeaderLastEvent, "7")
		for range 3 {
			Expect(eventData(c.send("POST", "/advice/1", "prompt").body)).To(Equal(wholeStream("prompt")[7:]))
		}
		for _, run := range runsOf(s.engines, "prompt")[1:] {
			Expect(run.Server).To(Equal(first[0].Server))
		}
	})

	It("serves a resumed stream whose prompt no engine has cached", func() {
		c := s.caller()
		c.header.Set(platform.HeaderPrompt, "cc:100")
		c.header.Set(platform.HeaderLastEvent, "3")
		s.engines[1].Crash()
		Expect(eventData(c.send("POST", "/advice/1", "unheld").body)).To(Equal(wholeStream("unheld")[3:]))
	})

	It("answers a stream that is resumed after its last event with an empty stream, not with 404", func() {
		c := s.caller()
		c.header.Set(platform.HeaderLastEvent, fmt.Sprint(streamEvents))
		got := c.send("POST", "/advice/1", "ended")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.header.Get(platform.HeaderSeal)).NotTo(BeEmpty())
		Expect(got.body).To(BeEmpty())
	})

	It("resumes on another engine when a stream stalls although its engine is alive", func() {
		s.engines[0].SetFaults(standin.ServerFaults{HangAfter: 5})
		s.engines[1].SetFaults(standin.ServerFaults{HangAfter: 5})
		started := time.Now()
		got := s.caller().send("POST", "/advice/1", "four")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(eventData(got.body)).To(Equal(wholeStream("four")))
		// Output has to continue within 5 s.
		Expect(time.Since(started)).To(BeNumerically("<", 5*time.Second))
	})

	It("resumes a stream when its own retry budget is spent and another host's is not", func() {
		s.budget = dispatch.BudgetLimits{Window: 10 * time.Second}
		settings, _, _ := s.start(s.store.Address())
		Eventually(readinessStatus(settings), 5*time.Second).Should(Equal(http.StatusOK))
		c := s.caller()
		c.settings = settings
		Eventually(func() int {
			for _, engine := range s.engines {
				engine.SetFaults(standin.ServerFaults{CutAfter: 12})
			}
			// The host can borrow only after it has read the list of hosts.
			return len(eventData(c.send("POST", "/advice/1", "lent").body))
		}, 10*time.Second).Should(Equal(streamEvents))
	})

	It("stops a request that crashes every server that runs it, on all hosts, and serves other requests", func() {
		other, _, _ := s.start(s.store.Address(), s.relay.PeerAddress)
		Eventually(readinessStatus(other), 5*time.Second).Should(Equal(http.StatusOK))
		for _, server := range s.plain {
			server.SetFaults(standin.ServerFaults{CrashOn: "poison"})
		}
		callers := []caller{s.caller(), s.caller()}
		callers[1].settings = other
		restart := func() {
			for _, server := range s.plain {
				if server.Running() {
					continue
				}
				s.store.Remove(platform.TableServers, server.ID())
				Expect(server.Restart()).To(Succeed())
				Expect(server.Register(s.store, "ready")).To(Succeed())
			}
		}
		statuses := make([]int, 10)
		for i := range statuses {
			// The relay that started first lists the other one only after 2 s.
			statuses[i] = callers[i%2].send("POST", "/order/1", "poison").status
			time.Sleep(400 * time.Millisecond)
			restart()
			time.Sleep(200 * time.Millisecond)
		}
		Expect(statuses[8:]).To(Equal([]int{http.StatusServiceUnavailable, http.StatusServiceUnavailable}))
		// Three retries may still reach servers after the third death.
		Expect(len(runsOf(s.plain, "poison"))).To(BeNumerically("<=", 3+3))
		Expect(callers[0].send("POST", "/order/1", "wholesome").status).To(Equal(http.StatusOK))
	})

	It("aborts a stream visibly when no engine can resume it", func() {
		for _, engine := range s.engines {
			engine.SetFaults(standin.ServerFaults{CutAfter: 1})
		}
		got := s.caller().send("POST", "/advice/1", "five")
		Expect(got.err).To(HaveOccurred(), "a response that ends early must not look complete")
	})

	It("does not retry a request that may have run, and reports that its outcome is unknown", func() {
		for _, server := range s.plain {
			server.SetFaults(standin.ServerFaults{LoseAnswer: true})
		}
		Expect(s.caller().send("POST", "/order/1", "six").status).To(Equal(http.StatusBadGateway))
		Expect(runsOf(s.plain, "six")).To(HaveLen(1))
	})

	It("retries an idempotent request whose response was lost", func() {
		s.plain[0].SetFaults(standin.ServerFaults{LoseAnswer: true})
		for range 5 {
			Expect(s.caller().send("GET", "/stock/1", "").status).To(Equal(http.StatusOK))
		}
	})

	It("retries a request on another server when one states that it did not run it", func() {
		s.plain[0].SetFaults(standin.ServerFaults{Refuse: true})
		for number := range 5 {
			body := fmt.Sprintf("seven-%d", number)
			Expect(s.caller().send("POST", "/order/1", body).status).To(Equal(http.StatusOK))
			Expect(runsOf(s.plain, body)).To(HaveLen(1))
		}
	})

	It("reports that nothing ran only when every server stated it", func() {
		for _, server := range s.plain {
			server.SetFaults(standin.ServerFaults{Refuse: true})
		}
		got := s.caller().send("POST", "/order/1", "eight")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(runsOf(s.plain, "eight")).To(BeEmpty())
	})

	It("never forwards surplus responses to a caller", func() {
		for _, server := range s.plain {
			server.SetFaults(standin.ServerFaults{Extra: true})
		}
		for number := range 6 {
			body := fmt.Sprintf("nine-%d", number)
			Expect(s.caller().send("POST", "/order/1", body).body).To(Equal("answer to " + body))
		}
	})

	It("puts a new configuration in force within 2 s and ignores malformed registrations", func() {
		Expect(s.store.Put(platform.TableServers, "forged", map[string]any{"service": 7})).To(Succeed())
		s.configure(2, map[string]any{"name": "new", "host": "site.example", "prefix": "/new/", "route_type": "idempotent", "timeout_ms": 2000, "target_latency_ms": 500, "service": "shop", "max_attempts": 2})
		Eventually(func() int { return s.caller().send("GET", "/new/1", "").status }, 2*time.Second).Should(Equal(http.StatusOK))
	})

	It("serves a route without a time limit to a caller that states none", func() {
		s.configure(2, map[string]any{"name": "patient", "host": "site.example", "prefix": "/patient/", "route_type": "idempotent", "target_latency_ms": 500, "service": "shop", "max_attempts": 2})
		Eventually(func() int { return s.caller().send("GET", "/patient/1", "").status }, 2*time.Second).Should(Equal(http.StatusOK))
	})

	It("recovers when the store drops the history of its feed and a connection becomes unresponsive", func() {
		s.store.DropHistory()
		s.store.Silence()
		s.configure(3, map[string]any{"name": "new", "host": "site.example", "prefix": "/late/", "route_type": "idempotent", "timeout_ms": 2000, "target_latency_ms": 500, "service": "shop", "max_attempts": 2})
		// An unresponsive connection counts as reset: the host is reconnected 3 s
		// later and then has 2 s.
		Eventually(func() int { return s.caller().send("GET", "/late/1", "").status }, 5*time.Second).Should(Equal(http.StatusOK))
	})

	It("sends no new work to a server that drains", func() {
		Expect(s.plain[0].Register(s.store, "draining")).To(Succeed())
		time.Sleep(500 * time.Millisecond)
		before := len(s.plain[0].Runs())
		for range 6 {
			Expect(s.caller().send("GET", "/stock/1", "").status).To(Equal(http.StatusOK))
		}
		Expect(s.plain[0].Runs()).To(HaveLen(before))
	})

	It("uses an engine that restarted with another id before its registration arrives", func() {
		for _, engine := range s.engines[1:] {
			engine.Crash()
		}
		s.engines[0].Crash()
		Expect(s.engines[0].Restart()).To(Succeed())
		Eventually(func() int { return s.caller().send("POST", "/advice/1", "ten").status }, 5*time.Second).Should(Equal(http.StatusOK))
	})

	It("receives a configuration from a peer while the store does not serve it", func() {
		other, _, _ := s.start("127.0.0.1:1", s.relay.PeerAddress)
		Eventually(readinessStatus(other), 5*time.Second).Should(Equal(http.StatusOK))
		c := s.caller()
		c.settings = other
		Expect(c.send("GET", "/stock/1", "").status).To(Equal(http.StatusOK))
	})

	It("finishes open streams during a drain and is not ready meanwhile", func() {
		result := make(chan answer, 1)
		c := s.caller()
		go func() { result <- c.send("POST", "/advice/1", "eleven") }()
		Eventually(func() []standin.Run { return runsOf(s.engines, "eleven") }).ShouldNot(BeEmpty())
		s.stop()
		Eventually(readinessStatus(s.relay), time.Second).Should(Equal(http.StatusServiceUnavailable))
		var got answer
		Eventually(result, 5*time.Second).Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(eventData(got.body)).To(Equal(wholeStream("eleven")))
		Eventually(s.done, 6*time.Second).Should(Receive(BeNil()))
	})

	It("answers a request whose first bytes were read before the drain ended", func() {
		conn, err := net.Dial("tcp", s.relay.FrontAddress)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "POST /order/1 HTTP/1.1\r\nHost: site.example\r\n")
		Expect(err).NotTo(HaveOccurred())
		s.stop()
		// The drain ends after DeregistrationDelay if no request is open.
		time.Sleep(s.relay.DeregistrationDelay + 200*time.Millisecond)
		_, err = io.WriteString(conn, platform.HeaderKey+": "+key+"\r\n"+platform.HeaderRequestID+": late\r\nContent-Length: 4\r\n\r\nlate")
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Eventually(s.done, 6*time.Second).Should(Receive(BeNil()))
	})

	It("refuses a request whose body is not complete at its deadline", func() {
		conn, err := net.Dial("tcp", s.relay.FrontAddress)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "POST /order/1 HTTP/1.1\r\nHost: site.example\r\n"+platform.HeaderKey+": "+key+"\r\n"+platform.HeaderRequestID+": slow\r\nContent-Length: 4\r\n\r\nsl")
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(4 * time.Second))).To(Succeed())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	})

	It("answers a request whose deadline has passed when its body was read", func() {
		for _, body := range []string{"", "body"} {
			request, err := http.NewRequest("POST", "http://"+s.relay.FrontAddress+"/order/1", strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			request.Host = "site.example"
			request.Header = http.Header{platform.HeaderKey: {key}, platform.HeaderRequestID: {"hasty"}, platform.HeaderDeadline: {"1"}}
			response, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		}
	})

	It("cancels the run on the server when the caller disconnects", func() {
		ctx, cancel := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, "POST", "http://"+s.relay.FrontAddress+"/advice/1", strings.NewReader("twelve"))
		Expect(err).NotTo(HaveOccurred())
		request.Host = "site.example"
		request.Header = http.Header{platform.HeaderKey: {key}, platform.HeaderRequestID: {"leaver"}}
		go func() {
			if response, err := http.DefaultClient.Do(request); err == nil {
				_ = response.Body.Close()
			}
		}()
		Eventually(func() []standin.Run { return runsOf(s.engines, "twelve") }).ShouldNot(BeEmpty())
		cancel()
		Eventually(func() int {
			var open int
			for _, engine := range s.engines {
				open += engine.OpenRequests()
			}
			return open
		}, 500*time.Millisecond).Should(BeZero())
	})

	// moveTo starts a server of another version and orders the move to it.
	moveTo := func(faults standin.ServerFaults) *standin.Server {
		fresh, err := standin.StartServer(s.ctx, standin.ServerOptions{Name: "fresh", Service: "shop", Zone: "zone-0", Version: "v2"}, s.store)
		Expect(err).NotTo(HaveOccurred())
		fresh.SetFaults(faults)
		Expect(s.store.Put(platform.TableOrders, platform.PrefixMove+"shop", map[string]any{"service": "shop", "target": "v2", "duration_s": 6})).To(Succeed())
		return fresh
	}
	// sendUntilMoveEnds sends requests until the move has ended or 8 s have passed, and returns the
	// state of the move.
	sendUntilMoveEnds := func() string {
		var status struct{ State string }
		deadline := time.Now().Add(8 * time.Second)
		for number := 0; time.Now().Before(deadline); number++ {
			s.caller().send("POST", "/order/1", fmt.Sprintf("load-%d", number))
			if row := s.store.Row(platform.TableStatus, platform.PrefixMove+"shop"); row != nil {
				Expect(json.Unmarshal(row, &status)).To(Succeed())
			}
			if status.State == "completed" || status.State == "rolled_back" {
				return status.State
			}
		}
		return status.State
	}

	It("completes the move to a good version within its duration and then uses only that version", func() {
		fresh := moveTo(standin.ServerFaults{})
		Expect(sendUntilMoveEnds()).To(Equal("completed"))
		time.Sleep(1500 * time.Millisecond)
		before := len(fresh.Runs())
		for number := range 5 {
			Expect(s.caller().send("POST", "/order/1", fmt.Sprintf("after-%d", number)).status).To(Equal(http.StatusOK))
		}
		Expect(fresh.Runs()).To(HaveLen(before + 5))
	})

	// Guards against hosts that learn of the completion after the old servers, which stop on
	// it, and refuse requests until then.
	It("answers all requests on all hosts while the old servers stop on the completion of a move", func() {
		moveTo(standin.ServerFaults{})
		// The host that starts first decides. The rounds of the other one come half a round
		// later.
		Eventually(func() []byte { return s.store.Row(platform.TableStatus, platform.PrefixMove+"shop") }, 5*time.Second).ShouldNot(BeNil())
		time.Sleep(500 * time.Millisecond)
		other, _, _ := s.start(s.store.Address(), s.relay.PeerAddress)
		Eventually(readinessStatus(other), 5*time.Second).Should(Equal(http.StatusOK))
		callers := []caller{s.caller(), s.caller()}
		callers[1].settings = other
		var statuses []int
		var stoppedAt time.Time
		for started := time.Now(); time.Since(started) < 9*time.Second && (stoppedAt.IsZero() || time.Since(stoppedAt) < 1500*time.Millisecond); time.Sleep(10 * time.Millisecond) {
			for _, c := range callers {
				statuses = append(statuses, c.send("GET", "/stock/1", "").status)
			}
			var status struct{ State string }
			if row := s.store.Row(platform.TableStatus, platform.PrefixMove+"shop"); row != nil {
				Expect(json.Unmarshal(row, &status)).To(Succeed())
			}
			if status.State == "completed" && stoppedAt.IsZero() {
				stoppedAt = time.Now()
				for _, server := range s.plain {
					s.store.Remove(platform.TableServers, server.ID())
					server.Crash()
				}
			}
		}
		Expect(stoppedAt).NotTo(BeZero(), "the move is completed")
		Expect(statuses).To(HaveEach(http.StatusOK))
	})

	It("withdraws the move to a faulty version, which receives a small share and then nothing", func() {
		fresh := moveTo(standin.ServerFaults{Fail: true})
		Expect(sendUntilMoveEnds()).To(Equal("rolled_back"))
		time.Sleep(1500 * time.Millisecond)
		exposed := len(fresh.Runs())
		var total int
		for _, server := range append(s.plain, fresh) {
			total += len(server.Runs())
		}
		Expect(float64(exposed)).To(BeNumerically("<=", 0.1*float64(total)+50))
		for number := range 10 {
			Expect(s.caller().send("POST", "/order/1", fmt.Sprintf("after-%d", number)).status).To(Equal(http.StatusOK))
		}
		Expect(fresh.Runs()).To(HaveLen(exposed))
	})

	// moveEngines starts an engine of another version with the given times and orders the
	// move to it, while callers send streams at the given interval. It returns the state in
	// which the move ended, "" if it had not, and the requests for streams that were sent.
	moveEngines := func(options standin.ServerOptions, interval time.Duration) (fresh *standin.Server, state string, sent int) {
		options.Name, options.Service, options.Zone, options.Version, options.Events = "fresh", "engine", "zone-0", "v2", streamEvents
		fresh, err := standin.StartServer(s.ctx, options, s.store)
		Expect(err).NotTo(HaveOccurred())
		const duration = 9 * time.Second
		Expect(s.store.Put(platform.TableOrders, platform.PrefixMove+"engine", map[string]any{"service": "engine", "target": "v2", "duration_s": duration.Seconds()})).To(Succeed())
		var callers sync.WaitGroup
		defer callers.Wait()
		c := s.caller()
		for started := time.Now(); time.Since(started) < duration; sent++ {
			requestCount++
			id := fmt.Sprintf("request-%d", requestCount)
			callers.Go(func() { c.sendAs(id, "POST", "/advice/1", id) })
			time.Sleep(interval)
			var status struct{ State string }
			if row := s.store.Row(platform.TableStatus, platform.PrefixMove+"engine"); row != nil {
				Expect(json.Unmarshal(row, &status)).To(Succeed())
			}
			if status.State == "completed" || status.State == "rolled_back" {
				return fresh, status.State, sent
			}
		}
		return fresh, "", sent
	}

	// Guards against evidence that is counted only when a stream has ended: the streams of
	// a slow version outlast the move, which was completed on no evidence.
	It("withdraws the move to a version whose streams are several times slower, before one of them has ended", func() {
		fresh, state, sent := moveEngines(standin.ServerOptions{PromptTime: 600 * time.Millisecond, EventTime: 300 * time.Millisecond}, 100*time.Millisecond)
		Expect(state).To(Equal("rolled_back"))
		Expect(float64(len(fresh.Runs()))).To(BeNumerically("<=", 0.1*float64(sent)+50))
	})

	It("withdraws the move to a version whose streams start in time and then send events several times slower", func() {
		fresh, state, sent := moveEngines(standin.ServerOptions{PromptTime: 20 * time.Millisecond, EventTime: 70 * time.Millisecond}, 100*time.Millisecond)
		Expect(state).To(Equal("rolled_back"))
		Expect(float64(len(fresh.Runs()))).To(BeNumerically("<=", 0.1*float64(sent)+50))
	})

	It("completes the move to a good version of a service that gets two streams a second", func() {
		fresh, state, _ := moveEngines(standin.ServerOptions{PromptTime: 20 * time.Millisecond, EventTime: 10 * time.Millisecond}, 500*time.Millisecond)
		Expect(state).To(Equal("completed"))
		Expect(len(fresh.Runs())).To(BeNumerically(">=", 3), "no move is completed without evidence")
	})

	It("serves metrics with a counter for each reason", func() {
		Expect(s.caller().send("GET", "/nothing/1", "").status).To(Equal(http.StatusNotFound))
		response, err := http.Get("http://" + s.relay.MetricsAddress + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		content, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(content)).To(ContainSubstring(`lentilpoint_relay_refusals_total{reason="unknown_service"} 1`))
	})
})
