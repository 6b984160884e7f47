package relay_test

import (
	"net/http"
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
