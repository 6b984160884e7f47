package soak

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
)

// findViolations compares the outcomes of callers with the requests that servers ran
// and returns a line for each violated guarantee.
func findViolations(outcomes []outcome, runs []standin.Run) []string {
	runCount := map[string]int{}
	for _, run := range runs {
		runCount[run.Request]++
	}
	var violations []string
	report := func(o outcome, text string) {
		violations = append(violations, fmt.Sprintf("%s: %s (status %d, ran %d times)", o.id, text, o.status, runCount[o.id]))
	}
	for _, o := range outcomes {
		if o.kind == kindOrder && runCount[o.id] > 1 {
			report(o, "an order ran more than once")
		}
		if (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests) && runCount[o.id] > 0 && o.kind != kindCheck {
			report(o, "a refusal promised that nothing ran")
		}
		if o.status == http.StatusNotFound || o.status == http.StatusUnauthorized {
			report(o, "a proper request was denied")
		}
		if o.err != nil || o.status != http.StatusOK {
			continue
		}
		switch {
		case o.kind == kindStream && o.answer != expectedStream(o.body, o.resumedAfter):
			report(o, fmt.Sprintf("a stream that looks complete has %d events", strings.Count(o.answer, "id: ")))
		case o.kind != kindStream && o.answer != "answer to "+o.body:
			report(o, fmt.Sprintf("a caller got another answer: %q", o.answer))
		case runCount[o.id] == 0:
			report(o, "a success without a run")
		}
	}
	return violations
}
