package forward

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/task"
)

var _ = Describe("a request whose caller leaves while it waits for a server", func() {
	It("returns a server that is assigned later, which would otherwise count as busy for good", func() {
		dispatcher := task.NewMailbox[dispatch.Message](4)
		forwarder := &Forwarder{Dispatcher: dispatcher, Clock: clockwork.NewRealClock(), Metrics: metrics.NewSet(), Logger: slog.New(slog.DiscardHandler)}
		run := &requestTask{Forwarder: forwarder, request: &Request{Route: &routing.Route{}}}
		ctx, cancel := context.WithCancel(context.Background())
		failed := make(chan error, 1)
		go func() {
			_, err := run.acquire(ctx, dispatch.Acquire{})
			failed <- err
		}()
		var message dispatch.Message
		Eventually(dispatcher.C()).Should(Receive(&message))
		cancel()
		Eventually(failed).Should(Receive(HaveOccurred()))
		connection := exchange.Open(context.Background(), "s", "127.0.0.1:1", nil, task.NewMailbox[exchange.Report](1))
		message.(dispatch.Acquire).Reply.Send(dispatch.Assignment{Lease: 7, Server: &routing.Server{ID: "s"}, Connection: connection})
		Eventually(dispatcher.C(), 2*time.Second).Should(Receive(Equal(dispatch.Release{Lease: 7, Outcome: dispatch.OutcomeNone, Unused: true})))
	})
})

var _ = Describe("a request whose reply from the dispatcher is lost", func() {
	It("is refused soon after the longest wait for a server, not at its deadline", func() {
		dispatcher := task.NewMailbox[dispatch.Message](4)
		forwarder := &Forwarder{Dispatcher: dispatcher, Clock: clockwork.NewRealClock(), Metrics: metrics.NewSet(), Logger: slog.New(slog.DiscardHandler)}
		run := &requestTask{Forwarder: forwarder, request: &Request{Route: &routing.Route{LatencyObjective: time.Second}}}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		DeferCleanup(cancel)
		assignment, err := run.acquire(ctx, dispatch.Acquire{})
		Expect(err).NotTo(HaveOccurred())
		Expect(assignment.Server).To(BeNil())
		Expect(assignment.Refusal).To(Equal(dispatch.RefusedNoServer))
		Expect(ctx.Err()).NotTo(HaveOccurred())
	})
})
