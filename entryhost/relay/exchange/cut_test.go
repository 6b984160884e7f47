package exchange_test

import (
	"context"
	"net"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/task"
)

// Guards against a response whose head a server did not finish and that passes for a whole
// one, with an empty or short body.
var _ = Describe("a server that stops in the middle of its response and closes", func() {
	DescribeTable("has sent no complete response, wherever it stops",
		func(response string) {
			for length := range response {
				address := startServer(response[:length], func(conn net.Conn) { _ = conn.Close() })
				connection := exchange.Open(context.Background(), "server", address, plainProtocol{}, task.NewMailbox[exchange.Report](4))
				last := runRequest(connection)
				connection.Close()
				Expect(last.End).To(BeFalse(), "after %q", response[:length])
				Expect(last.Failed).NotTo(BeNil(), "after %q", response[:length])
				if headLength := strings.Index(response, "\r\n\r\n") + 4; length < headLength {
					Expect(last.Failed.Phase).To(Equal(exchange.Sent), "after %q", response[:length])
				}
			}
		},
		Entry("with a length", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 12\r\n\r\nhello, world"),
		Entry("with the length first", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: a\r\n\r\nhello, world"),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
		Entry("after an informational head", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok"),
	)
})
