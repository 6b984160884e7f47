package main_test

import (
	"context"
	"net/http"
	"os/exec"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lentilpointd")
}

func freeAddress() string {
	GinkgoHelper()
	address, err := standin.FreeAddress()
	Expect(err).NotTo(HaveOccurred())
	return address
}

var _ = Describe("the daemon as a separate process", Ordered, func() {
	var program string

	BeforeAll(func() {
		var err error
		program, err = gexec.Build("github.com/lentilpoint/lentilpoint/cmd/lentilpointd")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(gexec.CleanupBuildArtifacts)
	})

	It("names every bad setting at once and does not start", func() {
		session, err := gexec.Start(exec.Command(program, "--log-format", "xml"), GinkgoWriter, GinkgoWriter)
		Expect(err).NotTo(HaveOccurred())
		Eventually(session, 10*time.Second).Should(gexec.Exit(1))
		for _, flag := range []string{"--host-id", "--data-centre", "--platform-url", "--log-format"} {
			Expect(session.Err.Contents()).To(ContainSubstring(flag))
		}
	})

	It("finishes a generation that is open when SIGTERM arrives, then exits with 0", func() {
		c, err := cluster.Start(context.Background(), cluster.Options{Seed: 1, Engines: 2})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Stop)
		address := freeAddress()
		command := exec.Command(program, "--data-centre", "jkt", "--caller-address", address, "--platform-url", c.Platform.URL())
		command.Env = []string{"LENTILPOINT_HOST_ID=entry-9"}
		session, err := gexec.Start(command, GinkgoWriter, GinkgoWriter)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(session.Kill)
		Eventually(func() int {
			response, err := http.Get("http://" + address + "/readyz")
			if err != nil {
				return 0
			}
			_ = response.Body.Close()
			return response.StatusCode
		}, 10*time.Second).Should(Equal(http.StatusOK))
		client := cluster.NewClient("bubbles")
		DeferCleanup(client.Close)
		body := cluster.GenerationRequest{Model: string(cluster.ServiceAdvisor), Prompt: "a b c", MaxTokens: 200, Seed: 3}
		streams := make(chan cluster.Stream, 1)
		go func() { streams <- client.Generate(context.Background(), "http://"+address, body, "") }()
		Eventually(func() int { return len(c.Attempts()) }, 5*time.Second).Should(Equal(1))
		session.Signal(syscall.SIGTERM)
		stream := <-streams
		Expect(stream.Finished).To(BeTrue())
		Expect(stream.Tokens).To(Equal(standin.ExpectedTokens(standin.Tokenize("a b c"), 3, cluster.VersionOne, 200)))
		Eventually(session, 10*time.Second).Should(gexec.Exit(0))
		Expect(session.Err).To(gbytes.Say(`"event":1002`))
	})
})
