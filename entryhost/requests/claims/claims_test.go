package claims

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

func TestClaims(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claims")
}

// TestBatchProperty guards against two writes of one row in a transaction,
// lost operations, and an outcome that overtakes the claim of its row.
func TestBatchProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := rapid.SliceOf(rapid.IntRange(0, 5)).Draw(t, "rows")
		var pending []operation
		for i, row := range rows {
			pending = append(pending, operation{row: fmt.Sprint(row), expect: platform.RowVersion(i), value: make([]byte, 100<<10)})
		}
		last := make(map[string]platform.RowVersion)
		taken := 0
		for len(pending) > 0 {
			batch, rest := nextBatch(pending, DefaultBatchLimit)
			if len(batch) == 0 {
				t.Fatal("a batch is empty although operations wait")
			}
			seen := make(map[string]bool)
			for _, next := range batch {
				if seen[next.row] || next.expect < last[next.row] {
					t.Fatalf("row %s is written twice or out of order", next.row)
				}
				seen[next.row] = true
				last[next.row] = next.expect
			}
			taken += len(batch)
			pending = rest
		}
		if taken != len(rows) {
			t.Fatalf("%d operations were taken of %d", taken, len(rows))
		}
	})
}

// fakeTable is a table whose next transactions can be lost. Only the writer's
// transaction goroutine uses it, one at a time, and the test between them.
type fakeTable struct {
	platform.Table
	steps chan func(*fakeTable)
	rows  map[string]platform.Row
	// lose and loseAnswers count transactions to lose before and after they commit.
	lose, loseAnswers int
	// thenDown starts an outage with the last lost answer.
	thenDown, down bool
	transactions   int
}

func (f *fakeTable) serve(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case step := <-f.steps:
			step(f)
		}
	}
}

// do runs a step in the goroutine that owns the table.
func (f *fakeTable) do(step func(*fakeTable)) {
	done := make(chan struct{})
	f.steps <- func(f *fakeTable) { step(f); close(done) }
	<-done
}

func (f *fakeTable) Transact(_ context.Context, transaction platform.Transaction) (result platform.TransactResult, err error) {
	f.do(func(f *fakeTable) {
		f.transactions++
		if f.down || f.lose > 0 {
			f.lose--
			err = platform.ErrUnavailable.New("request lost")
			return
		}
		result = f.commit(transaction)
		if f.loseAnswers > 0 {
			f.loseAnswers--
			f.down = f.thenDown && f.loseAnswers == 0
			err = platform.ErrUnavailable.New("answer lost")
		}
	})
	return result, err
}

func (f *fakeTable) commit(transaction platform.Transaction) (result platform.TransactResult) {
	for _, condition := range transaction.Conditions {
		if row := f.rows[condition.Key]; row.Version != condition.Version {
			result.Conflicts = append(result.Conflicts, platform.Row{Key: condition.Key, Value: row.Value, Version: row.Version})
		}
	}
	if result.Committed = len(result.Conflicts) == 0; !result.Committed {
		return result
	}
	for _, write := range transaction.Writes {
		version := f.rows[write.Key].Version + 1
		f.rows[write.Key] = platform.Row{Key: write.Key, Value: write.Value, Version: version}
		result.Versions = append(result.Versions, version)
	}
	return result
}

func (f *fakeTable) Read(context.Context, string) (row platform.Row, err error) {
	f.do(func(f *fakeTable) {
		err = platform.ErrNotFound.New("row")
		if f.down {
			err = platform.ErrUnavailable.New("down")
		}
	})
	return row, err
}

func (f *fakeTable) state(row string) State {
	var record Record
	f.do(func(f *fakeTable) { record, _ = Decode(f.rows[row].Value) })
	return record.State
}

var _ = Describe("the claim writer", func() {
	var table *fakeTable
	var writer *Writer

	BeforeEach(func() {
		leaks := goleak.IgnoreCurrent()
		table = &fakeTable{steps: make(chan func(*fakeTable)), rows: make(map[string]platform.Row)}
		writer = NewWriter(table, ReadBackByID, DefaultBatchLimit, clockwork.NewRealClock(), metrics.NewSet(),
			slog.New(slog.NewTextHandler(io.Discard, nil)))
		tableContext, endTable := context.WithCancel(context.Background())
		go table.serve(tableContext)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = writer.Serve(ctx) }()
		DeferCleanup(func() {
			cancel()
			<-done
			Eventually(func() error {
				return goleak.Find(leaks, goleak.IgnoreAnyFunction("github.com/lentilpoint/lentilpoint/entryhost/requests/claims.(*fakeTable).serve"))
			}).Should(Succeed())
			endTable()
		})
	})

	start := func(row, id, hash string) <-chan Verdict {
		reply := make(chan Verdict, 1)
		now := time.Now()
		Expect(writer.Messages().TrySend(Claim{
			Row: row, Deadline: now.Add(time.Minute), Reply: reply,
			Record: Record{ID: id, BodyHash: hash, State: StateClaimed, Until: now.Add(time.Minute)},
		})).To(Succeed())
		return reply
	}
	claim := func(row, id, hash string) Verdict {
		GinkgoHelper()
		var verdict Verdict
		Eventually(start(row, id, hash), 3*time.Second).Should(Receive(&verdict))
		return verdict
	}
	finish := func(row, id string, version platform.RowVersion, state State, answer *Answer) {
		GinkgoHelper()
		kept, err := task.Call(context.Background(), writer.Messages(), func(reply task.Reply[bool]) Message {
			return Finish{Row: row, Version: version, Reply: reply, Record: Record{ID: id, BodyHash: "h", State: state, Answer: answer}}
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(kept).To(BeTrue())
	}

	It("grants the other claims of a batch in which one conflicts", func() {
		Expect(claim("a", "1", "h").Held).To(BeTrue())
		verdicts := []<-chan Verdict{start("a", "2", "h"), start("b", "3", "h"), start("c", "4", "h")}
		Expect((<-verdicts[0]).Fault.Reason).To(Equal(model.ReasonKeyInProgress))
		Expect((<-verdicts[1]).Held).To(BeTrue())
		Expect((<-verdicts[2]).Held).To(BeTrue())
	})

	It("grants one of two claims of a key that wait together", func() {
		first, second := start("a", "1", "h"), start("a", "2", "h")
		Expect((<-first).Held).To(BeTrue())
		Expect((<-second).Held).To(BeFalse())
	})

	It("reads a claim with a lost answer back by its id, which would else block the key for good", func() {
		table.do(func(f *fakeTable) { f.loseAnswers = 2 })
		verdict := claim("a", "1", "h")
		Expect(verdict.Held).To(BeTrue())
		Expect(verdict.Version).To(Equal(platform.RowVersion(1)))
	})

	It("does not treat a claim as held when another one won while its answer was lost", func() {
		value, err := Encode(Record{ID: "other", BodyHash: "h", State: StateClaimed, Until: time.Now().Add(time.Minute)})
		Expect(err).NotTo(HaveOccurred())
		table.do(func(f *fakeTable) {
			f.lose = 1
			f.rows["a"] = platform.Row{Key: "a", Value: value, Version: 1}
		})
		Expect(claim("a", "1", "h").Fault.Reason).To(Equal(model.ReasonKeyInProgress))
	})

	It("refuses claims at once during an outage and takes back those that were sent", func() {
		table.do(func(f *fakeTable) { f.loseAnswers, f.thenDown = 1, true })
		refused := claim("a", "1", "h")
		Expect(refused.Fault.Reason).To(Equal(model.ReasonPlatformUnavailable))
		Expect(refused.Fault.Executed).To(Equal(model.ExecutedNo))
		Expect(table.state("a")).To(Equal(StateClaimed), "the claim took effect before the outage")
		Expect(refused.Fault.Remedy).To(ContainSubstring("/v1/tickets"))
		var before int
		table.do(func(f *fakeTable) { before = f.transactions })
		Expect(claim("b", "2", "h").Fault.Reason).To(Equal(model.ReasonPlatformUnavailable))
		var after int
		table.do(func(f *fakeTable) { after = f.transactions; f.down = false })
		Expect(after).To(Equal(before), "a refusal at once sends no transaction")
		// The release makes a delayed transaction of the claim fail for good.
		Eventually(func() State { return table.state("a") }, 3*time.Second).Should(Equal(StateReleased))
		var late platform.TransactResult
		table.do(func(f *fakeTable) {
			late = f.commit(platform.Transaction{Conditions: []platform.Condition{{Key: "a"}}, Writes: []platform.Write{{Key: "a"}}})
		})
		Expect(late.Committed).To(BeFalse())
		Expect(claim("a", "3", "h").Held).To(BeTrue())
	})

	It("repeats the recorded answer and refuses the key for another body", func() {
		held := claim("a", "1", "h")
		finish("a", "1", held.Version, StateDone, &Answer{Status: 201, Body: []byte("done")})
		Expect(string(claim("a", "2", "h").Answer.Body)).To(Equal("done"))
		reused := claim("a", "3", "other").Fault
		Expect(reused.Reason).To(Equal(model.ReasonKeyReused))
		Expect(reused.Kind).To(Equal(model.KindConflict))
	})

	It("gives a released key to a repeat and never one whose outcome is unknown", func() {
		finish("a", "1", claim("a", "1", "h").Version, StateReleased, nil)
		held := claim("a", "2", "h")
		Expect(held.Held).To(BeTrue())
		finish("a", "2", held.Version, StateUnknown, nil)
		fault := claim("a", "3", "h").Fault
		Expect(fault.Reason).To(Equal(model.ReasonOutcomeUnknown))
		Expect(fault.Executed).To(Equal(model.ExecutedUnknown))
	})
})

var _ = Describe("claim policies", func() {
	now := time.Unix(1_000_000, 0)

	It("calls the outcome unknown once a claim is older than its call", func() {
		verdict := Judge(Record{State: StateClaimed, BodyHash: "h", Until: now.Add(-time.Second)}, "h", now)
		Expect(verdict.Fault.Reason).To(Equal(model.ReasonOutcomeUnknown))
	})

	It("says that a call was executed when its answer was too long to be recorded", func() {
		verdict := Judge(Record{State: StateDone, BodyHash: "h", Answer: &Answer{BodyOmitted: true}}, "h", now)
		Expect(verdict.Fault.Executed).To(Equal(model.ExecutedYes))
		Expect(verdict.Fault.Message).To(ContainSubstring("too long"))
	})

	It("lets the first transaction start at once; the zero budget once overflowed to a wait of centuries", func() {
		Expect(rateBudget{}.wait(now)).To(BeNumerically("<=", 0))
	})

	It("bounds the transactions of an entry host to one for each interval on average", func() {
		var budget rateBudget
		transactions := 0
		for elapsed := time.Duration(0); elapsed < time.Second; elapsed += time.Millisecond {
			if budget.wait(now.Add(elapsed)) <= 0 {
				budget = budget.spend(now.Add(elapsed))
				transactions++
			}
		}
		Expect(transactions).To(BeNumerically("<=", int(time.Second/transactionInterval)+transactionBurst))
	})

	It("tells bodies and paths apart that join to the same bytes", func() {
		Expect(BodyHash("s", "POST", "/a", []byte("b"))).NotTo(Equal(BodyHash("s", "POST", "/", []byte("ab"))))
	})
})
