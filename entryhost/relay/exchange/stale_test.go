package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/task"
)

// step is what a scripted server does for one request: it writes early before it reads
// the request, and each part of answer after it, with a pause between them.
type step struct {
	early  string
	answer []string
}

// startScript starts a server that takes the steps in order on each connection and then
// reads on. The channel receives the number of requests read on a connection that ended.
func startScript(steps ...step) (string, <-chan int) {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	ended := make(chan int, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader, count := bufio.NewReader(conn), 0
				defer func() { ended <- count }()
				for i := 0; ; i++ {
					if i < len(steps) {
						_, _ = fmt.Fprint(conn, steps[i].early)
					}
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					count++
					if i >= len(steps) {
						continue
					}
					for _, part := range steps[i].answer {
						_, _ = fmt.Fprint(conn, part)
						time.Sleep(10 * time.Millisecond)
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), ended
}

const (
	refusalOfA      = "HTTP/1.1 503 Service Unavailable\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	refusalOfB      = "HTTP/1.1 503 Service Unavailable\r\nId: b\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	refusalWithout  = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	misdirected     = "HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	tooMany         = "HTTP/1.1 429 Too Many Requests\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	answerOfA       = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok"
	answerOfB       = "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 2\r\n\r\nok"
	answerWithout   = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	chunkedHeadOfA  = "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
	lastChunk       = "0\r\n\r\n"
	pauseUntilQuiet = 30 * time.Millisecond
)

// Guards against servers that write an earlier refusal once more on a kept connection:
// a request that runs would be reported as not run, or run at a second server.
var _ = Describe("a refusal that is written once more on a kept connection", func() {
	var reports task.Mailbox[exchange.Report]
	open := func(address string) *exchange.Connection {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		reports = task.NewMailbox[exchange.Report](4)
		return exchange.Open(ctx, "s", address, plainProtocol{}, reports)
	}

	DescribeTable("proves nothing about the next request",
		func(steps ...step) {
			address, ended := startScript(steps...)
			connection := open(address)
			head, event := runAttempt(connection, &exchange.Attempt{RequestID: "a"})
			Expect(event.End).To(BeTrue())
			Expect(head).NotTo(BeNil())
			Expect((<-reports.C()).Idle).To(BeTrue())
			head, event = runAttempt(connection, &exchange.Attempt{RequestID: "b"})
			Expect(head).To(BeNil(), "no response is forwarded")
			Expect(event.Failed).NotTo(BeNil())
			Expect(event.Failed.Phase).To(Equal(exchange.Sent), "the request may have run")
			Eventually(ended, time.Second).Should(Receive(), "the connection is closed")
		},
		Entry("with the id of the earlier request", step{answer: []string{refusalOfA}}, step{answer: []string{refusalOfA, answerOfB}}),
		Entry("without an id", step{answer: []string{refusalWithout}}, step{answer: []string{refusalWithout, answerOfB}}),
		Entry("without an id after a refusal with one", step{answer: []string{refusalOfA}}, step{answer: []string{refusalWithout, answerOfB}}),
		Entry("without an id after an answer", step{answer: []string{answerOfA}}, step{answer: []string{refusalWithout, answerOfB}}),
		Entry("as another server without an id", step{answer: []string{answerOfA}}, step{answer: []string{misdirected, answerOfB}}),
		Entry("as too many requests without an id", step{answer: []string{answerOfA}}, step{answer: []string{tooMany, answerOfB}}),
		Entry("in parts", step{answer: []string{refusalWithout}}, step{answer: []string{refusalWithout[:40], refusalWithout[40:], answerOfB}}),
		Entry("as a success without an id", step{answer: []string{answerOfA}}, step{answer: []string{answerWithout, answerOfB}}),
	)

	DescribeTable("ends an idle connection, so that no request is sent on it",
		func(steps ...step) {
			address, ended := startScript(steps...)
			connection := open(address)
			_, event := runAttempt(connection, &exchange.Attempt{RequestID: "a"})
			Expect(event.End).To(BeTrue())
			Eventually(func() bool { return (<-reports.C()).Idle }, time.Second).Should(BeFalse())
			Eventually(ended, time.Second).Should(Receive(Equal(1)))
		},
		Entry("at once", step{answer: []string{refusalOfA, refusalOfA}}),
		Entry("together with the answer", step{answer: []string{refusalOfA + refusalOfA}}),
		Entry("together with the last chunk of an answer", step{answer: []string{chunkedHeadOfA, lastChunk + refusalOfB}}),
		Entry("after the last chunk of an answer", step{answer: []string{chunkedHeadOfA, lastChunk, refusalWithout}}),
		Entry("in part", step{answer: []string{refusalOfA + refusalOfA[:10]}}),
		Entry("before the next request is read", step{answer: []string{refusalOfA}}, step{early: refusalWithout}),
	)

	It("is not read for a second attempt of the same request, which is sent on a new connection", func() {
		address, ended := startScript(step{answer: []string{refusalOfA}}, step{answer: []string{refusalOfA, answerOfA}})
		connection := open(address)
		head, _ := runAttempt(connection, &exchange.Attempt{RequestID: "a"})
		Expect(head.NotRun).To(BeTrue())
		Expect((<-reports.C()).Idle).To(BeTrue())
		head, event := runAttempt(connection, &exchange.Attempt{RequestID: "a", SentBefore: true})
		Expect(event.End).To(BeTrue())
		Expect(head.NotRun).To(BeTrue(), "the refusal of the second attempt")
		Eventually(ended, time.Second).Should(Receive(Equal(1)), "the first connection is closed after one request")
		Expect((<-reports.C()).Idle).To(BeTrue())
	})

	It("is valid without an id as the first response on a connection, which no earlier request can have caused", func() {
		address, _ := startScript(step{answer: []string{refusalWithout}})
		head, event := runAttempt(open(address), &exchange.Attempt{RequestID: "a"})
		Expect(event.End).To(BeTrue())
		Expect(head.NotRun).To(BeTrue())
	})

	It("is the only response that may lack an id, since any process may listen at the address that an odd entry names", func() {
		for _, text := range []string{answerWithout, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"} {
			address, _ := startScript(step{answer: []string{text}})
			head, event := runAttempt(open(address), &exchange.Attempt{RequestID: "a"})
			Expect(head).To(BeNil())
			Expect(event.Failed).NotTo(BeNil())
			Expect(event.Failed.Phase).To(Equal(exchange.Sent), "the request may have run")
		}
	})

	It("proves nothing about a request without an id either, unless it is the first response", func() {
		address, _ := startScript(step{answer: []string{answerOfA}}, step{answer: []string{refusalWithout}})
		connection := open(address)
		_, event := runAttempt(connection, &exchange.Attempt{RequestID: "a"})
		Expect(event.End).To(BeTrue())
		Expect((<-reports.C()).Idle).To(BeTrue())
		head, event := runAttempt(connection, &exchange.Attempt{})
		Expect(head).To(BeNil())
		Expect(event.Failed).NotTo(BeNil())

		address, _ = startScript(step{answer: []string{refusalWithout}})
		head, _ = runAttempt(open(address), &exchange.Attempt{})
		Expect(head.NotRun).To(BeTrue())
	})

	It("does not harm a connection on which each response has the id of its request", func() {
		address, _ := startScript(step{answer: []string{refusalOfA}}, step{answer: []string{answerOfB}}, step{answer: []string{answerOfA}})
		connection := open(address)
		for _, id := range []string{"a", "b", "a"} {
			_, event := runAttempt(connection, &exchange.Attempt{RequestID: id})
			Expect(event.End).To(BeTrue())
			Expect((<-reports.C()).Idle).To(BeTrue())
			time.Sleep(pauseUntilQuiet)
		}
	})
})
