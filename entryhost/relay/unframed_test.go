package relay_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
)

var _ = Describe("a relay before engines whose streams end with their connection", func() {
	var s *testSite

	BeforeEach(func() {
		s = newTestSite()
		Eventually(readinessStatus(s.relay), 5*time.Second).Should(Equal(http.StatusOK))
	})

	It("delivers a stream that ends after an event as complete", func() {
		for _, engine := range s.engines {
			engine.SetFaults(standin.ServerFaults{Unframed: true})
		}
		got := s.caller().send("POST", "/advice/1", "unframed")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(eventData(got.body)).To(Equal(wholeStream("unframed")))
		Expect(runsOf(s.engines, "unframed")).To(HaveLen(1))
	})

	DescribeTable("resumes a stream that ends inside an event, without a missing, partial or repeated one",
		func(unframed bool) {
			for _, engine := range s.engines {
				engine.SetFaults(standin.ServerFaults{Unframed: unframed, EndInEvent: 8})
			}
			got := s.caller().send("POST", "/advice/1", "cut")
			Expect(got.err).NotTo(HaveOccurred())
			Expect(eventData(got.body)).To(Equal(wholeStream("cut")))
			Expect(len(runsOf(s.engines, "cut"))).To(BeNumerically(">", 1))
		},
		Entry("without a length and without chunks", true),
		Entry("in chunks", false),
	)
})
