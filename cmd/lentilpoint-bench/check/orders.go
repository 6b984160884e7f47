package check

import "github.com/lentilpoint/lentilpoint/model"

// OrderResult is the result of a non-idempotent order as its caller observed it.
type OrderResult struct {
	Order string
	// Answered is true if the caller received an answer of the service.
	Answered bool
	// AnsweredOrder is the order that the answer names.
	AnsweredOrder string
	// Executed is what the errors reported about the execution. After several
	// tries it is model.ExecutedNo only if each was refused as not run. It is
	// meaningful only if Answered is false.
	Executed model.Executed
	// Tries is the number of times the caller sent the order.
	Tries int
}

// Orders compares the callers' results with the number of executions of each order.
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

// Refusal identifies a generation that its caller sent once and that was refused
// as not run.
type Refusal struct {
	PromptHash uint64
	Seed       int64
}

// Refusals compares the refused generations with those that engines ran.
func Refusals(refused []Refusal, ran map[Refusal]bool) Violations {
	violations := Violations{}
	for _, refusal := range refused {
		if ran[refusal] {
			violations[FalseNotRun]++
		}
	}
	return violations
}
