package requests

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/entryhost/requests/claims"
	"github.com/lentilpoint/lentilpoint/entryhost/requests/tickets"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// testHost runs an entry host's manager without sockets; mailboxes replace the
// servers.
type testHost struct {
	manager    *Manager
	dispatches task.Mailbox[admission.Dispatch]
	peers      task.Mailbox[peers.Message]
	// exchanges receives the commands to the only server.
	exchanges task.Mailbox[backends.Command]
	reports   task.Mailbox[admission.Message]
	issuer    tickets.Issuer
}

// startTestHost starts a manager whose dispatcher assigns the only server this
// many times and then refuses.
func startTestHost(id model.HostID, assignments int) *testHost {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	clock := clockwork.NewRealClock()
	host := &testHost{
		dispatches: task.NewMailbox[admission.Dispatch](16),
		peers:      task.NewMailbox[peers.Message](16),
		exchanges:  task.NewMailbox[backends.Command](16),
		reports:    task.NewMailbox[admission.Message](64),
		issuer:     tickets.NewIssuer(claims.Identity{Host: id, Incarnation: 1}, "secret"),
	}
	registry := tickets.NewRegistry(clock)
	set := metrics.NewSet()
	host.manager = NewManager(Parameters{
		Dispatches: host.dispatches, Recovery: RecoveryContinue, Recorder: events.Discard, Metrics: set, Clock: clock,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Calls: CallDependencies{
			Policy: CallAtMostOnce, Claims: task.NewMailbox[claims.Message](16), Tickets: registry.Messages(), Issuer: host.issuer,
			Peers: host.peers, Recorder: events.Discard, Metrics: set,
		},
	})
	go func() { _ = registry.Serve(ctx) }()
	go func() { _ = host.manager.Serve(ctx) }()
	go host.serveDispatches(ctx, assignments)
	return host
}

func (h *testHost) serveDispatches(ctx context.Context, assignments int) {
	for {
		select {
		case <-ctx.Done():
			return
		case dispatch := <-h.dispatches.C():
			if assignments == 0 {
				dispatch.Reply.Send(admission.DispatchResult{Fault: model.NotRun(model.KindOverloaded, model.ReasonQueueFull, "full", "wait")})
				continue
			}
			assignments--
			dispatch.Reply.Send(admission.DispatchResult{Assignment: admission.Assignment{
				Server: "plain-0", Generation: 3, Commands: h.exchanges, Reports: h.reports,
			}})
		}
	}
}

func (h *testHost) startCall(call Call) <-chan Answer {
	GinkgoHelper()
	answers := make(chan Answer, 1)
	Expect(h.manager.Commands().TrySend(StartCall{Context: context.Background(), Call: call, Reply: answers})).To(Succeed())
	return answers
}

// nextExchange returns the next call that reaches the server.
func (h *testHost) nextExchange() backends.OpenExchange {
	GinkgoHelper()
	var command backends.Command
	Eventually(h.exchanges.C(), 2*time.Second).Should(Receive(&command))
	return command.(backends.OpenExchange)
}

func answeredHead(text string) backends.ExchangeHead {
	return backends.ExchangeHead{Status: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text))}
}

func injectedFailure(kind backends.FailureKind) backends.ExchangeHead {
	return failedHead(kind, "injected")
}

func receiveAnswer(answers <-chan Answer) Answer {
	GinkgoHelper()
	var answer Answer
	Eventually(answers, 5*time.Second).Should(Receive(&answer))
	return answer
}

func ticketCall(host *testHost) Call {
	key, _ := host.issuer.Issue("bubbles", time.Now())
	return Call{
		ID: "r", Organisation: model.Organisation{ID: "bubbles"}, Deadline: time.Now().Add(time.Second),
		Method: http.MethodPost, Path: "/orders", BufferedBody: []byte("wands"), ContentLength: 5, Key: key,
	}
}

var _ = Describe("a call without a key", func() {
	call := func(repeatable bool, deadline time.Duration) Call {
		return Call{Deadline: time.Now().Add(deadline), Method: http.MethodGet, Repeatable: repeatable, Body: strings.NewReader("")}
	}

	It("is not dispatched again after bytes may have reached a server", func() {
		host := startTestHost("entry-0", 5)
		answers := host.startCall(call(false, time.Second))
		host.nextExchange().Reply.Send(injectedFailure(backends.FailureBroken))
		Expect(receiveAnswer(answers).Fault.Executed).To(Equal(model.ExecutedUnknown))
		Consistently(host.exchanges.C(), 50*time.Millisecond).ShouldNot(Receive())
	})

	It("is dispatched again when no byte was sent", func() {
		host := startTestHost("entry-0", 5)
		answers := host.startCall(call(false, time.Second))
		host.nextExchange().Reply.Send(injectedFailure(backends.FailureConnect))
		host.nextExchange().Reply.Send(answeredHead("ok"))
		Expect(receiveAnswer(answers).Fault).To(BeNil())
	})

	It("is not reported as not run when a later attempt is refused after an earlier one may have run", func() {
		host := startTestHost("entry-0", 1)
		answers := host.startCall(call(true, time.Second))
		host.nextExchange().Reply.Send(injectedFailure(backends.FailureBroken))
		fault := receiveAnswer(answers).Fault
		Expect(fault.Reason).To(Equal(model.ReasonQueueFull))
		Expect(fault.Executed).To(Equal(model.ExecutedUnknown))
	})

	It("is not reported as not run when the last attempt could not connect after an earlier one may have run", func() {
		host := startTestHost("entry-0", maxAttempts)
		answers := host.startCall(call(true, 5*time.Second))
		host.nextExchange().Reply.Send(injectedFailure(backends.FailureBroken))
		for range maxAttempts - 1 {
			host.nextExchange().Reply.Send(injectedFailure(backends.FailureConnect))
		}
		Expect(receiveAnswer(answers).Fault.Executed).To(Equal(model.ExecutedUnknown))
	})

	It("switches from a silent server to another one before its deadline and replaces the transport", func() {
		host := startTestHost("entry-0", 5)
		answers := host.startCall(call(true, time.Second))
		silent := host.nextExchange()
		go func() { <-silent.Context.Done(); silent.Reply.Send(injectedFailure(backends.FailureBroken)) }()
		var report backends.Command
		Eventually(host.exchanges.C(), 2*time.Second).Should(Receive(&report))
		Expect(report).To(Equal(backends.ReportSilence{Generation: 3}))
		host.nextExchange().Reply.Send(answeredHead("ok"))
		Expect(receiveAnswer(answers).Fault).To(BeNil())
	})

	It("ends at its deadline with an unknown outcome when the server is silent", func() {
		host := startTestHost("entry-0", 5)
		answers := host.startCall(call(false, 200*time.Millisecond))
		silent := host.nextExchange()
		go func() { <-silent.Context.Done(); silent.Reply.Send(injectedFailure(backends.FailureBroken)) }()
		Expect(receiveAnswer(answers).Fault.Reason).To(Equal(model.ReasonOutcomeUnknown))
	})
})

var _ = Describe("the body of an answer", func() {
	It("ends with an error when its connection is silent, instead of blocking the caller forever", func() {
		clock := clockwork.NewFakeClock()
		ctx, cancel := context.WithCancelCause(context.Background())
		reported := make(chan struct{}, 1)
		body := &watchedBody{
			ReadCloser: io.NopCloser(blockingReader{ctx}), clock: clock, deadline: clock.Now(), cancel: cancel,
			onSilence: func() { reported <- struct{}{} },
		}
		failures := make(chan error, 1)
		go func() { _, err := body.Read(make([]byte, 1)); failures <- err }()
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
		clock.Advance(minBodyReadTimeout)
		Eventually(failures).Should(Receive(MatchError(errBodyTimeout)))
		Expect(reported).To(Receive())
	})
})

// blockingReader blocks until its context ends, as a silent connection does.
type blockingReader struct{ ctx context.Context }

func (r blockingReader) Read([]byte) (int, error) {
	<-r.ctx.Done()
	return 0, context.Cause(r.ctx)
}

var _ = Describe("a call with a ticket", func() {
	It("is executed once by the issuing incarnation and repeats its answer", func() {
		host := startTestHost("entry-0", 5)
		call := ticketCall(host)
		first := host.startCall(call)
		host.nextExchange().Reply.Send(answeredHead("done"))
		Expect(receiveAnswer(first).Fault).To(BeNil())
		repeat := receiveAnswer(host.startCall(call))
		content, err := io.ReadAll(repeat.Head.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(content)).To(Equal("done"))
		Expect(repeat.Head.Header.Get(headerReplayed)).To(Equal("true"))
		Consistently(host.exchanges.C(), 50*time.Millisecond).ShouldNot(Receive())
	})

	It("records an unknown outcome instead of a partial answer when the answer was cut short", func() {
		host := startTestHost("entry-0", 5)
		call := ticketCall(host)
		first := host.startCall(call)
		cut := answeredHead("")
		cut.Body = io.NopCloser(io.MultiReader(strings.NewReader("ha"), brokenReader{}))
		host.nextExchange().Reply.Send(cut)
		Expect(receiveAnswer(first).Fault.Executed).To(Equal(model.ExecutedUnknown))
		Expect(receiveAnswer(host.startCall(call)).Fault.Reason).To(Equal(model.ReasonOutcomeUnknown))
	})

	It("returns a long answer in full and reports to a repeated request that it was executed", func() {
		host := startTestHost("entry-0", 5)
		call := ticketCall(host)
		first := host.startCall(call)
		text := strings.Repeat("x", claims.MaxAnswerBytes+10)
		host.nextExchange().Reply.Send(answeredHead(text))
		content, err := io.ReadAll(receiveAnswer(first).Head.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(content)).To(Equal(text))
		Expect(receiveAnswer(host.startCall(call)).Fault.Executed).To(Equal(model.ExecutedYes))
	})

	It("is forwarded to the issuing entry host, which alone executes it", func() {
		issuing, other := startTestHost("entry-0", 5), startTestHost("entry-1", 5)
		redeemer := NewRedeemer(issuing.manager.Commands(), issuing.issuer, clockwork.NewRealClock())
		answers := other.startCall(ticketCall(issuing))
		var message peers.Message
		Eventually(other.peers.C(), 2*time.Second).Should(Receive(&message))
		invoke := message.(peers.Invoke)
		Expect(invoke.Host).To(Equal(model.HostID("entry-0")))
		Expect(invoke.Method).To(Equal(tickets.MethodRedeem))
		go func() { issuing.nextExchange().Reply.Send(answeredHead("done")) }()
		var arguments tickets.ForwardedCall
		copyThroughGob(invoke.Arguments, &arguments)
		var result tickets.ForwardedAnswer
		Expect(redeemer.Redeem(arguments, &result)).To(Succeed())
		copyThroughGob(result, invoke.Result)
		invoke.Reply.Send(nil)
		content, err := io.ReadAll(receiveAnswer(answers).Head.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(content)).To(Equal("done"))
		Consistently(other.exchanges.C(), 50*time.Millisecond).ShouldNot(Receive())
	})

	It("has an unknown outcome when the issuing entry host cannot be reached or was restarted", func() {
		issuing, other := startTestHost("entry-0", 5), startTestHost("entry-1", 5)
		call := ticketCall(issuing)
		answers := other.startCall(call)
		var message peers.Message
		Eventually(other.peers.C(), 2*time.Second).Should(Receive(&message))
		message.(peers.Invoke).Reply.Send(peers.ErrUnreachable.New("entry-0"))
		gone := receiveAnswer(answers).Fault
		Expect(gone.Reason).To(Equal(model.ReasonTicketHostGone))
		Expect(gone.Executed).To(Equal(model.ExecutedUnknown))
		restarted := startTestHost("entry-0", 5)
		restarted.issuer = tickets.NewIssuer(claims.Identity{Host: "entry-0", Incarnation: 2}, "secret")
		redeemer := NewRedeemer(restarted.manager.Commands(), restarted.issuer, clockwork.NewRealClock())
		var result tickets.ForwardedAnswer
		Expect(redeemer.Redeem(tickets.ForwardedCall{Organisation: call.Organisation, Key: call.Key}, &result)).To(Succeed())
		Expect(result.Fault.Reason).To(Equal(model.ReasonTicketHostGone))
	})
})

// brokenReader fails like a lost connection.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("connection lost") }

// copyThroughGob copies a value through the encoding of net/rpc.
func copyThroughGob(from, to any) {
	GinkgoHelper()
	var buffer bytes.Buffer
	Expect(gob.NewEncoder(&buffer).Encode(from)).To(Succeed())
	Expect(gob.NewDecoder(&buffer).Decode(to)).To(Succeed())
}
