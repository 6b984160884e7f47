package check

import "github.com/lentilpoint/lentilpoint/model"

// OrderResult is what one caller learned about a non-idempotent order.
type OrderResult struct {
	Order string
	// Answered tells that the caller received the service's answer for Order;
	// AnsweredOrder is the order that the answer names.
	Answered      bool
	AnsweredOrder string
	// Executed is the claim of the last error, if there was one.
	Executed model.Executed
	// Tries is the number of times the caller sent the order, each refused as
	// not run except the last.
	Tries int
}

// Orders compares what callers learned with the number of executions of each order.
func Orders(results []OrderResult, executions map[string]int) Violations {
	violations := Violations{}
	for _, count := range executions {
		if count > 1 {
			violations[DoubleExecutions]++
		}
	}
	for _, result := range results {
		executed := executions[result.Order] > 0
		switch {
		case result.Answered && result.AnsweredOrder != result.Order:
			violations[CrossedAnswers]++
		case result.Answered && !executed:
			violations[LostAnswers]++
		case !result.Answered && result.Executed == model.ExecutedNo && executed:
			violations[FalseNotRun]++
		}
	}
	return violations
}

// Refusal is a generation that its caller sent once and that was refused as not run.
type Refusal struct {
	PromptHash uint64
	Seed       int64
}

// Refusals compares refusals as not run with the generations that engines ran.
func Refusals(refused []Refusal, ran map[Refusal]bool) Violations {
	violations := Violations{}
	for _, refusal := range refused {
		if ran[refusal] {
			violations[FalseNotRun]++
		}
	}
	return violations
}
