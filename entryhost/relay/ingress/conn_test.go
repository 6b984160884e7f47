package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

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
	var stopKeepIdle, stopKeepNew context.CancelFunc

	BeforeEach(func() {
		var keepIdle context.Context
		keepIdle, stopKeepIdle = context.WithCancel(context.Background())
		DeferCleanup(stopKeepIdle)
		var keepNew context.Context
		keepNew, stopKeepNew = context.WithCancel(context.Background())
		DeferCleanup(stopKeepNew)
		inner = &scriptedConn{deliver: make(chan struct{}, 4), closed: make(chan struct{})}
		conn = callerListener{keepIdle: keepIdle, keepNew: keepNew, busy: &atomic.Int64{}}.track(inner)
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

	It("that is new is closed with the socket, unless a byte of its first request was read", func() {
		stopKeepNew()
		Eventually(inner.closed).Should(BeClosed())
		count, err := read()
		Expect(count).To(BeZero())
		Expect(errors.Is(err, net.ErrClosed)).To(BeTrue())
	})

	It("counts as busy from the first byte of a request until its answer is sent", func() {
		Expect(conn.busy.Load()).To(BeZero())
		for range 2 {
			_, err := read()
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.busy.Load()).To(BeEquivalentTo(1))
		}
		stopKeepNew()
		Consistently(inner.closed, "50ms").ShouldNot(BeClosed())
		trackConnState(conn, http.StateIdle)
		Expect(conn.busy.Load()).To(BeZero())
		_, err := read()
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
		Expect(conn.busy.Load()).To(BeZero(), "a caller that leaves must not hold up a drain")
	})
})

var _ = Describe("a caller that sends its next request before it has the answer to the last one", func() {
	It("gets both answers when idle connections are closed meanwhile", func() {
		keepIdle, stopKeepIdle := context.WithCancel(context.Background())
		defer stopKeepIdle()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		started, finish := make(chan struct{}), make(chan struct{})
		server := &http.Server{ConnState: trackConnState, ConnContext: withConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !beginRequest(r.Context()) {
				panic(http.ErrAbortHandler)
			}
			if r.URL.Path == "/second" {
				close(started)
				<-finish
			}
			_, _ = io.WriteString(w, r.URL.Path)
		})}
		go func() {
			_ = server.Serve(callerListener{Listener: listener, keepIdle: keepIdle, keepNew: context.Background(), busy: &atomic.Int64{}})
		}()
		DeferCleanup(server.Close)
		conn, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(started).Should(BeClosed())
		stopKeepIdle()
		time.Sleep(50 * time.Millisecond)
		close(finish)
		Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		content, _ := io.ReadAll(conn)
		Expect(strings.Count(string(content), "HTTP/1.1 200 OK")).To(Equal(2))
		Expect(string(content)).To(HaveSuffix("/second"))
	})
})
