package relay_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
)

// Guards against an error of the server that a stream goes on at: its text would stand in
// the middle of the stream, or its end would look like that of the stream.
var _ = Describe("a stream that broke off and whose next server answers with something else", func() {
	DescribeTable("has only events, and does not look complete",
		func(page standin.Page) {
			s := newTestSite()
			Eventually(readinessStatus(s.relay), 5*time.Second).Should(Equal(http.StatusOK))
			for _, engine := range s.engines {
				engine.SetFaults(standin.ServerFaults{CutAfter: 5, PageOnResume: page})
			}
			got := s.caller().send("POST", "/advice/1", "broken")
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.err).To(HaveOccurred(), "the stream ended as if it were complete: %q", got.body)
			Expect(eventData(got.body)).To(Equal(wholeStream("broken")[:5]))
			Expect(got.body).NotTo(ContainSubstring("overloaded"))
			Expect(len(runsOf(s.engines, "broken"))).To(BeNumerically(">", 1))
		},
		Entry("a failure with a text", standin.Page{Status: http.StatusInternalServerError, ContentType: "text/plain", Body: "overloaded\n\n"}),
		Entry("a success with a text", standin.Page{Status: http.StatusOK, ContentType: "text/plain", Body: "overloaded\n\n"}),
		Entry("a success with an error as JSON", standin.Page{Status: http.StatusOK, ContentType: "application/json", Body: "{\"error\":\"overloaded\"}\n\n"}),
		Entry("an empty page", standin.Page{Status: http.StatusOK, ContentType: "text/html"}),
		Entry("no content", standin.Page{Status: http.StatusNoContent}),
		Entry("a redirect", standin.Page{Status: http.StatusFound, ContentType: "text/html", Body: "overloaded\n\n"}),
		Entry("a client error", standin.Page{Status: http.StatusNotFound, ContentType: "text/plain", Body: "overloaded\n\n"}),
	)
})
