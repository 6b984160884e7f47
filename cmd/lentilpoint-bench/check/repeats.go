package check

import "github.com/lentilpoint/lentilpoint/model"

// OrderTry is one of several requests of a caller for the same order. Each try
// has its own name, so that executions are counted by try.
type OrderTry struct {
	Order string
	Try   string
	// AnsweredTry is the try that the answer names; empty without an answer.
	AnsweredTry string
	// Body is the body of the answer.
	Body string
	// Executed is what the error reported about the execution.
	Executed model.Executed
}

// Repeats checks the tries of all orders against the executions of each try.
// All answers of one order must be equal.
func Repeats(tries []OrderTry, executions map[string]int) Violations {
	violations := Violations{}
	orders := make(map[string]string)
	perOrder := make(map[string]int)
	answers := make(map[string]string)
	for _, try := range tries {
		orders[try.Try] = try.Order
		perOrder[try.Order] += executions[try.Try]
	}
	for _, count := range perOrder {
		if count > 1 {
			violations[DoubleExecutions]++
		}
	}
	for _, try := range tries {
		violations.checkTry(try, orders, executions, answers)
	}
	return violations
}

func (v Violations) checkTry(try OrderTry, orders map[string]string, executions map[string]int, answers map[string]string) {
	if try.AnsweredTry == "" {
		if try.Executed == model.ExecutedNo && executions[try.Try] > 0 {
			v[FalseNotRun]++
		}
		return
	}
	switch {
	case orders[try.AnsweredTry] != try.Order:
		v[CrossedAnswers]++
	case executions[try.AnsweredTry] == 0:
		v[LostAnswers]++
	case answers[try.Order] != "" && answers[try.Order] != try.Body:
		v[ChangedAnswers]++
	}
	answers[try.Order] = try.Body
}
