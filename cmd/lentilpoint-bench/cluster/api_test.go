package cluster_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/entryhost/callers"
)

func TestCluster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cluster")
}

var _ = Describe("the caller API", Ordered, func() {
	var c *cluster.Cluster

	BeforeAll(func() {
		var err error
		c, err = cluster.Start(context.Background(), cluster.Options{Seed: 1, EntryHosts: 1, Engines: 2, PlainServers: 1})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Stop)
	})

	send := func(method, path, key, body string) (*http.Response, string) {
		GinkgoHelper()
		request, err := http.NewRequest(method, c.URL(0)+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		if key != "" {
			request.Header.Set("Authorization", "Bearer "+key)
		}
		request.Header.Set("X-Request-Id", "request-7")
		request.Header.Set("Connection", "X-Private")
		request.Header.Set("X-Private", "secret")
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		content, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return response, string(content)
	}

	It("works with an unmodified OpenAI client library, streaming and not streaming", func() {
		client := openai.NewClient(option.WithBaseURL(c.URL(0)+"/v1"), option.WithAPIKey(cluster.APIKey("bubbles")))
		parameters := openai.ChatCompletionNewParams{
			Model:     string(cluster.ServiceAdvisor),
			Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("how much soap for one hundred bubbles")},
			MaxTokens: openai.Int(20), Seed: openai.Int(5),
		}
		completion, err := client.Chat.Completions.New(context.Background(), parameters)
		Expect(err).NotTo(HaveOccurred())
		stream := client.Chat.Completions.NewStreaming(context.Background(), parameters)
		var text strings.Builder
		for stream.Next() {
			text.WriteString(stream.Current().Choices[0].Delta.Content)
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(text.String()).To(Equal(completion.Choices[0].Message.Content))
		messages := json.RawMessage(`[{"role":"user","content":"how much soap for one hundred bubbles"}]`)
		prompt, err := standin.ChatTokens(messages)
		Expect(err).NotTo(HaveOccurred())
		var expected strings.Builder
		for _, id := range standin.ExpectedTokens(prompt, 5, cluster.VersionOne, 20) {
			expected.WriteString(standin.TokenText(id))
		}
		Expect(text.String()).To(Equal(expected.String()))
		Expect(completion.Usage.CompletionTokens).To(Equal(int64(20)))
	})

	DescribeTable("refuses bad input with the name of the field and as not run",
		func(path, body, field string) {
			response, content := send(http.MethodPost, path, cluster.APIKey("bubbles"), body)
			Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
			var fault callers.ErrorBody
			Expect(json.Unmarshal([]byte(content), &fault)).To(Succeed())
			Expect(fault.Error.Field).To(Equal(field))
			Expect(string(fault.Error.Executed)).To(Equal("no"))
			Expect(fault.Error.Remedy).NotTo(BeEmpty())
		},
		Entry("no model", "/v1/completions", `{"prompt":"a"}`, "model"),
		Entry("no prompt", "/v1/completions", `{"model":"advisor"}`, "prompt"),
		Entry("no messages", "/v1/chat/completions", `{"model":"advisor"}`, "messages"),
		Entry("several answers", "/v1/completions", `{"model":"advisor","prompt":"a","n":3}`, "n"),
		Entry("wrong type", "/v1/completions", `{"model":"advisor","prompt":"a","max_tokens":"many"}`, "max_tokens"),
		Entry("too many tokens", "/v1/completions", `{"model":"advisor","prompt":"a","max_tokens":10000000}`, "max_tokens"),
	)

	It("refuses a request without a valid key", func() {
		response, content := send(http.MethodPost, "/v1/completions", "", `{"model":"advisor","prompt":"a"}`)
		Expect(response.StatusCode).To(Equal(http.StatusUnauthorized))
		Expect(content).To(ContainSubstring(`"no_credentials"`))
		Expect(response.Header.Get("X-Request-Id")).To(Equal("request-7"))
		response, _ = send(http.MethodPost, "/v1/completions", "key-nobody", `{"model":"advisor","prompt":"a"}`)
		Expect(response.StatusCode).To(Equal(http.StatusUnauthorized))
	})

	It("forwards calls to a plain service and counts refusals by reason", func() {
		response, content := send(http.MethodPost, "/services/orders/orders?x=1", cluster.APIKey("wands"), "body")
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(content).To(ContainSubstring(`"bytes":4`))
		Expect(response.Header.Get("X-Served-By")).To(Equal("plain-0"))
		response, _ = send(http.MethodGet, "/services/none/x", cluster.APIKey("wands"), "")
		Expect(response.StatusCode).To(Equal(http.StatusNotFound))
		var page bytes.Buffer
		c.Metrics[0].WritePrometheus(&page)
		Expect(page.String()).To(ContainSubstring(`lentilpoint_refusals_total{reason="unknown_service"}`))
	})
})

var _ = Describe("a graceful shutdown", func() {
	It("finishes open streams and refuses new work as not run", func() {
		c, err := cluster.Start(context.Background(), cluster.Options{Seed: 2, EntryHosts: 1, Engines: 2})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Stop)
		client := cluster.NewClient("bubbles")
		DeferCleanup(client.Close)
		body := cluster.GenerationRequest{Model: string(cluster.ServiceAdvisor), Prompt: "a b c", MaxTokens: 200, Seed: 3}
		streams := make(chan cluster.Stream, 1)
		go func() { streams <- client.Generate(context.Background(), c.URL(0), body, "") }()
		Eventually(func() int { return len(c.Attempts()) }).Should(Equal(1))
		stopped := make(chan error, 1)
		go func() { stopped <- c.Hosts[0].Stop(context.Background()) }()
		Eventually(func() int {
			response, err := http.Get(c.URL(0) + "/readyz")
			if err != nil {
				return 0
			}
			_ = response.Body.Close()
			return response.StatusCode
		}).Should(Equal(http.StatusServiceUnavailable))
		refused := client.Generate(context.Background(), c.URL(0), body, "")
		Expect(refused.Fault).NotTo(BeNil())
		Expect(string(refused.Fault.Executed)).To(Equal("no"))
		stream := <-streams
		Expect(stream.Finished).To(BeTrue())
		Expect(stream.Tokens).To(Equal(standin.ExpectedTokens(standin.Tokenize("a b c"), 3, cluster.VersionOne, 200)))
		Expect(<-stopped).To(Succeed())
	})
})
