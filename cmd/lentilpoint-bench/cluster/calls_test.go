package cluster_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/entryhost/callers"
)

var _ = Describe("calls with idempotency keys, end to end", Ordered, func() {
	var c *cluster.Cluster

	BeforeAll(func() {
		var err error
		c, err = cluster.Start(context.Background(), cluster.Options{Seed: 4, EntryHosts: 2, PlainServers: 1})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Stop)
	})
	BeforeEach(func() {
		c.PlainServers[0].SetFaults(standin.PlainFaults{})
		c.PlainServers[0].Revive()
	})

	send := func(ctx context.Context, host int, method, path, key, order, body string) (*http.Response, []byte, error) {
		GinkgoHelper()
		request, err := http.NewRequestWithContext(ctx, method, c.URL(host)+"/services/orders"+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer "+cluster.APIKey("bubbles"))
		request.Header.Set(standin.HeaderOrder, order)
		request.Header.Set("X-Deadline-Ms", "400")
		if key != "" {
			request.Header.Set("Idempotency-Key", key)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return nil, nil, err
		}
		defer func() { _ = response.Body.Close() }()
		content, err := io.ReadAll(response.Body)
		return response, content, err
	}
	post := func(host int, key, order, body string) (int, []byte) {
		GinkgoHelper()
		response, content, err := send(context.Background(), host, http.MethodPost, "/orders", key, order, body)
		Expect(err).NotTo(HaveOccurred())
		return response.StatusCode, content
	}
	fault := func(content []byte) callers.ErrorDetail {
		GinkgoHelper()
		var body callers.ErrorBody
		Expect(json.Unmarshal(content, &body)).To(Succeed())
		return body.Error
	}

	It("repeat the recorded answer on another entry host", func() {
		status, first := post(0, "k-1", "o-1", "wands")
		Expect(status).To(Equal(http.StatusOK))
		status, second := post(1, "k-1", "o-1", "wands")
		Expect(status).To(Equal(http.StatusOK))
		Expect(second).To(Equal(first))
		Expect(c.Executions()["o-1"]).To(Equal(1))
	})

	It("refuse a key with another body, method or path as a conflict", func() {
		post(0, "k-2", "o-2", "wands")
		for _, other := range []struct{ method, path, body string }{
			{http.MethodPost, "/orders", "bubbles"}, {http.MethodPut, "/orders", "wands"}, {http.MethodPost, "/others", "wands"},
		} {
			response, content, err := send(context.Background(), 1, other.method, other.path, "k-2", "o-2", other.body)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusConflict))
			Expect(string(fault(content).Reason)).To(Equal("key_reused"))
		}
	})

	It("are recorded even if the caller disconnects before the answer", func() {
		c.PlainServers[0].SetFaults(standin.PlainFaults{Delay: 150 * time.Millisecond})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, _, err := send(ctx, 0, http.MethodPost, "/orders", "k-3", "o-3", "wands")
		Expect(err).To(HaveOccurred())
		Eventually(func() int { status, _ := post(1, "k-3", "o-3", "wands"); return status }, 3*time.Second).Should(Equal(http.StatusOK))
		Expect(c.Executions()["o-3"]).To(Equal(1))
	})

	It("release the key of a call that reached no server, so that a repeat can run", func() {
		c.PlainServers[0].Die()
		status, content := post(0, "k-4", "o-4", "wands")
		Expect(status).To(BeNumerically(">=", 500))
		Expect(string(fault(content).Executed)).To(Equal("no"))
		c.PlainServers[0].Revive()
		Eventually(func() int { status, _ := post(1, "k-4", "o-4", "wands"); return status }, 3*time.Second).Should(Equal(http.StatusOK))
		Expect(c.Executions()["o-4"]).To(Equal(1))
	})

	DescribeTable("end at their deadline with an unknown outcome when the server does not answer",
		func(key string) {
			c.PlainServers[0].SetFaults(standin.PlainFaults{Hang: true})
			started := time.Now()
			status, content := post(0, key, "o-5", "wands")
			Expect(time.Since(started)).To(BeNumerically("<", 3*time.Second))
			Expect(status).To(Equal(http.StatusBadGateway))
			Expect(string(fault(content).Executed)).To(Equal("unknown"))
		},
		Entry("with a key", "k-5"),
		Entry("without a key", ""),
	)

	It("reach a server through a new connection when the open ones stopped responding", func() {
		_, _, err := send(context.Background(), 0, http.MethodGet, "/orders", "", "", "")
		Expect(err).NotTo(HaveOccurred())
		c.PlainServers[0].Silence()
		response, _, err := send(context.Background(), 0, http.MethodGet, "/orders", "", "", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	})

	It("report a truncated answer as an error, with and without a key", func() {
		c.PlainServers[0].SetFaults(standin.PlainFaults{CutAnswer: true})
		_, _, err := send(context.Background(), 0, http.MethodPost, "/orders", "", "o-6", "wands")
		Expect(err).To(HaveOccurred())
		_, content := post(0, "k-6", "o-7", "wands")
		Expect(string(fault(content).Reason)).To(Equal("outcome_unknown"))
	})

	It("forward a long answer completely and report to a repeat that the call was executed", func() {
		c.PlainServers[0].SetFaults(standin.PlainFaults{Padding: 200 << 10})
		status, content := post(0, "k-8", "o-8", "wands")
		Expect(status).To(Equal(http.StatusOK))
		Expect(len(content)).To(BeNumerically(">", 200<<10))
		status, content = post(1, "k-8", "o-8", "wands")
		Expect(status).To(Equal(http.StatusConflict))
		Expect(string(fault(content).Executed)).To(Equal("yes"))
	})

	It("run once with a ticket while the platform is down", func() {
		c.Platform.SetFaults(standin.PlatformFaults{Down: true})
		DeferCleanup(func() { c.Platform.SetFaults(standin.PlatformFaults{}) })
		status, content := post(0, "k-9", "o-9", "wands")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(fault(content).Remedy).To(ContainSubstring("/v1/tickets"))
		request, err := http.NewRequest(http.MethodPost, c.URL(0)+"/v1/tickets", nil)
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer "+cluster.APIKey("bubbles"))
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		var ticket struct{ Ticket string }
		Expect(json.NewDecoder(response.Body).Decode(&ticket)).To(Succeed())
		status, first := post(0, ticket.Ticket, "o-9", "wands")
		Expect(status).To(Equal(http.StatusOK))
		_, second := post(0, ticket.Ticket, "o-9", "wands")
		Expect(second).To(Equal(first))
		Expect(c.Executions()["o-9"]).To(Equal(1))
	})
})
