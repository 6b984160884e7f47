package soak

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
)

// check compares what callers saw with what servers ran and returns the broken
// promises.
func check(outcomes []outcome, runs []standin.Run) []string {
	ran := map[string]int{}
	for _, run := range runs {
		ran[run.Request]++
	}
	var broken []string
	report := func(o outcome, text string) {
		broken = append(broken, fmt.Sprintf("%s: %s (status %d, ran %d times)", o.id, text, o.status, ran[o.id]))
	}
	for _, o := range outcomes {
		if o.kind == kindOrder && ran[o.id] > 1 {
			report(o, "an order ran more than once")
		}
		if (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests) && ran[o.id] > 0 && o.kind != kindCheck {
			report(o, "a refusal promised that nothing ran")
		}
		if o.status == http.StatusNotFound || o.status == http.StatusUnauthorized {
			report(o, "a proper request was denied")
		}
		if o.err != nil || o.status != http.StatusOK {
			continue
		}
		switch {
		case o.kind == kindStream && o.answer != streamFrom(o.body, o.after):
			report(o, fmt.Sprintf("a stream that looks complete has %d events", strings.Count(o.answer, "id: ")))
		case o.kind != kindStream && o.answer != "answer to "+o.body:
			report(o, fmt.Sprintf("a caller got another answer: %q", o.answer))
		case ran[o.id] == 0:
			report(o, "a success without a run")
		}
	}
	return broken
}
