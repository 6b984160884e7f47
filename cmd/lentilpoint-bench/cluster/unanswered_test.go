package cluster_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
)

var _ = Describe("a caller that closes its sending side", Ordered, func() {
	var c *cluster.Cluster

	BeforeAll(func() {
		var err error
		c, err = cluster.Start(context.Background(), cluster.Options{Seed: 1, EntryHosts: 1, Engines: 1})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Stop)
	})

	// ask sends a request, closes the sending side after the given time and returns all
	// that arrives.
	ask := func(stream bool, after time.Duration) string {
		GinkgoHelper()
		conn, err := net.Dial("tcp", strings.TrimPrefix(c.URL(0), "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		body := fmt.Sprintf(`{"model":%q,"prompt":"a b","max_tokens":2000,"stream":%t}`, cluster.ServiceAdvisor, stream)
		_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			cluster.APIKey("bubbles"), len(body), body)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(after)
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		content, _ := io.ReadAll(conn)
		return string(content)
	}

	It("gets no empty answer with status 200, since its request was given up", func() {
		Expect(ask(false, 50*time.Millisecond)).To(BeEmpty())
	})

	It("gets no stream that looks complete", func() {
		Expect(ask(true, 300*time.Millisecond)).NotTo(HaveSuffix("0\r\n\r\n"))
	})
})
