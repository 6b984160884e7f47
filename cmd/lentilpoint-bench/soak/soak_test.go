package soak

import (
	"context"
	"io"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

// seedsWithViolations maps each seed that once violated a guarantee to the cause.
var seedsWithViolations = map[uint64]string{}

var _ = Describe("the soak", func() {
	var daemon string

	BeforeEach(func() {
		daemon = filepath.Join(GinkgoT().TempDir(), "lentilpointd")
		output, err := exec.Command("go", "build", "-o", daemon, "github.com/lentilpoint/lentilpoint/cmd/lentilpointd").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(output))
	})

	runSeed := func(seed uint64) {
		findings, err := Run(context.Background(), Options{Seed: seed, Duration: 8 * time.Second, Hosts: 4, Callers: 12, Daemon: daemon, Log: io.Discard})
		Expect(err).NotTo(HaveOccurred())
		Expect(findings.Violations).To(BeEmpty(), "seed %d", seed)
		Expect(findings.Served).To(BeNumerically(">", 0))
	}

	It("finds no violated guarantee in a short run of real processes", func() { runSeed(1) })

	It("finds none at seeds that once violated a guarantee", func() {
		for seed := range seedsWithViolations {
			runSeed(seed)
		}
	})
})

var _ = Describe("a caller of the soak", func() {
	It("resumes after the last complete event, as real callers do", func() {
		Expect(outcome{answer: "id: 4\ndata: b/4\n\nid: 5\ndata"}.lastCompleteEvent()).To(Equal(4))
		Expect(outcome{resumedAfter: 7}.lastCompleteEvent()).To(Equal(7))
	})
})

var _ = Describe("the check of a soak", func() {
	run := standin.Run{Request: "a"}

	DescribeTable("reports a violated guarantee",
		func(o outcome, runs ...standin.Run) { Expect(findViolations([]outcome{o}, runs)).NotTo(BeEmpty()) },
		Entry("an order that ran twice", outcome{id: "a", kind: kindOrder, status: 502}, run, run),
		Entry("a refusal of a request that ran", outcome{id: "a", kind: kindOrder, status: 503}, run),
		Entry("a stream that ends without an error and lacks events", outcome{id: "a", kind: kindStream, status: 200, body: "b", answer: "id: 1\ndata: b/1\n\n"}, run),
		Entry("a resumed stream that repeats an event", outcome{id: "a", kind: kindStream, resumedAfter: 29, status: 200, body: "b", answer: "id: 29\ndata: b/29\n\nid: 30\ndata: b/30\n\n"}, run),
		Entry("another caller's answer", outcome{id: "a", kind: kindOrder, status: 200, body: "b", answer: "answer to c"}, run),
		Entry("a success that no server ran", outcome{id: "a", kind: kindOrder, status: 200, body: "b", answer: "answer to b"}),
	)
})
