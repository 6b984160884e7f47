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

// scriptedConn returns one request line from Read for each message on deliver.
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

var _ = Describe("a caller's connection during a drain", func() {
	var inner *scriptedConn
	var conn *callerConn
	var stopKeepIdle context.CancelFunc

	BeforeEach(func() {
		var keepIdle context.Context
		keepIdle, stopKeepIdle = context.WithCancel(context.Background())
		DeferCleanup(stopKeepIdle)
		inner = &scriptedConn{deliver: make(chan struct{}, 4), closed: make(chan struct{})}
		conn = &callerConn{Conn: inner, keepIdle: keepIdle}
		conn.detach = context.AfterFunc(keepIdle, conn.closeIdle)
	})

	read := func() (int, error) {
		inner.deliver <- struct{}{}
		return conn.Read(make([]byte, 64))
	}

	It("is closed while it is idle", func() {
		trackConnState(conn, http.StateIdle)
		stopKeepIdle()
		Eventually(inner.closed).Should(BeClosed())
	})

	It("is not closed once a byte of a request was read, so that the request is answered", func() {
		trackConnState(conn, http.StateIdle)
		count, err := read()
		Expect(count, err).To(BeNumerically(">", 0))
		stopKeepIdle()
		Consistently(inner.closed, "50ms").ShouldNot(BeClosed())
		trackConnState(conn, http.StateIdle)
		Eventually(inner.closed).Should(BeClosed())
	})

	It("discards a request that arrives while it is closed, since it could not be answered", func() {
		trackConnState(conn, http.StateIdle)
		stopKeepIdle()
		Eventually(inner.closed).Should(BeClosed())
		count, err := read()
		Expect(count).To(BeZero())
		Expect(errors.Is(err, net.ErrClosed)).To(BeTrue())
	})

	It("that is new is not closed before its first request", func() {
		stopKeepIdle()
		Consistently(inner.closed, "50ms").ShouldNot(BeClosed())
	})
})
