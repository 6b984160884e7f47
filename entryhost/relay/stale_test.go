package relay_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
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
})
