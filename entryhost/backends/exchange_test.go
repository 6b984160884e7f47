package backends

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// seenRequest is one request that a raw server read.
type seenRequest struct {
	connection int
	method     string
}

// startRawServer starts a server that controls each byte and connection. answer
// returns the bytes to write for a request and whether the connection stays open.
func startRawServer(answer func(connection, request int) (string, bool)) (address string, seen chan seenRequest) {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	seen = make(chan seenRequest, 64)
	go func() {
		for connection := 0; ; connection++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRawConnection(conn, connection, answer, seen)
		}
	}()
	return listener.Addr().String(), seen
}

func serveRawConnection(conn net.Conn, connection int, answer func(connection, request int) (string, bool), seen chan<- seenRequest) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		seen <- seenRequest{connection: connection, method: request.Method}
		content, open := answer(connection, number)
		if _, err := io.WriteString(conn, content); err != nil || !open {
			return
		}
	}
}

var _ = Describe("an exchange with a plain service", func() {
	var server *serverTask

	startServerTask := func(address string) {
		server = newServerTask(model.Host{ID: "plain-0", Address: address}, task.NewMailbox[Event](16), nil,
			clockwork.NewRealClock(), Polling{MinInterval: time.Second}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		server.openTransports()
		DeferCleanup(server.closeTransports)
	}
	exchange := func(ctx context.Context, method, body string, repeatable bool) ExchangeHead {
		replies := make(chan ExchangeHead, 1)
		exchange := &exchangeTask{client: server.exchangeClient(repeatable), address: server.state.Host.Address, open: OpenExchange{
			Context: ctx, Method: method, Path: "/orders", Header: http.Header{"Idempotency-Key": {"k"}},
			Body: strings.NewReader(body), ContentLength: int64(len(body)), Repeatable: repeatable, Reply: replies,
		}}
		exchange.run()
		return <-replies
	}
	readAll := func(head ExchangeHead) string {
		GinkgoHelper()
		Expect(head.Err).To(BeNil())
		content, err := io.ReadAll(head.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(head.Body.Close()).To(Succeed())
		return string(content)
	}
	okResponse := func(text string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}

	DescribeTable("sends a call that is not idempotent once, also when net/http would send it again on a reused connection",
		func(method, body string) {
			address, seen := startRawServer(func(_, request int) (string, bool) {
				if request == 0 {
					return okResponse("first"), true
				}
				return "", false
			})
			startServerTask(address)
			// The first call leaves a pooled connection that could be reused.
			Expect(readAll(exchange(context.Background(), http.MethodGet, "", true))).To(Equal("first"))
			Expect(readAll(exchange(context.Background(), method, body, false))).To(Equal("first"))
			Expect(readAll(exchange(context.Background(), method, body, false))).To(Equal("first"))
			Consistently(seen, 50*time.Millisecond).ShouldNot(HaveLen(4))
			connections := map[int]bool{}
			for range 3 {
				connections[(<-seen).connection] = true
			}
			Expect(connections).To(HaveLen(3), "each call has a connection of its own")
		},
		Entry("with an empty body", http.MethodPost, ""),
		Entry("with a body", http.MethodPost, "wands"),
		Entry("with a method that net/http takes for idempotent", http.MethodGet, ""),
	)

	It("sends a call once when the server closes the connection without an answer", func() {
		address, seen := startRawServer(func(_, _ int) (string, bool) { return "", false })
		startServerTask(address)
		head := exchange(context.Background(), http.MethodPost, "", false)
		Expect(head.Err.Kind).To(Equal(FailureBroken))
		Eventually(seen).Should(HaveLen(1))
		Consistently(seen, 50*time.Millisecond).Should(HaveLen(1))
	})

	It("never reuses a connection with an unread answer, whose rest would reach the next request", func() {
		address, _ := startRawServer(func(connection, _ int) (string, bool) {
			return okResponse(strings.Repeat(fmt.Sprint(connection), 100_000)), true
		})
		startServerTask(address)
		first := exchange(context.Background(), http.MethodGet, "", true)
		Expect(first.Err).To(BeNil())
		_, err := io.ReadFull(first.Body, make([]byte, 10))
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Body.Close()).To(Succeed())
		Expect(readAll(exchange(context.Background(), http.MethodGet, "", true))).To(Equal(strings.Repeat("1", 100_000)))
	})

	It("does not deliver an answer that arrives after its request timed out to the next request", func() {
		release := make(chan struct{})
		address, _ := startRawServer(func(connection, _ int) (string, bool) {
			if connection == 0 {
				<-release
			}
			return okResponse(fmt.Sprintf("answer on connection %d", connection)), true
		})
		startServerTask(address)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		Expect(exchange(ctx, http.MethodGet, "", true).Err).NotTo(BeNil())
		close(release)
		Expect(readAll(exchange(context.Background(), http.MethodGet, "", true))).To(Equal("answer on connection 1"))
	})

	It("reports that no byte was sent when no connection was made", func() {
		startServerTask("127.0.0.1:1")
		Expect(exchange(context.Background(), http.MethodPost, "x", false).Err.Kind).To(Equal(FailureConnect))
	})

	It("reports a truncated body as an error and not as its end", func() {
		address, _ := startRawServer(func(_, _ int) (string, bool) {
			return "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", false
		})
		startServerTask(address)
		head := exchange(context.Background(), http.MethodPost, "x", false)
		Expect(head.Err).To(BeNil())
		_, err := io.ReadAll(head.Body)
		Expect(err).To(HaveOccurred())
	})
})
