package exchange_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/task"
)

// Guards against servers that read requests slowly and so cost this host a copy of each, or
// keep a write open after its attempt.
var _ = Describe("a request that its server does not read", func() {
	It("holds nothing beyond itself, and its write ends with the attempt", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		begun, rest, closed := make(chan struct{}), make(chan struct{}), make(chan int64, 1)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = conn.Read(make([]byte, 1))
			close(begun)
			<-rest
			count, _ := io.Copy(io.Discard, conn)
			closed <- count
		}()
		// More than the kernel keeps for a connection.
		body := make([]byte, 32<<20)
		reports := task.NewMailbox[exchange.Report](4)
		connection := exchange.Open(context.Background(), "s", listener.Addr().String(), plainProtocol{}, reports)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		attempt := &exchange.Attempt{RequestID: "a", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: body}
		Expect(connection.Run(exchange.Exchange{Context: ctx, Attempt: attempt, Events: make(chan exchange.Event, 4)})).To(Succeed())
		Eventually(begun, 10*time.Second).Should(BeClosed())
		runtime.ReadMemStats(&after)
		Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", len(body)/4))
		cancel()
		Eventually(reports.C(), 10*time.Second).Should(Receive(HaveField("Idle", false)))
		close(rest)
		Eventually(closed, 10*time.Second).Should(Receive(BeNumerically("<", len(body))))
	})
})
