package check_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
	"github.com/lentilpoint/lentilpoint/entryhost/requests/claims"
	"github.com/lentilpoint/lentilpoint/model"
)

func TestCheck(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "check")
}

var _ = Describe("the check of claims", func() {
	start := time.Unix(1000, 0)
	timed := func(operation check.ClaimOperation, called, returned int) check.ClaimOperation {
		operation.Row = "row"
		operation.Called = start.Add(time.Duration(called) * time.Second)
		operation.Returned = start.Add(time.Duration(returned) * time.Second)
		operation.Certain = returned > 0
		return operation
	}
	held := func(id string) check.ClaimOperation { return check.ClaimOperation{ID: id, Held: true} }
	outcome := func(id string, state claims.State) check.ClaimOperation {
		return check.ClaimOperation{ID: id, Outcome: state}
	}

	It("finds a key that two claims hold at once", func() {
		history := []check.ClaimOperation{timed(held("a"), 1, 2), timed(held("b"), 1, 3)}
		Expect(check.Claims(history)).To(Equal(check.Violations{check.ClaimedTwice: 1}))
	})

	It("accepts a second claim only after a release", func() {
		Expect(check.Claims([]check.ClaimOperation{
			timed(held("a"), 1, 2), timed(outcome("a", claims.StateReleased), 3, 4), timed(held("b"), 5, 6),
		})).To(BeEmpty())
		Expect(check.Claims([]check.ClaimOperation{
			timed(held("a"), 1, 2), timed(outcome("a", claims.StateDone), 3, 4), timed(held("b"), 5, 6),
		})).NotTo(BeEmpty())
	})

	It("accepts an unanswered release that took effect later, and finds a repeated answer before its outcome was recorded", func() {
		Expect(check.Claims([]check.ClaimOperation{
			timed(held("a"), 1, 2), timed(outcome("a", claims.StateReleased), 3, 0), timed(held("b"), 5, 6),
		})).To(BeEmpty())
		Expect(check.Claims([]check.ClaimOperation{
			timed(held("a"), 1, 2), timed(check.ClaimOperation{ID: "b", Repeated: true}, 3, 4), timed(outcome("a", claims.StateDone), 5, 6),
		})).NotTo(BeEmpty())
	})
})

var _ = Describe("the check of repeats", func() {
	answer := func(try, answered, body string) check.OrderTry {
		return check.OrderTry{Order: "o", Try: try, AnsweredTry: answered, Body: body}
	}

	DescribeTable("finds",
		func(name string, tries []check.OrderTry, executions map[string]int) {
			Expect(check.Repeats(tries, executions)).To(Equal(check.Violations{name: 1}))
		},
		Entry("an order that two tries executed", check.DoubleExecutions,
			[]check.OrderTry{{Order: "o", Try: "1"}, {Order: "o", Try: "2"}}, map[string]int{"1": 1, "2": 1}),
		Entry("a try that ran although it was refused as not run", check.FalseNotRun,
			[]check.OrderTry{{Order: "o", Try: "1", Executed: model.ExecutedNo}}, map[string]int{"1": 1}),
		Entry("an answer to another order", check.CrossedAnswers,
			[]check.OrderTry{answer("1", "other", "x")}, map[string]int{"other": 1}),
		Entry("an answer without an execution", check.LostAnswers,
			[]check.OrderTry{answer("1", "1", "x")}, map[string]int{}),
		Entry("a repeat with another answer", check.ChangedAnswers,
			[]check.OrderTry{answer("1", "1", "x"), answer("2", "1", "y")}, map[string]int{"1": 1}),
	)
})
