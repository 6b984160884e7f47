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

// TestBatchProperty guards against two writes of one row in a transaction, lost
// operations, and an outcome that overtakes the claim of its row.
func TestBatchProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := rapid.SliceOf(rapid.IntRange(0, 5)).Draw(t, "rows")
		var pending []operation
		for i, row := range rows {
			pending = append(pending, operation{row: fmt.Sprint(row), expectedVersion: platform.RowVersion(i), value: make([]byte, 100<<10)})
		}
		last := make(map[string]platform.RowVersion)
		batched := 0
		for len(pending) > 0 {
			batch, rest := takeBatch(pending, DefaultBatchLimit)
			if len(batch) == 0 {
				t.Fatal("a batch is empty although operations wait")
			}
			seen := make(map[string]bool)
			for _, next := range batch {
				if seen[next.row] || next.expectedVersion < last[next.row] {
					t.Fatalf("row %s is written twice or out of order", next.row)
				}
				seen[next.row] = true
				last[next.row] = next.expectedVersion
			}
			batched += len(batch)
			pending = rest
		}
		if batched != len(rows) {
			t.Fatalf("%d operations were taken of %d", batched, len(rows))
		}
	})
}

// fakeTable is a table that can lose transactions. Its serve goroutine owns the
// rows; all access goes through run.
type fakeTable struct {
	platform.Table
	operations chan func(*fakeTable)
	rows       map[string]platform.Row
	// loseRequests and loseAnswers count the next transactions whose request or
	// answer is lost.
	loseRequests, loseAnswers int
	// down makes all operations fail; downAfterLastLoss sets it with the last lost
	// answer.
	downAfterLastLoss, down bool
	transactions            int
}

func (f *fakeTable) serve(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case step := <-f.operations:
			step(f)
		}
	}
}

// run executes an operation in the goroutine that owns the table.
func (f *fakeTable) run(step func(*fakeTable)) {
	done := make(chan struct{})
	f.operations <- func(f *fakeTable) { step(f); close(done) }
	<-done
}

func (f *fakeTable) Transact(_ context.Context, transaction platform.Transaction) (result platform.TransactResult, err error) {
	f.run(func(f *fakeTable) {
		f.transactions++
		if f.down || f.loseRequests > 0 {
			f.loseRequests--
			err = platform.ErrUnavailable.New("request lost")
			return
		}
		result = f.commit(transaction)
		if f.loseAnswers > 0 {
			f.loseAnswers--
			f.down = f.downAfterLastLoss && f.loseAnswers == 0
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
	f.run(func(f *fakeTable) {
		err = platform.ErrNotFound.New("row")
		if f.down {
			err = platform.ErrUnavailable.New("down")
		}
	})
	return row, err
}

func (f *fakeTable) state(row string) State {
	var record Record
	f.run(func(f *fakeTable) { record, _ = Decode(f.rows[row].Value) })
	return record.State
}

var _ = Describe("the claim writer", func() {
	var table *fakeTable
	var writer *Writer

	BeforeEach(func() {
		leaks := goleak.IgnoreCurrent()
		table = &fakeTable{operations: make(chan func(*fakeTable)), rows: make(map[string]platform.Row)}
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

	sendClaim := func(row, id, hash string) <-chan AcquireResult {
		reply := make(chan AcquireResult, 1)
		now := time.Now()
		Expect(writer.Messages().TrySend(Claim{
			Row: row, Deadline: now.Add(time.Minute), Reply: reply,
			Record: Record{ID: id, BodyHash: hash, State: StateClaimed, Until: now.Add(time.Minute)},
		})).To(Succeed())
		return reply
	}
	claim := func(row, id, hash string) AcquireResult {
		GinkgoHelper()
		var result AcquireResult
		Eventually(sendClaim(row, id, hash), 3*time.Second).Should(Receive(&result))
		return result
	}
	recordOutcome := func(row, id string, version platform.RowVersion, state State, answer *Answer) {
		GinkgoHelper()
		recorded, err := task.Call(context.Background(), writer.Messages(), func(reply task.Reply[bool]) Message {
			return RecordOutcome{Row: row, Version: version, Reply: reply, Record: Record{ID: id, BodyHash: "h", State: state, Answer: answer}}
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(recorded).To(BeTrue())
	}

	It("grants the other claims of a batch in which one conflicts", func() {
		Expect(claim("a", "1", "h").Held).To(BeTrue())
		results := []<-chan AcquireResult{sendClaim("a", "2", "h"), sendClaim("b", "3", "h"), sendClaim("c", "4", "h")}
		Expect((<-results[0]).Fault.Reason).To(Equal(model.ReasonKeyInProgress))
		Expect((<-results[1]).Held).To(BeTrue())
		Expect((<-results[2]).Held).To(BeTrue())
	})

	It("grants one of two claims of a key that wait together", func() {
		first, second := sendClaim("a", "1", "h"), sendClaim("a", "2", "h")
		Expect((<-first).Held).To(BeTrue())
		Expect((<-second).Held).To(BeFalse())
	})

	It("reads back by its id a claim whose answer was lost, which would otherwise block the key forever", func() {
		table.run(func(f *fakeTable) { f.loseAnswers = 2 })
		result := claim("a", "1", "h")
		Expect(result.Held).To(BeTrue())
		Expect(result.Version).To(Equal(platform.RowVersion(1)))
	})

	It("does not treat a claim as held when another one won while its answer was lost", func() {
		value, err := Encode(Record{ID: "other", BodyHash: "h", State: StateClaimed, Until: time.Now().Add(time.Minute)})
		Expect(err).NotTo(HaveOccurred())
		table.run(func(f *fakeTable) {
			f.loseRequests = 1
			f.rows["a"] = platform.Row{Key: "a", Value: value, Version: 1}
		})
		Expect(claim("a", "1", "h").Fault.Reason).To(Equal(model.ReasonKeyInProgress))
	})

	It("refuses claims at once during an outage and releases those that were sent", func() {
		table.run(func(f *fakeTable) { f.loseAnswers, f.downAfterLastLoss = 1, true })
		refused := claim("a", "1", "h")
		Expect(refused.Fault.Reason).To(Equal(model.ReasonPlatformUnavailable))
		Expect(refused.Fault.Executed).To(Equal(model.ExecutedNo))
		Expect(table.state("a")).To(Equal(StateClaimed), "the claim took effect before the outage")
		Expect(refused.Fault.Remedy).To(ContainSubstring("/v1/tickets"))
		var before int
		table.run(func(f *fakeTable) { before = f.transactions })
		Expect(claim("b", "2", "h").Fault.Reason).To(Equal(model.ReasonPlatformUnavailable))
		var after int
		table.run(func(f *fakeTable) { after = f.transactions; f.down = false })
		Expect(after).To(Equal(before), "an immediate refusal sends no transaction")
		// After the release a delayed transaction of the claim must always fail.
		Eventually(func() State { return table.state("a") }, 3*time.Second).Should(Equal(StateReleased))
		var late platform.TransactResult
		table.run(func(f *fakeTable) {
			late = f.commit(platform.Transaction{Conditions: []platform.Condition{{Key: "a"}}, Writes: []platform.Write{{Key: "a"}}})
		})
		Expect(late.Committed).To(BeFalse())
		Expect(claim("a", "3", "h").Held).To(BeTrue())
	})

	It("repeats the recorded answer and refuses the key for another body", func() {
		held := claim("a", "1", "h")
		recordOutcome("a", "1", held.Version, StateDone, &Answer{Status: 201, Body: []byte("done")})
		Expect(string(claim("a", "2", "h").Answer.Body)).To(Equal("done"))
		reused := claim("a", "3", "other").Fault
		Expect(reused.Reason).To(Equal(model.ReasonKeyReused))
		Expect(reused.Kind).To(Equal(model.KindConflict))
	})

	It("grants a released key to a repeated request, but never a key whose outcome is unknown", func() {
		recordOutcome("a", "1", claim("a", "1", "h").Version, StateReleased, nil)
		held := claim("a", "2", "h")
		Expect(held.Held).To(BeTrue())
		recordOutcome("a", "2", held.Version, StateUnknown, nil)
		fault := claim("a", "3", "h").Fault
		Expect(fault.Reason).To(Equal(model.ReasonOutcomeUnknown))
		Expect(fault.Executed).To(Equal(model.ExecutedUnknown))
	})
})

var _ = Describe("claim policies", func() {
	now := time.Unix(1_000_000, 0)

	It("reports an unknown outcome for a claim that is still open after the end of its call", func() {
		result := EvaluateRecord(Record{State: StateClaimed, BodyHash: "h", Until: now.Add(-time.Second)}, "h", now)
		Expect(result.Fault.Reason).To(Equal(model.ReasonOutcomeUnknown))
	})

	It("reports that a call was executed when its answer was too long to be recorded", func() {
		result := EvaluateRecord(Record{State: StateDone, BodyHash: "h", Answer: &Answer{BodyOmitted: true}}, "h", now)
		Expect(result.Fault.Executed).To(Equal(model.ExecutedYes))
		Expect(result.Fault.Message).To(ContainSubstring("too long"))
	})

	It("starts the first transaction at once: the delay of the zero budget must not overflow to centuries", func() {
		Expect(rateBudget{}.delay(now)).To(BeNumerically("<=", 0))
	})

	It("bounds the transactions of an entry host to one for each interval on average", func() {
		var budget rateBudget
		transactions := 0
		for elapsed := time.Duration(0); elapsed < time.Second; elapsed += time.Millisecond {
			if budget.delay(now.Add(elapsed)) <= 0 {
				budget = budget.spend(now.Add(elapsed))
				transactions++
			}
		}
		Expect(transactions).To(BeNumerically("<=", int(time.Second/transactionInterval)+transactionBurst))
	})

	It("hashes paths and bodies differently whose concatenations are equal", func() {
		Expect(BodyHash("s", "POST", "/a", []byte("b"))).NotTo(Equal(BodyHash("s", "POST", "/", []byte("ab"))))
	})
})
