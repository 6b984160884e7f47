package ingress

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/catalog"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/forward"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/suspects"
	"github.com/lentilpoint/lentilpoint/task"
)

// fakeProtocol decodes a request without headers. It panics if the path asks for it.
type fakeProtocol struct{}

func (fakeProtocol) Decode(request *http.Request) RequestHead {
	if request.URL.Path == "/panic" {
		panic("fault of the test")
	}
	return RequestHead{ID: "id", Header: http.Header{}}
}

func (fakeProtocol) ReadyPath() string { return "/ready" }

var _ = Describe("a request whose task ends without an answer", func() {
	var server *httptest.Server
	var set *metrics.Set

	BeforeEach(func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		views := task.NewMailbox[catalog.ViewRequest](4)
		config := routing.NewConfig(1, routing.Limits{MaxBodyBytes: 1000}, []routing.Route{{Host: "127.0.0.1", Prefix: "/", Timeout: time.Minute}}, nil, nil)
		go func() {
			for {
				select {
				case <-ctx.Done():
					return
				case request := <-views.C():
					request.Reply.Send(&catalog.View{Config: config})
				}
			}
		}()
		set = metrics.NewSet()
		logger := slog.New(slog.DiscardHandler)
		// Nothing answers the messages of a request, so it waits until its caller leaves.
		forwarder := &forward.Forwarder{
			Dispatcher: task.NewMailbox[dispatch.Message](4), Suspects: task.NewMailbox[suspects.Message](4),
			Clock: clockwork.NewRealClock(), Metrics: set, Logger: logger,
		}
		front := NewFront(nil, Parameters{Protocol: fakeProtocol{}, Catalog: views, Forwarder: forwarder, Clock: clockwork.NewRealClock(), Metrics: set, Logger: logger})
		server = httptest.NewServer(front.handler())
		DeferCleanup(server.Close)
	})

	It("gets 502 after a panic, instead of a connection that closes", func() {
		response, err := server.Client().Get(server.URL + "/panic")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(set.GetOrCreateCounter(`lentilpoint_relay_unanswered_total{reason="task_failed"}`).Get()).To(BeEquivalentTo(1))
	})

	It("never gets the 404 page of the router, for example when its caller has left", func() {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "POST /wait HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 2\r\n\r\nok")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		content, _ := io.ReadAll(conn)
		Expect(string(content)).To(BeEmpty())
		Expect(set.GetOrCreateCounter(`lentilpoint_relay_unanswered_total{reason="caller_left"}`).Get()).To(BeEquivalentTo(1))
	})
})
