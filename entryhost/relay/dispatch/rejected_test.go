package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/catalog"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/moves"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/task"
)

// Guards against servers of a withdrawn version that get traffic, or count as a sound
// version in the comparison, once the stage of their move is no longer the latest.
var _ = Describe("the servers of a rejected version", func() {
	var dispatcher *Task
	of := func(id, version string, startedAt time.Duration) *routing.Server {
		registered := server(id, "here")
		registered.Version, registered.StartedAt = version, startedAt
		return registered
	}
	view := func(order uint64, target string, servers ...*routing.Server) *catalog.View {
		view := viewOf(servers...)
		if order > 0 {
			view.Moves = map[string]routing.Move{"engine": {Service: "engine", Target: target, Order: order, Duration: time.Minute}}
		}
		return view
	}
	usableIDs := func() []string {
		var ids []string
		for _, c := range dispatcher.candidates("engine", dispatcher.Clock.Now()) {
			ids = append(ids, c.server.ID)
		}
		return ids
	}
	v1, v2, v3 := of("one", "v1", 1), of("two", "v2", 2), of("three", "v3", 3)
	withdrawn := routing.Stage{Service: "engine", Target: "v2", Order: 7, Phase: routing.PhaseWithdrawn, Rejected: routing.Rejections{{Version: "v2", Order: 7, Withdrawn: true, LatestStart: 2}}}

	BeforeEach(func() {
		dispatcher = newTestTask(Parameters{Self: "self", Prober: fakeProber{}})
		dispatcher.applyView(view(7, "v2", v1, v2))
		dispatcher.handleSetStage(SetStage{Stage: withdrawn})
	})

	It("get nothing during later orders, before and after the first stage of each", func() {
		for order := uint64(8); order < 12; order++ {
			dispatcher.applyView(view(order, "v3", v1, v2, v3))
			Expect(usableIDs()).To(ConsistOf("one", "three"))
			dispatcher.handleSetStage(SetStage{Stage: routing.Stage{Service: "engine", Target: "v3", Order: order, Phase: routing.PhaseActive, Share: 0.5}})
			Expect(usableIDs()).To(ConsistOf("one", "three"), "a host of an earlier build decides and records no rejections")
		}
	})

	It("get nothing if the stage of the next order arrives before the order", func() {
		dispatcher.handleSetStage(SetStage{Stage: routing.Stage{Service: "engine", Target: "v3", Order: 8, Phase: routing.PhaseActive}})
		dispatcher.applyView(view(7, "v2", v1, v2, v3))
		Expect(usableIDs()).To(ConsistOf("one", "three"))
	})

	It("get nothing when the operator removes the order", func() {
		dispatcher.applyView(view(0, "", v1, v2))
		Expect(usableIDs()).To(ConsistOf("one"))
	})

	It("get nothing if the version is ordered again, unless they started since", func() {
		dispatcher.applyView(view(8, "v2", v1, v2, of("new", "v2", 9)))
		Expect(usableIDs()).To(ConsistOf("one", "new"))

		By("also after the version is completed")
		dispatcher.handleSetStage(SetStage{Stage: routing.Stage{Service: "engine", Target: "v2", Order: 8, Phase: routing.PhaseCompleted, Share: 1}})
		Expect(usableIDs()).To(ConsistOf("one", "new"))
	})

	It("get nothing if they restart without another order of the version", func() {
		dispatcher.applyView(view(8, "v3", v1, of("two", "v2", 9), v3))
		Expect(usableIDs()).To(ConsistOf("one", "three"))
	})

	It("are not those that the target is compared with, also if they answer an earlier request", func(ctx SpecContext) {
		dispatcher = newTestTask(Parameters{Self: "self", Prober: fakeProber{}})
		dispatcher.applyView(view(7, "v2", v1, v2))
		dispatcher.handleSetStage(SetStage{Stage: routing.Stage{Service: "engine", Target: "v2", Order: 7, Phase: routing.PhaseActive, Share: 1}})
		reply := make(chan Assignment, 1)
		dispatcher.handle(ctx, Acquire{Service: "engine", Route: "chat", Reply: task.Reply[Assignment](reply)})
		granted := <-reply
		Expect(granted.Server.ID).To(Equal("two"))
		dispatcher.handleSetStage(SetStage{Stage: withdrawn})
		dispatcher.applyView(view(8, "v3", v1, v2, v3))
		dispatcher.handle(ctx, Release{Lease: granted.Lease, Outcome: OutcomeFailed})
		samples := make(chan map[string]moves.Versions, 1)
		dispatcher.handleSamples(GetSamples{Service: "engine", Reply: task.Reply[map[string]moves.Versions](samples)})
		Expect((<-samples)["chat"].Other.Failed).To(BeZero())
	})

	// Guards against a refusal of all requests: the old servers stop on completion, and a
	// host may not have learned of it when the next order arrives.
	It("get what the target does not if a later order only replaced theirs and no others are left", func() {
		dispatcher = newTestTask(Parameters{Self: "self", Prober: fakeProber{}})
		dispatcher.applyView(view(7, "v2", v1, v2))
		dispatcher.handleSetStage(SetStage{Stage: routing.Stage{Service: "engine", Target: "v2", Order: 7, Phase: routing.PhaseActive, Share: 1}})
		dispatcher.applyView(view(8, "v3", v1, v2, v3))
		Expect(usableIDs()).To(ConsistOf("one", "three"), "v2 is not proven")
		dispatcher.applyView(view(8, "v3", v2, v3))
		Expect(usableIDs()).To(ConsistOf("two", "three"))
	})
})
