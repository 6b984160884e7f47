package control

import (
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// memoryTable is a table whose faults a test sets. One goroutine uses it.
type memoryTable struct {
	rows map[string]platform.Row
	// loseAnswer applies the next transaction and loses its answer; failReads
	// and down refuse reads and everything.
	loseAnswer bool
	failReads  bool
	down       bool
}

func (m *memoryTable) Transact(_ context.Context, transaction platform.Transaction) (platform.TransactResult, error) {
	var result platform.TransactResult
	if m.down {
		return result, platform.ErrUnavailable.New("down")
	}
	for _, condition := range transaction.Conditions {
		if m.rows[condition.Key].Version != condition.Version {
			result.Conflicts = append(result.Conflicts, m.rows[condition.Key])
		}
	}
	if len(result.Conflicts) > 0 {
		return result, nil
	}
	result.Committed = true
	for _, write := range transaction.Writes {
		version := m.rows[write.Key].Version + 1
		m.rows[write.Key] = platform.Row{Key: write.Key, Value: write.Value, Version: version}
		result.Versions = append(result.Versions, version)
	}
	if m.loseAnswer {
		m.loseAnswer = false
		return platform.TransactResult{}, platform.ErrUnavailable.New("lost")
	}
	return result, nil
}

func (m *memoryTable) Read(_ context.Context, key string) (platform.Row, error) {
	row := m.rows[key]
	switch {
	case m.down || m.failReads:
		return row, platform.ErrUnavailable.New("down")
	case row.Version == 0:
		return row, platform.ErrNotFound.New("%s", key)
	}
	return row, nil
}

func (m *memoryTable) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, nil
}

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

var _ = Describe("a lease task", func() {
	var table *memoryTable
	var clock *clockwork.FakeClock
	newTask := func(host model.HostID) *leaseTask {
		return &leaseTask{
			service: "s", owner: Owner{Host: host, Incarnation: 1}, policy: testLease, table: table,
			mover: task.NewMailbox[moverMessage](64), recorder: events.Discard, clock: clock, logger: quiet,
		}
	}
	BeforeEach(func() {
		table = &memoryTable{rows: map[string]platform.Row{}}
		clock = clockwork.NewFakeClock()
	})
	turn := func(lease *leaseTask) { lease.turn(context.Background()) }

	It("takes a lease whose answer was lost, by reading it back", func() {
		table.loseAnswer = true
		lease := newTask("a")
		turn(lease)
		Expect(lease.term.Fencing).To(Equal(uint64(1)))
		Expect(lease.term.Holder).To(Equal(platform.RowVersion(1)))
	})

	It("keeps its term when an own renewal took effect unseen, which is no new holder", func() {
		lease := newTask("a")
		turn(lease)
		until := lease.term.Until
		table.loseAnswer, table.failReads = true, true
		clock.Advance(2 * time.Second)
		turn(lease)
		Expect(lease.term.Until).To(Equal(until), "an unknown outcome must not extend the term")
		table.failReads = false
		turn(lease)
		turn(lease)
		Expect(lease.term.Fencing).To(Equal(uint64(1)))
		Expect(lease.term.Until).To(BeTemporally(">", until))
	})

	It("ends its term by the clock during an outage, before another host may begin", func() {
		first, second := newTask("a"), newTask("b")
		turn(first)
		turn(second)
		Expect(second.term.Fencing).To(BeZero())
		table.down = true
		clock.Advance(testLease.Duration - testLease.Margin)
		Expect(first.term.Holds(clock.Now())).To(BeFalse())
		table.down = false
		turn(second)
		Expect(second.term.Fencing).To(BeZero())
		clock.Advance(testLease.Margin)
		turn(second)
		Expect(second.term.Fencing).To(Equal(uint64(2)))
		turn(first)
		Expect(first.term.Fencing).To(BeZero())
	})

	It("does not act on the lease of an earlier run of its host", func() {
		turn(newTask("a"))
		restarted := newTask("a")
		restarted.owner.Incarnation = 2
		turn(restarted)
		Expect(restarted.term.Fencing).To(BeZero())
	})
})

var _ = Describe("a mover", func() {
	It("deletes the order rows of servers that have left, which would otherwise grow without bound", func() {
		clock := clockwork.NewFakeClock()
		table := &memoryTable{rows: map[string]platform.Row{orderKey("s", "gone"): {Key: orderKey("s", "gone"), Version: 1}}}
		mover := &moverTask{
			service: "s", policy: DefaultPolicy(), table: table, recorder: events.Discard, clock: clock, logger: quiet,
			configuration: &model.Configuration{},
			outstanding:   map[model.ServerID]Outstanding{"gone": {}},
		}
		mover.policy.Lease.Unsafe = true
		mover.term = Term{Fencing: 1, Since: clock.Now(), Until: clock.Now().Add(time.Hour)}
		mover.order(context.Background(), model.Service{Name: "s"}, nil)
		Expect(mover.outstanding).To(HaveLen(1), "the list of servers may be incomplete at the start of a term")
		clock.Advance(2 * forgetServerAfter)
		mover.order(context.Background(), model.Service{Name: "s"}, nil)
		Expect(mover.outstanding).To(BeEmpty())
	})
})

var _ = Describe("the control task", func() {
	It("ends all its tasks, so that a stopped host leaves nothing behind", func() {
		leaks := goleak.IgnoreCurrent()
		links := Links{
			Table: &memoryTable{rows: map[string]platform.Row{}}, Sender: SendByMailbox{}, Recorder: events.Discard,
			Reports: task.NewMailbox[admission.EvidenceReport](1),
		}
		control := newControl(Owner{Host: "a", Incarnation: 1}, DefaultPolicy(), links, newInbox(), clockwork.NewRealClock(), quiet)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- control.Serve(ctx) }()
		configuration := &model.Configuration{Revision: 1, Services: map[model.ServiceName]model.Service{"s": {Name: "s", Kind: model.ServiceEngine}}}
		Expect(control.inbox.configurations.Send(ctx, configuration)).To(Succeed())
		Eventually(control.inbox.configurations.Len).Should(BeZero())
		cancel()
		Expect(<-done).To(Succeed())
		Expect(goleak.Find(leaks)).To(Succeed())
	})
})
