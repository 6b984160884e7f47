package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/task"
)

func TestExchange(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "exchange")
}

// plainProtocol copies headers unchanged; Id carries the request id.
type plainProtocol struct{}

// Encode implements Protocol.
func (plainProtocol) Encode(*exchange.Attempt) http.Header { return http.Header{} }

// Decode implements Protocol.
func (plainProtocol) Decode(response *http.Response) exchange.ResponseHead {
	return exchange.ResponseHead{Status: response.StatusCode, RequestID: response.Header.Get("Id"), NotRun: response.Header.Get("Not-Run") != "", Header: response.Header}
}

// startServer starts a server that sends the same raw response to each request and
// then calls afterResponse.
func startServer(response string, afterResponse func(net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = fmt.Fprint(conn, response)
					afterResponse(conn)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// runRequest sends one request on the connection and returns its last event, or
// a zero event after 2 s.
func runRequest(connection *exchange.Connection) exchange.Event {
	_, last := runAttempt(connection, &exchange.Attempt{RequestID: "a"})
	return last
}

// runAttempt sends the attempt on the connection and returns the head of its response,
// or nil, and its last event, or a zero event after 2 s.
func runAttempt(connection *exchange.Connection, attempt *exchange.Attempt) (*exchange.ResponseHead, exchange.Event) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	events := make(chan exchange.Event, 16)
	attempt.Method, attempt.Target, attempt.Host, attempt.Header = "GET", "/", "h", http.Header{}
	Expect(connection.Run(exchange.Exchange{Context: ctx, Attempt: attempt, Events: events})).To(Succeed())
	var head *exchange.ResponseHead
	for {
		select {
		case event := <-events:
			if event.Head != nil {
				head = event.Head
			}
			if event.End || event.Failed != nil {
				return head, event
			}
		case <-ctx.Done():
			return head, exchange.Event{}
		}
	}
}

var _ = Describe("a connection to a server", func() {
	var reports task.Mailbox[exchange.Report]
	open := func(address string) *exchange.Connection {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		reports = task.NewMailbox[exchange.Report](4)
		return exchange.Open(ctx, "s", address, plainProtocol{}, reports)
	}
	keepOpen := func(net.Conn) {}

	It("is reused after a complete response", func() {
		connection := open(startServer("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok", keepOpen))
		Expect(runRequest(connection).End).To(BeTrue())
		Expect((<-reports.C()).Idle).To(BeTrue())
		Expect(runRequest(connection).End).To(BeTrue())
	})

	It("fails a request as unsent if it was assigned while the connection ended, instead of leaving it without an event", func() {
		connection := open(startServer("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok", func(conn net.Conn) {
			time.Sleep(20 * time.Millisecond)
			_ = conn.Close()
		}))
		Expect(runRequest(connection).End).To(BeTrue())
		Expect((<-reports.C()).Idle).To(BeTrue())
		Expect((<-reports.C()).Idle).To(BeFalse())
		// The owner assigns a request although the connection has reported its end.
		event := runRequest(connection)
		Expect(event.Failed).NotTo(BeNil())
		Expect(event.Failed.Phase).To(Equal(exchange.Unsent))
	})

	DescribeTable("ends after a response that makes it unusable",
		func(response string) {
			connection := open(startServer(response, keepOpen))
			runRequest(connection)
			Eventually(func() bool { return (<-reports.C()).Idle }, time.Second).Should(BeFalse())
		},
		Entry("surplus bytes", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"),
		Entry("a response with Connection: close", "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a response to another request", "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a malformed response", "nonsense\r\n\r\n"),
	)

	DescribeTable("is closed when a head does not end, as a faulty server may send it",
		func(start, repeated string) {
			sent := make(chan int, 1)
			connection := open(startServer(start, func(conn net.Conn) {
				count := 0
				for {
					n, err := fmt.Fprint(conn, repeated)
					if count += n; err != nil {
						sent <- count
						return
					}
				}
			}))
			event := runRequest(connection)
			Expect(event.Failed).NotTo(BeNil())
			Expect(event.Failed.Phase).To(Equal(exchange.Sent), "the request may have run")
			Eventually(reports.C(), time.Second).Should(Receive(HaveField("Idle", false)))
			// What was read is bounded; buffers of the sockets hold some megabytes more.
			Eventually(sent, time.Second).Should(Receive(BeNumerically("<", 16<<20)))
		},
		Entry("header fields", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"),
		Entry("one field", "HTTP/1.1 200 OK\r\nX-Field: ", "value value "),
		Entry("a status line", "HTTP/1.1 200 ", "OK "),
		Entry("informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
	)

	It("reports its end also when its owner closed it, so that the owner's connection count stays correct", func() {
		for range 20 {
			connection := open(startServer("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok", keepOpen))
			Expect(runRequest(connection).End).To(BeTrue())
			Expect((<-reports.C()).Idle).To(BeTrue())
			connection.Close()
			var ended exchange.Report
			Eventually(reports.C(), time.Second).Should(Receive(&ended))
			Expect(ended.Idle).To(BeFalse())
		}
	})

	It("distinguishes a request that was not sent from one that may have run", func() {
		Expect(runRequest(open("127.0.0.1:1")).Failed.Phase).To(Equal(exchange.Unsent))
		broken := open(startServer("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 20\r\n\r\nok", func(conn net.Conn) { _ = conn.Close() }))
		Expect(runRequest(broken).Failed.Phase).To(Equal(exchange.Answering))
		silent := open(startServer("", func(conn net.Conn) { _ = conn.Close() }))
		Expect(runRequest(silent).Failed.Phase).To(Equal(exchange.Sent))
	})
})
