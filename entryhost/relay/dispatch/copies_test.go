package dispatch

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/catalog"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/exchange"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/task"
)

// fakeProber is a Prober without a network; copies fail while refuse is set.
type fakeProber struct{ refuse bool }

func (fakeProber) Probe(context.Context, string) (EngineReport, error) { return EngineReport{}, nil }

func (fakeProber) CheckHealth(context.Context, string, string, string) error {
	return errors.New("leaves")
}

func (fakeProber) CachedParts(context.Context, string) (map[string]int, error) { return nil, nil }

func (p fakeProber) Copy(_ context.Context, _, request, target string) (string, error) {
	if p.refuse {
		return "", errors.New("no room")
	}
	return request + " at " + target, nil
}

func (fakeProber) Drop(context.Context, exchange.CacheCopy) error { return nil }

func viewOf(servers ...*routing.Server) *catalog.View {
	view := &catalog.View{Servers: map[string]*routing.Server{}}
	for _, server := range servers {
		view.Servers[server.ID] = server
	}
	return view
}

// handleCopyAnswer lets the dispatcher handle the engine's answer to a copy request,
// unless the request was answered without one.
func handleCopyAnswer(ctx context.Context, dispatcher *Task, reply chan CopyResult) {
	GinkgoHelper()
	Eventually(func() bool {
		select {
		case message := <-dispatcher.mailbox.C():
			dispatcher.handle(ctx, message)
		default:
		}
		return len(reply) > 0
	}, time.Second, time.Millisecond).Should(BeTrue())
}

// repeatingProber answers each copy request with the name of the first copy, like an
// engine that writes an earlier answer once more on a kept connection.
type repeatingProber struct{ fakeProber }

// Copy implements Prober.
func (repeatingProber) Copy(context.Context, string, string, string) (string, error) {
	return "first", nil
}

// Guards against streams that go on from the memory of another request.
var _ = Describe("the name of a copy of another run", func() {
	It("is not used, since the engine has written an earlier answer once more", func(ctx SpecContext) {
		dispatcher := newTestTask(Parameters{Self: "self", Prober: repeatingProber{}})
		dispatcher.applyView(viewOf(server("a", "here"), server("b", "there")))
		requestCopy := func(request string) CopyResult {
			assignments := make(chan Assignment, 1)
			dispatcher.handle(ctx, Acquire{Service: "engine", Prefer: "a", Reply: task.Reply[Assignment](assignments)})
			assigned := <-assignments
			assigned.Connection.Close()
			reply := make(chan CopyResult, 1)
			dispatcher.handle(ctx, RequestCopy{Lease: assigned.Lease, Request: request, Reply: task.Reply[CopyResult](reply)})
			handleCopyAnswer(ctx, dispatcher, reply)
			return <-reply
		}
		Expect(requestCopy("one").Copy.Name).To(Equal("first"))
		Expect(requestCopy("one").Copy.Name).To(Equal("first"), "an engine may name a renewed copy as before")
		Expect(requestCopy("two").Err).To(HaveOccurred())

		By("and may be used again long after the copy has expired")
		dispatcher.Clock.(*clockwork.FakeClock).Advance(2 * time.Minute)
		Expect(requestCopy("two").Copy.Name).To(Equal("first"))
	})
})

var _ = Describe("the holder of a copy of a run's cache", func() {
	var dispatcher *Task
	var lost chan string
	var assigned Assignment

	BeforeEach(func(ctx SpecContext) {
		dispatcher = NewTask(Parameters{
			Self: "self", DataCentre: "here", Prober: fakeProber{}, Budget: BudgetLimits{Ratio: 1, Window: time.Second, Extra: 10}, Clock: clockwork.NewFakeClock(),
			Random: rand.New(rand.NewPCG(1, 2)), Metrics: metrics.NewSet(), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		dispatcher.applyView(viewOf(server("a", "here"), server("b", "there"), server("c", "third")))
		lost = make(chan string, 2)
		reply := make(chan Assignment, 1)
		dispatcher.handle(ctx, Acquire{Service: "engine", Backup: true, CopyLost: lost, Reply: task.Reply[Assignment](reply)})
		Expect(reply).To(Receive(&assigned))
		Expect(assigned.Server.ID).To(Equal("a"))
		assigned.Connection.Close()
	})

	requestCopy := func(ctx context.Context, placement CopyPlacement) CopyResult {
		reply := make(chan CopyResult, 1)
		dispatcher.handle(ctx, RequestCopy{Lease: assigned.Lease, Request: "r", Placement: placement, Reply: task.Reply[CopyResult](reply)})
		handleCopyAnswer(ctx, dispatcher, reply)
		var result CopyResult
		Eventually(reply).Should(Receive(&result))
		return result
	}

	It("is reported once when its registration ends, without blocking on the request", func() {
		Expect(lost).NotTo(Receive())
		remaining := server("c", "third")
		if assigned.Backup.ID == "c" {
			remaining = server("b", "there")
		}
		dispatcher.applyView(viewOf(assigned.Server, remaining))
		dispatcher.applyView(viewOf(assigned.Server, remaining))
		Expect(lost).To(Receive(Equal(assigned.Backup.ID)))
		Expect(lost).NotTo(Receive())
	})

	It("is reported when it cannot be reached, before its registration ends", func() {
		dispatcher.recordOutcome(dispatcher.servers[assigned.Backup.ID], OutcomeUnreachable)
		Expect(lost).To(Receive())
	})

	It("is neither the lost holder nor the run's own server when a new copy is requested", func(ctx SpecContext) {
		former := assigned.Backup.ID
		result := requestCopy(ctx, CopyAnywhere)
		Expect(result.Err).NotTo(HaveOccurred())
		Expect(result.Holder.ID).NotTo(BeElementOf(former, assigned.Server.ID))
		Expect(result.Copy).To(Equal(exchange.CacheCopy{Address: assigned.Server.Address, Name: "r at " + result.Holder.Address}))
		dispatcher.handle(ctx, Release{Lease: assigned.Lease})
		Expect(dispatcher.servers[former].copies).To(BeZero())
		Expect(dispatcher.servers[result.Holder.ID].copies).To(BeZero())
	})

	It("stays the same when a copy is renewed", func(ctx SpecContext) {
		first := requestCopy(ctx, CopyAnywhere)
		Expect(requestCopy(ctx, CopyRenewed).Holder).To(Equal(first.Holder))
	})

	It("is in the local data centre for a local copy, and none if no server there is free", func(ctx SpecContext) {
		Expect(requestCopy(ctx, CopyLocal).Err).To(HaveOccurred(), "the run itself has the only local engine")
		dispatcher.applyView(viewOf(server("a", "here"), server("b", "there"), server("c", "third"), server("d", "here")))
		Expect(requestCopy(ctx, CopyLocal).Holder.ID).To(Equal("d"))
	})

	It("is none when the engine refuses the copy or the attempt has ended", func(ctx SpecContext) {
		dispatcher.Prober = fakeProber{refuse: true}
		Expect(requestCopy(ctx, CopyAnywhere).Err).To(MatchError("no room"))
		dispatcher.handle(ctx, Release{Lease: assigned.Lease})
		Expect(requestCopy(ctx, CopyAnywhere).Err).To(HaveOccurred())
	})
})
