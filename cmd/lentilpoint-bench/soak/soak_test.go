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

// failedSeeds are seeds that broke a promise once, with the cause.
var failedSeeds = map[uint64]string{}

var _ = Describe("the soak", func() {
	var daemon string

	BeforeEach(func() {
		daemon = filepath.Join(GinkgoT().TempDir(), "lentilpointd")
		output, err := exec.Command("go", "build", "-o", daemon, "github.com/lentilpoint/lentilpoint/cmd/lentilpointd").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(output))
	})

	play := func(seed uint64) {
		report, err := Run(context.Background(), Options{Seed: seed, Duration: 8 * time.Second, Hosts: 4, Callers: 12, Daemon: daemon, Log: io.Discard})
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Broken).To(BeEmpty(), "seed %d", seed)
		Expect(report.Served).To(BeNumerically(">", 0))
	}

	It("finds no broken promise in a short run of real processes", func() { play(1) })

	It("finds none at seeds that failed before", func() {
		for seed := range failedSeeds {
			play(seed)
		}
	})
})

var _ = Describe("a caller of the soak", func() {
	It("resumes after the last whole event, as callers do", func() {
		Expect(outcome{answer: "id: 4\ndata: b/4\n\nid: 5\ndata"}.events()).To(Equal(4))
		Expect(outcome{after: 7}.events()).To(Equal(7))
	})
})

var _ = Describe("the check of a soak", func() {
	run := standin.Run{Request: "a"}

	DescribeTable("reports a broken promise",
		func(o outcome, runs ...standin.Run) { Expect(check([]outcome{o}, runs)).NotTo(BeEmpty()) },
		Entry("an order that ran twice", outcome{id: "a", kind: kindOrder, status: 502}, run, run),
		Entry("a refusal of what ran", outcome{id: "a", kind: kindOrder, status: 503}, run),
		Entry("a stream with a missing event that looks complete", outcome{id: "a", kind: kindStream, status: 200, body: "b", answer: "id: 1\ndata: b/1\n\n"}, run),
		Entry("a resumed stream that repeats an event", outcome{id: "a", kind: kindStream, after: 29, status: 200, body: "b", answer: "id: 29\ndata: b/29\n\nid: 30\ndata: b/30\n\n"}, run),
		Entry("another caller's answer", outcome{id: "a", kind: kindOrder, status: 200, body: "b", answer: "answer to c"}, run),
		Entry("a success that no server ran", outcome{id: "a", kind: kindOrder, status: 200, body: "b", answer: "answer to b"}),
	)
})
