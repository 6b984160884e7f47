package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestIngress(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ingress")
}

// scriptedConn returns one request from Read when it is told to.
type scriptedConn struct {
	net.Conn
	deliver chan struct{}
	closed  chan struct{}
}

func (c *scriptedConn) Read(buffer []byte) (int, error) {
	<-c.deliver
	return copy(buffer, "GET / HTTP/1.1\r\n"), nil
}

func (c *scriptedConn) Close() error {
	close(c.closed)
	return nil
}

var _ = Describe("a caller's connection in a drain", func() {
	var inner *scriptedConn
	var conn *callerConn
	var goQuiet context.CancelFunc

	BeforeEach(func() {
		var quiet context.Context
		quiet, goQuiet = context.WithCancel(context.Background())
		DeferCleanup(goQuiet)
		inner = &scriptedConn{deliver: make(chan struct{}, 4), closed: make(chan struct{})}
		conn = &callerConn{Conn: inner, quiet: quiet}
		conn.release = context.AfterFunc(quiet, conn.closeIdle)
	})

	read := func() (int, error) {
		inner.deliver <- struct{}{}
		return conn.Read(make([]byte, 64))
	}

	It("is closed while it is idle", func() {
		followState(conn, http.StateIdle)
		goQuiet()
		Eventually(inner.closed).Should(BeClosed())
	})

	It("is not closed once a byte of a request was read, so that the request gets its answer", func() {
		followState(conn, http.StateIdle)
		count, err := read()
		Expect(count, err).To(BeNumerically(">", 0))
		goQuiet()
		Consistently(inner.closed, "50ms").ShouldNot(BeClosed())
		followState(conn, http.StateIdle)
		Eventually(inner.closed).Should(BeClosed())
	})

	It("gives no request to the server that crossed its close, since nobody could be answered", func() {
		followState(conn, http.StateIdle)
		goQuiet()
		Eventually(inner.closed).Should(BeClosed())
		count, err := read()
		Expect(count).To(BeZero())
		Expect(errors.Is(err, net.ErrClosed)).To(BeTrue())
	})

	It("that is new is not closed before its first request", func() {
		goQuiet()
		Consistently(inner.closed, "50ms").ShouldNot(BeClosed())
	})
})
