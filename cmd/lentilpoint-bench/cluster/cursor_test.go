package cluster_test

import (
	"bytes"
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/settings"
)

var _ = Describe("a reconnecting caller", Ordered, func() {
	var c *cluster.Cluster
	body := cluster.GenerationRequest{Model: string(cluster.ServiceAdvisor), Prompt: "a b c", MaxTokens: 200, Seed: 3}
	expected := standin.ExpectedTokens(standin.Tokenize("a b c"), 3, cluster.VersionOne, 200)

	BeforeAll(func() {
		var err error
		c, err = cluster.Start(context.Background(), cluster.Options{
			Seed: 4, EntryHosts: 2, Engines: 2,
			Settings: func(values *settings.Settings) { values.CursorKeys = []string{"k=000102030405060708090a0b0c0d0e0f"} },
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Stop)
	})

	// decodedTokens returns the number of tokens decoded in the latest attempt.
	decodedTokens := func() int {
		attempts := c.Attempts()
		if len(attempts) == 0 {
			return 0
		}
		return attempts[len(attempts)-1].Decoded
	}

	// interruptStream starts a generation and closes its connection once the engine
	// has decoded 20 tokens or more.
	interruptStream := func(client *cluster.Client) cluster.Stream {
		GinkgoHelper()
		before := len(c.Attempts())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		streams := make(chan cluster.Stream, 1)
		go func() { streams <- client.Generate(ctx, c.URL(0), body, "") }()
		Eventually(func() bool { return len(c.Attempts()) > before && decodedTokens() >= 20 }, 5*time.Second, 5*time.Millisecond).Should(BeTrue())
		cancel()
		stream := <-streams
		Expect(stream.Finished).To(BeFalse())
		Expect(stream.Tokens).NotTo(BeEmpty())
		return stream
	}

	It("continues the engine's stream at another entry host without decoding again", func() {
		client := cluster.NewClient("bubbles")
		DeferCleanup(client.Close)
		first := interruptStream(client)
		attempts := len(c.Attempts())
		second := client.Generate(context.Background(), c.URL(1), body, first.LastEventID)
		Expect(append(first.Tokens, second.Tokens...)).To(Equal(expected))
		Expect(second.Finished).To(BeTrue())
		Expect(c.Attempts()).To(HaveLen(attempts))
		var page bytes.Buffer
		c.Metrics[1].WritePrometheus(&page)
		Expect(page.String()).NotTo(ContainSubstring("lentilpoint_retries_total"))
	})

	It("receives the remaining tokens from a new attempt when the engine lost the stream too, and counts the retry", func() {
		client := cluster.NewClient("bubbles")
		DeferCleanup(client.Close)
		first := interruptStream(client)
		for _, engine := range c.Engines {
			engine.Die()
			engine.Revive()
		}
		second := client.Generate(context.Background(), c.URL(1), body, first.LastEventID)
		Expect(append(first.Tokens, second.Tokens...)).To(Equal(expected))
		var page bytes.Buffer
		c.Metrics[1].WritePrometheus(&page)
		Expect(page.String()).To(ContainSubstring(`lentilpoint_retries_total{reason="gone"}`))
	})

	It("is refused as not run with a cursor of another organisation, another body or a modified cursor", func() {
		client := cluster.NewClient("bubbles")
		DeferCleanup(client.Close)
		foreign := cluster.NewClient("wands")
		DeferCleanup(foreign.Close)
		first := interruptStream(client)
		other := body
		other.Prompt = "a b d"
		refused := map[model.Reason]cluster.Stream{
			model.ReasonCursorMismatch: foreign.Generate(context.Background(), c.URL(1), body, first.LastEventID),
			model.ReasonCursorInvalid:  client.Generate(context.Background(), c.URL(1), body, first.LastEventID+"A"),
		}
		for reason, stream := range refused {
			Expect(stream.Fault).NotTo(BeNil())
			Expect(stream.Fault.Reason).To(Equal(reason))
			Expect(stream.Fault.Executed).To(Equal(model.ExecutedNo))
			Expect(stream.Tokens).To(BeEmpty())
		}
		stream := client.Generate(context.Background(), c.URL(1), other, first.LastEventID)
		Expect(stream.Fault.Reason).To(Equal(model.ReasonCursorMismatch))
	})
})
