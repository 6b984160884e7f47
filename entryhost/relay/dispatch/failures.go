package dispatch

import (
	"maps"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/loads"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

const (
	// failureLifetime is how long a failed attempt counts against an engine at the other
	// hosts. An engine that fails each request at once is idle, so that each host would
	// choose it once for itself; one that fails some requests serves others meanwhile.
	failureLifetime = 2 * time.Second
	// misdirectedFailures is the number of failures for which an answer of another process
	// counts: the engine of the registration is gone, and its successor has another id.
	misdirectedFailures = 3
)

// recentFailures are this host's failed attempts on an engine since the last one that it
// answered.
type recentFailures struct {
	count  int
	lastAt time.Time
}

// add returns the failures after an attempt. Attempts that found no server say nothing more
// than its pause does.
func (f recentFailures) add(outcome Outcome, now time.Time) recentFailures {
	switch outcome {
	case OutcomeSuccess:
		return recentFailures{}
	case OutcomeFailed:
		return recentFailures{count: f.current(now) + 1, lastAt: now}
	case OutcomeMisdirected:
		return recentFailures{count: f.current(now) + misdirectedFailures, lastAt: now}
	}
	return f
}

// current returns the number of failures that count now.
func (f recentFailures) current(now time.Time) int {
	if now.Sub(f.lastAt) >= failureLifetime {
		return 0
	}
	return f.count
}

// recordFailure notes the outcome of an attempt on an engine for the next report, so that
// other hosts do not learn of each failing engine by a request of their own.
func (t *Task) recordFailure(server *routing.Server, outcome Outcome) {
	if !t.sharesLoads(server.Service) {
		return
	}
	now := t.Clock.Now()
	failures := t.failures[server.ID].add(outcome, now)
	if failures.current(now) == 0 {
		delete(t.failures, server.ID)
		return
	}
	t.failures[server.ID] = failures
}

// reportFailures adds the recent failures on the engines of a data centre to a report.
func (t *Task) reportFailures(report *loads.HostLoads) {
	now := t.Clock.Now()
	maps.DeleteFunc(t.failures, func(_ string, failures recentFailures) bool { return failures.current(now) == 0 })
	for id, failures := range t.failures {
		if state, found := t.servers[id]; found && state.server.DataCentre == report.DataCentre {
			load := report.Servers[id]
			load.Failed = failures.count
			report.Servers[id] = load
		}
	}
}
