package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/platform"
)

// Guards against names of the operator's configuration for which the metrics library
// panics: the panic ends the dispatcher, so that requests of all services wait in vain,
// or the goroutine of a request, whose caller then gets no answer at all.
var _ = Describe("a service whose name is odd", func() {
	DescribeTable("is served like others and harms none of them",
		func(name string) {
			s := newTestSite()
			Eventually(readinessStatus(s.relay), 5*time.Second).Should(Equal(http.StatusOK))
			odd, err := standin.StartServer(s.ctx, standin.ServerOptions{Name: "odd", Service: name, Zone: "zone-0", Version: "v1"}, s.store)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.store.Put(platform.TableOrders, platform.KeyConfig, map[string]any{
				"version": 2, "routes": []map[string]any{
					{"name": "odd", "host": "site.example", "prefix": "/odd/", "route_type": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 500, "service": name, "max_attempts": 1},
					{"name": "order", "host": "site.example", "prefix": "/order/", "route_type": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 500, "service": "shop", "max_attempts": 1},
				},
				"services": []map[string]any{{"name": name}, {"name": "shop"}},
				"tenants":  []map[string]any{{"name": organisation, "api_keys": []string{key}}},
			})).To(Succeed())
			Eventually(func() int { return s.caller().send("POST", "/odd/1", "first").status }, 3*time.Second).Should(Equal(http.StatusOK))
			for range 6 {
				got := s.caller().send("POST", "/odd/1", "more")
				Expect(got.err).NotTo(HaveOccurred())
				Expect(got.status).To(Equal(http.StatusOK))
				Expect(s.caller().send("POST", "/order/1", "other").status).To(Equal(http.StatusOK))
			}
			odd.SetFaults(standin.ServerFaults{Refuse: true})
			got := s.caller().send("POST", "/odd/1", "refused")
			Expect(got.err).NotTo(HaveOccurred(), "a refusal, not a closed connection")
			Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		},
		Entry("a quote", `sh"op`),
		Entry("a backslash", `shop\`),
		Entry("a line break", "sh\nop"),
		Entry("no letters", `",x="`),
	)
})

// Guards against entries of other writers that end or stop the relay, or hide servers.
var _ = Describe("an odd entry among the registrations", func() {
	var s *testSite
	BeforeEach(func() {
		s = newTestSite()
		Eventually(readinessStatus(s.relay), 5*time.Second).Should(Equal(http.StatusOK))
	})

	// entry returns a registration with the address of the server and a far later start.
	entry := func(server *standin.Server, changes map[string]any) map[string]any {
		fields := map[string]any{
			"service": "shop", "address": server.Address(), "zone": "zone-0", "version": "v1", "slots": 8,
			"state": "ready", "cold_remaining_ms": 0, "call_seq": 0, "born": time.Now().Add(time.Hour).UnixMilli(),
		}
		for name, value := range changes {
			fields[name] = value
		}
		return fields
	}

	DescribeTable("does not hide the server at its address",
		func(changes map[string]any) {
			for i, server := range s.plain {
				Expect(s.store.Put(platform.TableServers, fmt.Sprintf("odd-%d", i), entry(server, changes))).To(Succeed())
			}
			// The catalog publishes within the pace of its follower.
			time.Sleep(500 * time.Millisecond)
			for i := range 20 {
				body := fmt.Sprint("order-", i)
				Expect(s.caller().send("POST", "/order/1", body).status).To(Equal(http.StatusOK))
				Expect(runsOf(s.plain, body)).To(HaveLen(1))
			}
		},
		Entry("with a later start", nil),
		Entry("that is draining", map[string]any{"state": "draining"}),
		Entry("of another service", map[string]any{"service": "engine"}),
		Entry("of a service that is not configured", map[string]any{"service": "unheard-of"}),
		Entry("with a start that overflows", map[string]any{"born": int64(9223372036854775807)}),
		Entry("with a start whose nanoseconds wrap", map[string]any{"born": int64(27670116110564327)}),
	)

	readMetrics := func() string {
		response, err := http.Get("http://" + s.relay.MetricsAddress + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		content, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return string(content)
	}

	It("does not make the relay pass on what a process that is no server of the service answers", func() {
		stranger := httptest.NewServer(http.NotFoundHandler())
		defer stranger.Close()
		Expect(s.store.Put(platform.TableServers, "odd", entry(s.plain[0], map[string]any{"address": stranger.Listener.Addr().String()}))).To(Succeed())
		for _, server := range s.plain {
			s.store.Remove(platform.TableServers, server.ID())
		}
		Eventually(func() int { return s.caller().send("POST", "/order/1", "order").status }, 2*time.Second).Should(Equal(http.StatusBadGateway))
		Expect(s.caller().send("POST", "/order/1", "order").status).To(Equal(http.StatusBadGateway), "a 404 would tell the caller not to come again")
	})

	It("does not stop or delay the list, also on a host that follows another one, and takes no request", func() {
		second, _, _ := s.start(s.store.Address())
		Eventually(readinessStatus(second), 5*time.Second).Should(Equal(http.StatusOK))
		follower := caller{settings: second, header: s.caller().header}
		deep := strings.Repeat("[", 10001) + strings.Repeat("]", 10001)
		for i, value := range []any{
			nil, 7, "x", []any{}, entry(s.plain[0], map[string]any{"address": "10.0.0.1:99999"}), entry(s.plain[0], map[string]any{"address": ":0"}),
			entry(s.plain[0], map[string]any{"address": "localhost:http"}), entry(s.plain[0], map[string]any{"slots": "8"}), entry(s.plain[0], map[string]any{"zone": strings.Repeat("z", 60000)}),
		} {
			for _, table := range []string{platform.TableServers, platform.TableHosts} {
				Expect(s.store.Put(table, fmt.Sprintf("odd-%d", i), value)).To(Succeed())
			}
		}
		for i, value := range []string{deep, deep[:10000], `{"service":1e400}`, "\x00\xff", strings.Repeat(" ", 60000)} {
			for _, table := range []string{platform.TableServers, platform.TableHosts} {
				s.store.PutRaw(table, fmt.Sprintf("raw-%d", i), []byte(value))
			}
		}
		fresh, err := standin.StartServer(s.ctx, standin.ServerOptions{Name: "fresh", Service: "shop", Zone: "zone-0", Version: "v1"}, s.store)
		Expect(err).NotTo(HaveOccurred())
		for _, server := range s.plain {
			s.store.Remove(platform.TableServers, server.ID())
		}
		Eventually(func() int {
			Expect(s.caller().send("POST", "/order/1", "order").status).To(Equal(http.StatusOK))
			return len(fresh.Runs())
		}, 2*time.Second).Should(BeNumerically(">", 0), "the list is still followed")
		Eventually(func() int { return follower.send("POST", "/order/1", "follower").status }, 2*time.Second).Should(Equal(http.StatusOK))
		for range 20 {
			Expect(s.caller().send("POST", "/order/1", "order").status).To(Equal(http.StatusOK))
			Expect(follower.send("POST", "/order/1", "order").status).To(Equal(http.StatusOK))
		}
		exposed := readMetrics()
		Expect(exposed).To(ContainSubstring("lentilpoint_catalog_rows_rejected_total 14\n"), "each is counted once")
		Expect(exposed).NotTo(ContainSubstring(`outcome="unreachable"`), "none is dialled")
	})
})
