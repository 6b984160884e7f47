package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// versionTraffic describes the outcomes of one version in a simulated run.
type versionTraffic struct {
	fail float64
	pace time.Duration
}

// evidenceRun feeds a dispatcher's evidence with outcomes of both versions.
type evidenceRun struct {
	evidence *moveEvidence
	facts    task.Mailbox[peers.Message]
	random   *rand.Rand
	now      time.Time
	new      int
}

func newEvidenceRun(seed uint64) *evidenceRun {
	facts := task.NewMailbox[peers.Message](4096)
	evidence := newMoveEvidence("s", EvidenceLinks{
		Policy: DefaultEvidencePolicy(), Peers: facts, Recorder: events.Discard,
		Reports: task.NewMailbox[EvidenceReport](4096),
	})
	evidence.configure(&model.Configuration{Moves: map[model.MoveID]model.Move{
		"m": {ID: "m", Service: "s", From: "v1", To: "v2", State: model.MoveRunning},
	}})
	return &evidenceRun{evidence: evidence, facts: facts, random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0)}
}

// observe sends one outcome.
func (r *evidenceRun) observe(version model.Version, route string, server int, outcome Outcome, pace time.Duration) {
	r.now = r.now.Add(10 * time.Millisecond)
	r.evidence.observe(r.now, Done{
		Server: model.ServerID(rune('a' + server)), Version: version, Outcome: outcome,
		Request: Request{Route: route}, Duration: 10 * pace, Tokens: 10,
	})
}

// traffic sends requests, a share of them to the new version.
func (r *evidenceRun) traffic(count int, share float64, route string, before, after versionTraffic) {
	for range count {
		version, traffic := model.Version("v1"), before
		if r.random.Float64() < share {
			version, traffic = "v2", after
			r.new++
		}
		outcome := OutcomeDone
		if r.random.Float64() < traffic.fail {
			outcome = OutcomeError
		}
		pace := time.Duration(float64(traffic.pace) * (0.8 + 0.4*r.random.Float64()))
		r.observe(version, route, r.random.IntN(6), outcome, pace)
	}
}

func (r *evidenceRun) bad() bool { return r.evidence.verdict.Bad() }

var good = versionTraffic{fail: 0.005, pace: 5 * time.Millisecond}

var _ = ginkgo.Describe("evidence about a version", func() {
	ginkgo.It("keeps good versions over many seeds", func() {
		for seed := range uint64(50) {
			run := newEvidenceRun(seed)
			run.traffic(4000, 0.3, "/r", good, good)
			Expect(run.bad()).To(BeFalse(), "seed %d: %s", seed, run.evidence.verdict.Reason)
		}
	})

	ginkgo.It("keeps a version that is as bad as the old one over the same period", func() {
		poor := versionTraffic{fail: 0.2, pace: 20 * time.Millisecond}
		for seed := range uint64(20) {
			run := newEvidenceRun(seed)
			run.traffic(500, 0.05, "/r", good, good)
			run.traffic(2000, 0.05, "/r", poor, poor)
			Expect(run.bad()).To(BeFalse(), "seed %d: %s", seed, run.evidence.verdict.Reason)
		}
	})

	ginkgo.It("withdraws a version that fails, is slow, or fails late after a long good history", func() {
		for seed := range uint64(20) {
			failing, slow, late := newEvidenceRun(seed), newEvidenceRun(seed), newEvidenceRun(seed)
			failing.traffic(1500, 0.05, "/r", good, versionTraffic{fail: 0.5, pace: good.pace})
			Expect(failing.bad()).To(BeTrue(), "failing, seed %d", seed)
			slow.traffic(1500, 0.05, "/r", good, versionTraffic{pace: 3 * good.pace})
			Expect(slow.bad()).To(BeTrue(), "slow, seed %d", seed)
			late.traffic(5000, 0.5, "/r", good, good)
			late.traffic(200, 0.5, "/r", good, versionTraffic{fail: 0.5, pace: good.pace})
			Expect(late.bad()).To(BeTrue(), "late, seed %d", seed)
		}
	})

	ginkgo.It("withdraws a version that fails on one route only, which a mean over routes would hide", func() {
		run := newEvidenceRun(1)
		for range 40 {
			run.traffic(50, 0.2, "/a", good, good)
			run.traffic(5, 0.2, "/b", good, versionTraffic{fail: 1, pace: good.pace})
		}
		Expect(run.bad()).To(BeTrue())
	})

	ginkgo.It("does not blame a version for one bad server", func() {
		run := newEvidenceRun(1)
		run.traffic(500, 0.1, "/r", good, good)
		for range 40 {
			run.observe("v2", "/r", 3, OutcomeError, good.pace)
		}
		Expect(run.bad()).To(BeFalse())
	})

	ginkgo.It("does not blame a version for the deaths of servers, which break streams of both versions", func() {
		run := newEvidenceRun(1)
		for server := range 6 {
			run.traffic(300, 0.3, "/r", good, good)
			run.observe("v1", "/r", server, OutcomeBroken, good.pace)
			for range 5 {
				run.observe("v2", "/r", server, OutcomeBroken, good.pace)
			}
		}
		Expect(run.bad()).To(BeFalse())
	})

	ginkgo.It("sends the traffic of a bad version to the old one", func() {
		run := newEvidenceRun(1)
		run.traffic(400, 0.5, "/r", good, versionTraffic{fail: 1, pace: good.pace})
		shares := run.evidence.shares([]model.VersionShare{{Version: "v1", Share: 5000}, {Version: "v2", Share: 5000}})
		Expect(shares).To(Equal([]model.VersionShare{{Version: "v1", Share: 10000}, {Version: "v2", Share: 0}}))
	})

	ginkgo.It("announces its verdict again before it expires at peers", func() {
		run := newEvidenceRun(1)
		run.traffic(400, 0.5, "/r", good, versionTraffic{fail: 1, pace: good.pace})
		run.evidence.share(run.now.Add(time.Second))
		for run.facts.Len() > 0 {
			<-run.facts.C()
		}
		run.evidence.share(run.now.Add(time.Minute))
		Expect(run.facts.Len()).To(BeZero())
		run.evidence.share(run.now.Add(factLifetime / 2))
		Expect((<-run.facts.C()).(peers.Publish).Fact.Kind).To(Equal(peers.FactWithdrawal))
	})

	ginkgo.It("keeps a bounded number of routes, whatever paths callers use", func() {
		run := newEvidenceRun(1)
		for i := range 200 {
			run.traffic(4, 0.5, "/path/"+string(rune('a'+i)), good, good)
		}
		Expect(len(run.evidence.old) + len(run.evidence.routes)).To(BeNumerically("<=", 2*routeLimit+2))
	})

	ginkgo.It("reaches a verdict from the counts of peers and accepts their withdrawal", func() {
		source, counts, told := newEvidenceRun(1), newEvidenceRun(2), newEvidenceRun(3)
		source.traffic(400, 0.2, "/r", good, versionTraffic{fail: 0.6, pace: good.pace})
		for source.facts.Len() > 0 {
			fact := (<-source.facts.C()).(peers.Publish).Fact
			Expect(len(fact.Value)).To(BeNumerically("<=", peers.MaxFactBytes))
			fact.Origin = "entry-1"
			if fact.Kind == peers.FactEvidence {
				counts.evidence.receive(counts.now, fact)
			} else {
				told.evidence.receive(told.now, fact)
			}
		}
		Expect(counts.bad()).To(BeTrue())
		Expect(told.bad()).To(BeTrue())
	})
})

func TestSharedCountsFit(t *testing.T) {
	var counts SharedCounts
	for server := range 1000 {
		for range 100 {
			counts.add(ServerKey(60_000+server), sortFailed)
			counts.add(ServerKey(60_000+server), sortSlow)
		}
	}
	value, _ := counts.encode()
	if len(value) > peers.MaxFactBytes {
		t.Fatalf("a fact with %d bytes would be refused", len(value))
	}
}
