package intake

import (
	"io"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/memory"
)

// Guards against a request that runs although its caller was told that it did not, and
// against one that is cut off after it has begun to run.
var _ = Describe("a request that is told to give way", func() {
	var client, server net.Conn
	var conn *Conn

	BeforeEach(func() {
		client, server = net.Pipe()
		DeferCleanup(client.Close)
		DeferCleanup(server.Close)
		conn = &Conn{Conn: server, gate: NewGate(server, nil)}
	})

	sendHead := func() {
		GinkgoHelper()
		go func() { _, _ = io.WriteString(client, "GET / HTTP/1.1\r\n") }()
		count, err := conn.Read(make([]byte, 64))
		Expect(count, err).To(BeNumerically(">", 0))
	}

	It("within its head gets 503 and does not run", func() {
		sendHead()
		answer := make(chan string, 1)
		go func() {
			content, _ := io.ReadAll(io.LimitReader(client, 12))
			answer <- string(content)
		}()
		Expect(conn.YieldAt(memory.StageHead)).To(BeTrue())
		Eventually(answer).Should(Receive(Equal("HTTP/1.1 503")))
		Expect(conn.begin() && conn.gate.BeginBody()).To(BeFalse())
		_, err := conn.Read(make([]byte, 64))
		Expect(err).To(MatchError(net.ErrClosed))
	})

	It("within its body is refused", func() {
		sendHead()
		Expect(conn.gate.BeginBody()).To(BeTrue())
		Expect(conn.YieldAt(memory.StageHead)).To(BeFalse())
		Expect(conn.YieldAt(memory.StageBody)).To(BeTrue())
		Expect(conn.gate.EndBody()).To(BeFalse())
	})

	It("after its body runs to its end", func() {
		sendHead()
		Expect(conn.gate.BeginBody()).To(BeTrue())
		Expect(conn.gate.EndBody()).To(BeTrue())
		for stage := memory.StageSilent; stage <= memory.StageBody; stage++ {
			Expect(conn.YieldAt(stage)).To(BeFalse())
		}
	})

	It("before its head is closed, and a head that crosses that is not read", func() {
		Expect(conn.YieldAt(memory.StageSilent)).To(BeTrue())
		Expect(conn.Ended()).To(BeTrue())
		Expect(conn.begin()).To(BeFalse())
	})
})
