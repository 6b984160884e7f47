package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/platform"
)

const (
	// crossingTime is how long after the last byte of a request a host may still close
	// its connection without having read the request. It is loss_slack_ms of the
	// installations.
	crossingTime = 200 * time.Millisecond
	// timeOver is the time after which the end of an answer may be its time-out: the
	// shortest time-out, less the margin by which hosts answer early.
	timeOver = minTimeoutMS*time.Millisecond - 100*time.Millisecond
	// lateSendTime is how long after a SIGTERM the host may still take requests that it
	// cuts off in the last sixth of its grace.
	lateSendTime = 3 * time.Second
	// lastSixth is the time from a SIGTERM to the last sixth of the grace.
	lastSixth = graceSeconds * time.Second * 5 / 6
)

// findViolations compares the outcomes of callers with the requests that servers ran
// and returns a line for each violated guarantee. It describes the lost requests that
// were excused, by excuse.
func findViolations(outcomes []outcome, runs []standin.Run, past *history) (violations []string, excused map[string][]string) {
	runCount := map[string]int{}
	excused = map[string][]string{}
	organisations, bodies := map[string]string{}, map[string]string{}
	for _, run := range runs {
		runCount[run.Request]++
		organisations[run.Request] = run.Header.Get(platform.HeaderOrganisation)
		bodies[run.Request] = run.Body
		if run.Header.Get(platform.HeaderKey) != "" {
			violations = append(violations, run.Request+": a server got the caller's key")
		}
	}
	for _, o := range outcomes {
		report := func(text string) {
			violations = append(violations, fmt.Sprintf("%s: %s (%s, ran %d times)", o.id, text, o, runCount[o.id]))
		}
		if o.kind == kindOrder && runCount[o.id] > 1 {
			report("an order ran more than once")
		}
		if (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests) && runCount[o.id] > 0 && o.kind != kindCheck && o.kind != kindExtra {
			report("a refusal promised that nothing ran")
		}
		if isDenial(o) {
			report("a proper request was denied")
		}
		if got, ran := organisations[o.id]; ran && o.kind != kindExtra && got != organisationByKey[o.key] && o.key != "" {
			report(fmt.Sprintf("a server got the organisation %q", got))
		}
		if got, ran := bodies[o.id]; ran && got != o.body {
			report(fmt.Sprintf("a server got the body %q", got))
		}
		violation, excuse := findLoss(o, runCount[o.id], past)
		if violation != "" {
			report(violation)
		}
		if excuse != "" {
			excused[excuse] = append(excused[excuse], fmt.Sprintf("%s (%s, ran %d times)", o.id, o, runCount[o.id]))
		}
		if o.ending != endedWhole || o.status != http.StatusOK {
			continue
		}
		switch {
		case o.kind == kindStream && o.answer != expectedStream(o.body, o.resumedAfter):
			report(fmt.Sprintf("a stream that looks complete has %d events", strings.Count(o.answer, "id: ")))
		case o.kind != kindStream && o.answer != "answer to "+o.body:
			report(fmt.Sprintf("a caller got another answer: %q", o.answer))
		case runCount[o.id] == 0:
			report("a success without a run")
		}
	}
	return violations, excused
}

// isDenial reports whether a request that all configurations allow was denied.
func isDenial(o outcome) bool {
	switch o.status {
	case http.StatusNotFound:
		return o.kind != kindExtra
	case http.StatusUnauthorized:
		return o.key != guestKey
	case http.StatusForbidden, http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return true
	}
	return false
}

// findLoss returns a violation if the request, which was sent completely, did not get a
// complete answer and no excuse of the guarantee LOST applies, or the excuse. The store's
// disturbances are no excuse, and neither is the silence of a server that goes on.
func findLoss(o outcome, runCount int, past *history) (violation, excuse string) {
	if o.ending != endedUnanswered && o.ending != endedCut || o.sentAt.IsZero() {
		return "", ""
	}
	if past.hostDisturbed(o) {
		return "", "unplanned disturbance of the host"
	}
	if o.ending == endedUnanswered && o.afterClose && runCount == 0 {
		return "", "sent behind an answer that announced the close or broke off"
	}
	stop := past.lastStop(o)
	stopping := !stop.IsZero() && o.endedAt.Sub(stop) <= (graceSeconds+1)*time.Second
	// Only a host that stops may close a connection that has served no request.
	if o.ending == endedUnanswered && (o.kept || stopping) && runCount == 0 && o.endedAt.Sub(o.sentAt) <= crossingTime {
		return "", "crossed the close of its connection"
	}
	if stopping && o.endedAt.Sub(stop) >= lastSixth && o.sentAt.Sub(stop) <= lateSendTime {
		return "", "in progress at the end of the grace"
	}
	if o.ending == endedUnanswered {
		return "a whole request ended without any answer", ""
	}
	if past.servicesDisturbed(o) {
		return "", "unplanned disturbance of its servers"
	}
	if o.endedAt.Sub(o.startedAt) >= timeOver {
		return "", "time over"
	}
	if stopping {
		return fmt.Sprintf("an answer was cut off %.2f s after a SIGTERM", o.endedAt.Sub(stop).Seconds()), ""
	}
	return "an answer was cut off though nothing but planned work or silence happened", ""
}

// String describes the request for a violation, so that its log lines can be found.
func (o outcome) String() string {
	const clock = "15:04:05.000"
	text := fmt.Sprintf("status %d, host edge-%d, connection %d", o.status, o.host, o.connection)
	for _, property := range []struct {
		set  bool
		name string
	}{{o.kept, "kept"}, {o.pipelined, "pipelined"}, {o.slow, "slow body"}, {o.afterClose, "after a close"}, {o.resumedAfter > 0, fmt.Sprintf("resumed after %d", o.resumedAfter)}} {
		if property.set {
			text += ", " + property.name
		}
	}
	text += ", started " + o.startedAt.UTC().Format(clock)
	if !o.sentAt.IsZero() {
		text += ", sent " + o.sentAt.UTC().Format(clock)
	}
	text += ", ended " + o.endedAt.UTC().Format(clock)
	if o.err != nil {
		text += ", " + o.err.Error()
	}
	return text
}

// endingName names how a request ended, for the findings.
func (o outcome) endingName() string {
	switch o.ending {
	case endedUnsent:
		return "not sent"
	case endedUnanswered:
		return "no answer"
	case endedCut:
		return "cut off"
	case endedLeft:
		return "caller left"
	}
	return fmt.Sprintf("status %d", o.status)
}
