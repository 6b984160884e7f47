package requests

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// TestGapLimitsProperty guards against limits out of the stated bounds and
// against suspecting a steady stream of silence.
func TestGapLimitsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var service, stream Moments
		for range rapid.IntRange(0, 50).Draw(t, "service gaps") {
			service.Add(rapid.Float64Range(0, 10).Draw(t, "gap"))
		}
		gap := rapid.Float64Range(0.001, 0.3).Draw(t, "own gap")
		count := rapid.IntRange(0, 50).Draw(t, "own gaps")
		for range count {
			stream.Add(gap)
		}
		limits := gapLimits(service, stream)
		if limits.Suspect < minSuspectAfter || limits.GiveUp > 2*time.Second || limits.Suspect > limits.GiveUp {
			t.Fatalf("limits %v are out of bounds", limits)
		}
		if count > 0 && limits.Suspect <= seconds(gap) {
			t.Fatalf("a stream with gaps of %v s is suspected after %v", gap, limits.Suspect)
		}
	})
}

// TestFirstTokenLimitsProperty guards against taking a long prefill for
// silence: a time in proportion to the prompt is never suspected.
func TestFirstTokenLimitsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var service LatencyStats
		perToken := rapid.Float64Range(0.00001, 0.001).Draw(t, "seconds per token")
		for range rapid.IntRange(1, 20).Draw(t, "observations") {
			prompt := rapid.IntRange(1, 4000).Draw(t, "observed prompt")
			service.addFirstToken(seconds(perToken*float64(prompt)), prompt)
		}
		prompt := rapid.IntRange(1, 100_000).Draw(t, "prompt")
		limits := firstTokenLimits(service, prompt)
		expected := seconds(perToken * float64(prompt))
		if limits.Suspect < expected || limits.GiveUp < limits.Suspect {
			t.Fatalf("a prefill of %v is suspected after %v and given up after %v", expected, limits.Suspect, limits.GiveUp)
		}
		// For a short prompt the estimate does not fall below the mean, because
		// part of the time is spent in the engine's queue.
		scale := max(1, float64(prompt)/service.PromptTokens.mean)
		if top := max(2*time.Second, 2*seconds(service.FirstTokenTimes.mean*scale)); limits.GiveUp > top+time.Microsecond {
			t.Fatalf("silence is noticed only after %v, want at most %v", limits.GiveUp, top)
		}
	})
}

// TestRepeatedGenerationProperty guards against delivering tokens after a
// cursor's position when the repeated generation differs from the delivered one
// before it.
func TestRepeatedGenerationProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfN(rapid.Int32Range(0, 9), 1, 30).Draw(t, "ids")
		position := rapid.IntRange(1, len(ids)).Draw(t, "position")
		changed := rapid.IntRange(-1, len(ids)-1).Draw(t, "changed")
		var mark Mark
		for _, id := range ids[:position] {
			mark = Mark{Position: mark.Position + 1, Hash: enginewire.ExtendHash(mark.Hash, id)}
		}
		ledger := NewLedger("v1", mark)
		attempt := ledger.BeginAttempt()
		for i, id := range ids {
			if i == changed {
				id++
			}
			ledger.Accept("v1", backends.StreamEvent{Attempt: attempt, Tokens: []backends.Token{{ID: id}}})
		}
		differs := changed >= 0 && changed < position
		if ledger.Diverged() != differs {
			t.Fatalf("token %d of %d changed, position %d: diverged is %v", changed, len(ids), position, ledger.Diverged())
		}
		if differs && len(ledger.TokensFrom(position)) > 0 {
			t.Fatal("tokens after a difference would be delivered")
		}
	})
}

var _ = DescribeTable("the step after the silence of an attempt",
	func(silent time.Duration, eager, second bool, expected SilenceStep) {
		limits := SilenceLimits{Suspect: 300 * time.Millisecond, GiveUp: 600 * time.Millisecond}
		Expect(decideSilence(silent, limits, eager, second)).To(Equal(expected))
	},
	Entry("waits while the silence is below the limits", 299*time.Millisecond, true, false, SilenceWait),
	Entry("starts a second attempt of an eager service", 300*time.Millisecond, true, false, SilenceStartSecond),
	Entry("starts no third attempt", 400*time.Millisecond, true, true, SilenceWait),
	Entry("does not start a second attempt otherwise", 599*time.Millisecond, false, false, SilenceWait),
	Entry("gives up", 600*time.Millisecond, false, false, SilenceGiveUp),
)

var _ = DescribeTable("the step after the loss of the current attempt",
	func(retry, second, pending bool, expected LossStep) {
		Expect(decideLoss(retry, second, pending)).To(Equal(expected))
	},
	Entry("does not end an answer whose second attempt is open", false, true, false, LossPromote),
	Entry("does not end an answer whose second attempt waits for a server", false, false, true, LossWait),
	Entry("ends an answer without attempts left", false, false, false, LossEnd),
	Entry("starts another attempt", true, false, false, LossDispatch),
)

// generationHarness runs one generation task with a fake clock; mailboxes
// replace the dispatcher and the server.
type generationHarness struct {
	manager    task.Mailbox[Command]
	clock      *clockwork.FakeClock
	dispatches task.Mailbox[admission.Dispatch]
	commands   task.Mailbox[backends.Command]
	reports    task.Mailbox[admission.Message]
	updates    chan Update
	nextID     admission.DispatchID
}

func newHarness(clock *clockwork.FakeClock) *generationHarness {
	return &generationHarness{
		manager:    task.NewMailbox[Command](16),
		clock:      clock,
		dispatches: task.NewMailbox[admission.Dispatch](16),
		commands:   task.NewMailbox[backends.Command](16),
		reports:    task.NewMailbox[admission.Message](16),
		updates:    make(chan Update, 64),
	}
}

func (h *generationHarness) task(ctx context.Context, generation Generation) *generationTask {
	return &generationTask{
		start:   StartGeneration{Context: ctx, Generation: generation, Updates: h.updates},
		manager: h.manager, dispatches: h.dispatches, servers: task.NewMailbox[backends.ServerLookup](1), recovery: RecoveryContinue,
		clock: h.clock, recorder: events.Discard, metrics: metrics.NewSet(),
		logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

func startHarness(generation Generation) *generationHarness {
	h := newHarness(clockwork.NewFakeClock())
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	generation.Deadline = time.Now().Add(time.Minute)
	generation.Body.MaxTokens = 10
	go h.task(ctx, generation).run()
	return h
}

// assign answers the next dispatch and returns it and the stream that the task
// then opens.
func (h *generationHarness) assign(server model.ServerID) (admission.Dispatch, backends.OpenStream) {
	GinkgoHelper()
	var dispatch admission.Dispatch
	Eventually(h.dispatches.C()).Should(Receive(&dispatch))
	h.nextID++
	dispatch.Reply.Send(admission.DispatchResult{Assignment: admission.Assignment{
		ID: h.nextID, Server: server, Version: "v1", Commands: h.commands, Reports: h.reports,
	}})
	return dispatch, h.nextStream()
}

// nextStream returns the next stream that the task opens and skips other
// commands.
func (h *generationHarness) nextStream() backends.OpenStream {
	GinkgoHelper()
	for {
		var command backends.Command
		Eventually(h.commands.C()).Should(Receive(&command))
		if open, isOpen := command.(backends.OpenStream); isOpen {
			return open
		}
	}
}

func sendEvent(open backends.OpenStream, event backends.StreamEvent) {
	GinkgoHelper()
	event.Attempt = open.Attempt
	Expect(open.Events.Send(context.Background(), event)).To(Succeed())
}

func tokenEvent(ids ...enginewire.TokenID) backends.StreamEvent {
	event := backends.StreamEvent{PromptIDs: []enginewire.TokenID{100}}
	for _, id := range ids {
		event.Tokens = append(event.Tokens, backends.Token{ID: id})
	}
	return event
}

func brokenEvent() backends.StreamEvent {
	return backends.StreamEvent{Err: &backends.StreamError{Kind: backends.FailureBroken, Message: "injected"}}
}

// receiveAll reads all updates and returns the token ids and the last update.
func (h *generationHarness) receiveAll() ([]enginewire.TokenID, Update) {
	GinkgoHelper()
	var ids []enginewire.TokenID
	for {
		var update Update
		Eventually(h.updates).Should(Receive(&update))
		for _, token := range update.Tokens {
			ids = append(ids, token.ID)
		}
		if update.FinishReason != "" || update.Fault != nil {
			return ids, update
		}
	}
}

var _ = Describe("a generation task", func() {
	It("drops late tokens of an attempt that was replaced, which would be repeated tokens", func() {
		h := startHarness(Generation{})
		_, first := h.assign("a")
		sendEvent(first, tokenEvent(1, 2))
		sendEvent(first, brokenEvent())
		dispatch, second := h.assign("b")
		Expect(dispatch.Request.Version).To(BeEquivalentTo("v1"))
		Expect(dispatch.Request.Exclude).To(ConsistOf(model.ServerID("a")))
		Expect(string(second.Body.Prompt)).To(Equal("[100,1,2]"))
		Expect(second.Body.MaxTokens).To(Equal(8))
		sendEvent(first, tokenEvent(3))
		end := tokenEvent(3, 4)
		end.Finish = "stop"
		sendEvent(second, end)
		ids, last := h.receiveAll()
		Expect(ids).To(Equal([]enginewire.TokenID{1, 2, 3, 4}))
		Expect(last.FinishReason).To(Equal("stop"))
	})

	It("resumes the engine's own stream once before it asks for another server", func() {
		h := startHarness(Generation{})
		_, first := h.assign("a")
		start := tokenEvent(1, 2)
		start.EngineStream = "s1"
		sendEvent(first, start)
		sendEvent(first, brokenEvent())
		resumed := h.nextStream()
		Expect(resumed.ResumeStream).To(Equal("s1"))
		Expect(resumed.ResumeFrom).To(Equal(2))
		sendEvent(resumed, brokenEvent())
		_, second := h.assign("b")
		Expect(second.ResumeStream).To(BeEmpty())
	})

	It("stops resuming a stream that another entry host takes over each time", func() {
		h := startHarness(Generation{})
		_, open := h.assign("a")
		for i := range enginewire.TokenID(maxStreamResumes) {
			event := tokenEvent(i + 1)
			event.EngineStream = "s1"
			sendEvent(open, event)
			sendEvent(open, brokenEvent())
			open = h.nextStream()
			Expect(open.ResumeStream).To(Equal("s1"))
		}
		event := tokenEvent(9)
		event.EngineStream = "s1"
		sendEvent(open, event)
		sendEvent(open, brokenEvent())
		_, open = h.assign("b")
		Expect(open.ResumeStream).To(BeEmpty())
	})

	It("retries while servers refuse connections for a short time, and then reports that it was not run", func() {
		h := startHarness(Generation{})
		refused := backends.StreamEvent{Err: &backends.StreamError{Kind: backends.FailureConnect, Message: "injected"}}
		for i := range maxRefusals {
			if i > maxImmediateRetries {
				Consistently(h.dispatches.Len, 5*time.Millisecond).Should(BeZero())
			}
			// The task may not have set its timer yet, so the time is advanced
			// until it dispatches.
			Eventually(func() int { h.clock.Advance(refusalDelay(i)); return h.dispatches.Len() }).Should(Equal(1))
			_, open := h.assign("a")
			sendEvent(open, refused)
			Eventually(h.reports.C()).Should(Receive())
		}
		_, last := h.receiveAll()
		Expect(last.Fault.Reason).To(Equal(model.ReasonRetriesSpent))
		Expect(last.Fault.Executed).To(Equal(model.ExecutedNo))
	})

	It("finishes without an attempt when the caller already has all tokens", func() {
		h := startHarness(Generation{Resume: &ResumePoint{Version: "v1", Mark: Mark{Position: 10, Hash: 1}}})
		ids, last := h.receiveAll()
		Expect(ids).To(BeEmpty())
		Expect(last.FinishReason).To(Equal("length"))
		Expect(last.Position).To(Equal(10))
	})

	It("ends with version_gone when no server of its version is left, instead of changing the version", func() {
		h := startHarness(Generation{})
		_, first := h.assign("a")
		sendEvent(first, tokenEvent(1))
		sendEvent(first, brokenEvent())
		var dispatch admission.Dispatch
		Eventually(h.dispatches.C()).Should(Receive(&dispatch))
		Expect(dispatch.Request.Version).To(BeEquivalentTo("v1"))
		h.clock.Advance(versionTimeout - time.Millisecond)
		Consistently(h.updates, 50*time.Millisecond).ShouldNot(Receive(HaveField("Fault", Not(BeNil()))))
		h.clock.Advance(time.Second)
		_, last := h.receiveAll()
		Expect(last.Fault.Reason).To(Equal(model.ReasonVersionGone))
		Expect(last.Fault.Executed).To(Equal(model.ExecutedUnknown))
		Eventually(dispatch.Cancelled).Should(BeClosed())
	})

	It("releases an assignment that arrives after its dispatch was cancelled, which would otherwise leak a slot", func() {
		h := startHarness(Generation{Eager: true})
		_, first := h.assign("a")
		sendEvent(first, tokenEvent(1))
		Eventually(h.updates).Should(Receive())
		h.clock.Advance(defaultSuspectGap)
		var dispatch admission.Dispatch
		Eventually(h.dispatches.C()).Should(Receive(&dispatch))
		sendEvent(first, tokenEvent(2))
		Eventually(dispatch.Cancelled).Should(BeClosed())
		dispatch.Reply.Send(admission.DispatchResult{Assignment: admission.Assignment{ID: 9, Reports: h.reports}})
		Eventually(h.reports.C()).Should(Receive(HaveField("ID", admission.DispatchID(9))))
	})

	It("continues with the first of two open attempts that delivers and cancels the other", func() {
		h := startHarness(Generation{Eager: true})
		_, first := h.assign("a")
		sendEvent(first, tokenEvent(1))
		Eventually(h.updates).Should(Receive())
		h.clock.Advance(defaultSuspectGap)
		_, second := h.assign("b")
		Expect(first.Context.Err()).NotTo(HaveOccurred())
		sendEvent(second, tokenEvent(2))
		Eventually(first.Context.Done()).Should(BeClosed())
		sendEvent(first, tokenEvent(7))
		end := tokenEvent(3)
		end.Finish = "stop"
		sendEvent(second, end)
		ids, _ := h.receiveAll()
		Expect(ids).To(Equal([]enginewire.TokenID{2, 3}))
	})

	It("reports the latencies of its service once, early enough for generations that start after it", func() {
		generation := Generation{Service: "advisor"}
		h := startHarness(generation)
		_, first := h.assign("a")
		for i := range enginewire.TokenID(latencyReportTokens) {
			sendEvent(first, tokenEvent(i))
		}
		var report Command
		Eventually(h.manager.C()).Should(Receive(&report))
		Expect(report.(latencyObserved).service).To(BeEquivalentTo("advisor"))
		Expect(report.(latencyObserved).latency.TokenGaps.count).To(BeEquivalentTo(latencyReportTokens - 1))
		end := tokenEvent(1)
		end.Finish = "stop"
		sendEvent(first, end)
		h.receiveAll()
		Consistently(h.manager.Len, 20*time.Millisecond).Should(BeZero())
	})

	It("ends a generation that has all its tokens without another attempt", func() {
		h := startHarness(Generation{})
		_, first := h.assign("a")
		sendEvent(first, tokenEvent(1, 2, 3, 4, 5, 6, 7, 8, 9, 10))
		sendEvent(first, brokenEvent())
		ids, last := h.receiveAll()
		Expect(ids).To(HaveLen(10))
		Expect(last.FinishReason).To(Equal("length"))
	})

	It("ends with resume_diverged when the repeated generation differs at the cursor", func() {
		h := startHarness(Generation{Resume: &ResumePoint{Version: "v1", Mark: Mark{Position: 2, Hash: 12345}}})
		dispatch, first := h.assign("a")
		Expect(dispatch.Request.Version).To(BeEquivalentTo("v1"))
		sendEvent(first, tokenEvent(1, 2, 3))
		ids, last := h.receiveAll()
		Expect(ids).To(BeEmpty())
		Expect(last.Fault.Reason).To(Equal(model.ReasonResumeDiverged))
	})
})
