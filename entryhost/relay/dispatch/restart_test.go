package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/task"
)

// plainHeads passes attempts and responses on as they are.
type plainHeads struct{}

func (plainHeads) Encode(attempt *exchange.Attempt) http.Header {
	return http.Header{"Id": {attempt.RequestID}}
}

func (plainHeads) Decode(response *http.Response) exchange.ResponseHead {
	return exchange.ResponseHead{Status: response.StatusCode, RequestID: response.Header.Get("Id"), Sealed: true, Header: http.Header{}}
}

var _ = Describe("a dispatcher that panics", func() {
	var dispatcher *Task
	var backend *httptest.Server
	var stop context.CancelFunc
	var started, proceed chan struct{}

	BeforeEach(func() {
		begun, goOn := make(chan struct{}, 1), make(chan struct{})
		started, proceed = begun, goOn
		backend = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			begun <- struct{}{}
			select {
			case <-goOn:
			case <-r.Context().Done():
			}
			w.Header().Set("Id", r.Header.Get("Id"))
			_, _ = w.Write([]byte("answer"))
		}))
		DeferCleanup(backend.Close)
		logger := slog.New(slog.DiscardHandler)
		dispatcher = NewTask(Parameters{
			Self: "self", DataCentre: "here", Protocol: plainHeads{}, Budget: BudgetLimits{Ratio: 1, Window: 10 * time.Second, Extra: 100},
			Clock: clockwork.NewRealClock(), Random: rand.New(rand.NewPCG(1, 2)), Metrics: metrics.NewSet(), Logger: logger,
		})
		supervisor := task.NewSupervisor("test", task.DefaultRestartPolicy, logger)
		supervisor.Add(dispatcher)
		var ctx context.Context
		ctx, stop = context.WithCancel(context.Background())
		done := supervisor.ServeBackground(ctx)
		DeferCleanup(func() {
			stop()
			<-done
		})
		Expect(dispatcher.Views().Send(ctx, viewOf(&routing.Server{
			ID: "s", DataCentre: "here", Service: "engine", Address: backend.Listener.Addr().String(),
		}))).To(Succeed())
	})

	// begin starts a request at the server and returns its events.
	begin := func() <-chan exchange.Event {
		GinkgoHelper()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		assignment, err := task.Call(ctx, dispatcher.Mailbox(), func(reply task.Reply[Assignment]) Message {
			return Acquire{Service: "engine", WaitUntil: time.Now().Add(5 * time.Second), Reply: reply}
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(assignment.Server).NotTo(BeNil())
		events := make(chan exchange.Event, 8)
		attempt := &exchange.Attempt{RequestID: "r", Method: http.MethodGet, Target: "/", Host: "test", Header: http.Header{}}
		Expect(assignment.Connection.Run(exchange.Exchange{Context: context.Background(), Attempt: attempt, Events: events})).To(Succeed())
		Eventually(started, 5*time.Second).Should(Receive())
		return events
	}

	// failDispatcher makes the dispatcher panic: no view has a nil value.
	failDispatcher := func() {
		GinkgoHelper()
		Expect(dispatcher.Views().Send(context.Background(), nil)).To(Succeed())
		Eventually(func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			_, err := task.Call(ctx, dispatcher.Mailbox(), func(reply task.Reply[bool]) Message {
				return LendRetry{Service: "engine", Reply: reply}
			})
			return err == nil
		}, 5*time.Second).Should(BeTrue())
	}

	It("keeps the connections of the requests in flight, which would be lost on a sound server", func() {
		events := begin()
		failDispatcher()
		close(proceed)
		for {
			var event exchange.Event
			Eventually(events, 5*time.Second).Should(Receive(&event))
			Expect(event.Failed).To(BeNil())
			if event.End {
				break
			}
		}
	})

	It("closes the connections when it is stopped", func() {
		events := begin()
		stop()
		var event exchange.Event
		Eventually(events, 5*time.Second).Should(Receive(&event))
		Expect(event.Failed).NotTo(BeNil())
	})
})
