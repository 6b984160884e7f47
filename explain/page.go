package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
)

// Subject is the kind of object that a page explains.
type Subject string

// The kinds of objects that have a page.
const (
	SubjectRequest      Subject = "request"
	SubjectMove         Subject = "move"
	SubjectOrganisation Subject = "organisation"
)

// Input is the data that a page is built from.
type Input struct {
	Subject Subject
	// ID is the id of the request, move or organisation.
	ID string
	// Events are the events of the object, in any order.
	Events []events.Event
	// Unanswered lists the hosts whose events are missing.
	Unanswered []model.HostID
	// Move is the move from the configuration, or nil if the subject is not a move
	// or the configuration does not contain it.
	Move *model.Move
}

// Page is an explanation, divided into parts that any front end can render.
type Page struct {
	Title string `json:"title"`
	// Happened summarises what happened and how it ended.
	Happened []string `json:"happened"`
	// Why lists the distinct causes in the order of their first occurrence.
	Why []string `json:"why"`
	// Did lists what the system did, oldest first.
	Did []Step `json:"did"`
	// Do lists what a person should do. The remedies of newer events come first.
	Do []string `json:"do"`
	// Missing lists the data that was not available for the page.
	Missing []string `json:"missing,omitempty"`
}

// Step is one event, or several consecutive events with the same host and text.
type Step struct {
	At time.Time `json:"at"`
	// Offset is the time since the first event.
	Offset time.Duration  `json:"offset"`
	Host   model.HostID   `json:"host"`
	Code   eventcode.Code `json:"code"`
	Name   string         `json:"name"`
	Text   string         `json:"text"`
	// Count is the number of events in the step.
	Count int `json:"count"`
}

// noActionRemedy is the remedy of catalogue entries that need no action.
const noActionRemedy = "Nothing."

// Build returns the page of the input.
func Build(input Input) Page {
	page := Page{Title: fmt.Sprintf("What happened to %s %s", input.Subject, input.ID)}
	ordered := slices.Clone(input.Events)
	slices.SortStableFunc(ordered, func(a, b events.Event) int { return a.At.Compare(b.At) })
	catalogue := catalogueByCode()
	page.Happened = summarise(input, ordered, catalogue)
	page.Why = distinctCauses(input, ordered)
	page.Did = stepsOf(ordered, catalogue)
	page.Do = remedies(input, ordered, catalogue)
	if len(input.Unanswered) > 0 {
		page.Missing = append(page.Missing, fmt.Sprintf("%d entry hosts did not answer, so their events are missing: %s", len(input.Unanswered), joinHosts(input.Unanswered)))
	}
	return page
}

func catalogueByCode() map[eventcode.Code]eventcode.Entry {
	entries := make(map[eventcode.Code]eventcode.Entry)
	for _, entry := range eventcode.Catalogue() {
		entries[entry.Code] = entry
	}
	return entries
}

// summarise summarises the move, if there is one, and the events.
func summarise(input Input, ordered []events.Event, catalogue map[eventcode.Code]eventcode.Entry) []string {
	var lines []string
	if input.Move != nil {
		lines = append(lines, describeMove(*input.Move))
	}
	if len(ordered) == 0 {
		return append(lines, "No event names this "+string(input.Subject)+".")
	}
	first, last := ordered[0], ordered[len(ordered)-1]
	lines = append(lines, fmt.Sprintf("%s on %s between %s and %s (%s).", pluralise(len(ordered), "event"), joinHosts(hostsOf(ordered)),
		formatTime(first.At), formatTime(last.At), formatDuration(last.At.Sub(first.At))))
	if affected := describeAffected(ordered); affected != "" {
		lines = append(lines, affected)
	}
	return append(lines, "The last event: "+describeEvent(last, catalogue[last.Code]))
}

func describeMove(move model.Move) string {
	state := map[model.MoveState]string{
		model.MoveRunning:   "is running, with deadline " + formatTime(move.Deadline),
		model.MoveDone:      "is done",
		model.MoveWithdrawn: "was withdrawn",
	}[move.State]
	line := fmt.Sprintf("The move of service %s from version %s to %s %s", move.Service, move.From, move.To, state)
	if move.Reason != "" {
		line += ": " + move.Reason
	}
	return line + "."
}

// describeAffected returns a sentence with the organisations, services,
// versions and servers that the events name, or an empty string if they name
// none.
func describeAffected(ordered []events.Event) string {
	var parts []string
	add := func(kind string, name func(events.Event) string) {
		var names []string
		for _, event := range ordered {
			if text := name(event); text != "" && !slices.Contains(names, text) {
				names = append(names, text)
			}
		}
		if len(names) > 0 {
			parts = append(parts, kind+" "+strings.Join(names, ", "))
		}
	}
	add("organisation", func(e events.Event) string { return string(e.Organisation) })
	add("service", func(e events.Event) string { return string(e.Service) })
	add("version", func(e events.Event) string { return string(e.Version) })
	add("server", func(e events.Event) string { return string(e.Server) })
	if len(parts) == 0 {
		return ""
	}
	return "It concerns " + strings.Join(parts, "; ") + "."
}

// distinctCauses returns the distinct causes, each with its number of occurrences
// if that is more than 1. Without any cause in the events it returns the reason of
// the move.
func distinctCauses(input Input, ordered []events.Event) []string {
	counts := make(map[string]int)
	var causes []string
	for _, event := range ordered {
		if event.Cause == "" {
			continue
		}
		if counts[event.Cause] == 0 {
			causes = append(causes, event.Cause)
		}
		counts[event.Cause]++
	}
	if len(causes) == 0 && input.Move != nil && input.Move.Reason != "" {
		return []string{input.Move.Reason}
	}
	if len(causes) == 0 {
		return []string{"No event names a cause."}
	}
	for i, cause := range causes {
		if counts[cause] > 1 {
			causes[i] = fmt.Sprintf("%s (%d times)", cause, counts[cause])
		}
	}
	return causes
}

// stepsOf returns the events as steps. Consecutive events with the same host
// and text become one step with a count.
func stepsOf(ordered []events.Event, catalogue map[eventcode.Code]eventcode.Entry) []Step {
	var steps []Step
	for _, event := range ordered {
		entry := catalogue[event.Code]
		text := describeEvent(event, entry)
		if n := len(steps); n > 0 && steps[n-1].Text == text && steps[n-1].Host == event.Host {
			steps[n-1].Count++
			continue
		}
		name := entry.Name
		if name == "" {
			name = fmt.Sprintf("event %d", event.Code)
		}
		steps = append(steps, Step{
			At: event.At, Offset: event.At.Sub(ordered[0].At), Host: event.Host, Code: event.Code, Name: name, Text: text, Count: 1,
		})
	}
	return steps
}

// remedies returns the distinct remedies of the events. Those of newer events come
// first. Without any it says that nothing is to be done, or what to check.
func remedies(input Input, ordered []events.Event, catalogue map[eventcode.Code]eventcode.Entry) []string {
	var lines []string
	for _, event := range slices.Backward(ordered) {
		remedy := catalogue[event.Code].Remedy
		if remedy != "" && remedy != noActionRemedy && !slices.Contains(lines, remedy) {
			lines = append(lines, remedy)
		}
	}
	switch {
	case len(lines) > 0:
		return lines
	case len(ordered) > 0:
		return []string{"Nothing: the system has handled it."}
	case input.Move != nil:
		return []string{"Nothing; look again when the move has ended."}
	}
	return []string{
		"Check the " + string(input.Subject) + " id.",
		"If it is right, nothing went wrong with it, or it is older than the events that entry hosts keep.",
	}
}

// describeEvent describes an event for a reader who does not know the code.
func describeEvent(event events.Event, entry eventcode.Entry) string {
	text := entry.Meaning
	if text == "" {
		text = fmt.Sprintf("Event %d, which this version of the command does not know.", event.Code)
	}
	var details []string
	detail := func(format string, value any, present bool) {
		if present {
			details = append(details, fmt.Sprintf(format, value))
		}
	}
	detail("server %s", event.Server, event.Server != "")
	detail("version %s", event.Version, event.Version != "")
	detail("attempt %d", event.Attempt, event.Attempt > 0)
	detail("%d tokens", event.Tokens, event.Tokens > 0)
	detail("reason %s", event.Reason, event.Reason != "")
	if len(details) > 0 {
		text += " (" + strings.Join(details, ", ") + ")"
	}
	if event.Cause != "" {
		text += " Cause: " + event.Cause
	}
	return text
}

// hostsOf returns the distinct hosts of the events, sorted by id.
func hostsOf(ordered []events.Event) []model.HostID {
	var hosts []model.HostID
	for _, event := range ordered {
		if !slices.Contains(hosts, event.Host) {
			hosts = append(hosts, event.Host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

func joinHosts(hosts []model.HostID) string {
	names := make([]string, len(hosts))
	for i, host := range hosts {
		names[i] = string(host)
	}
	return strings.Join(names, ", ")
}

func pluralise(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

func formatTime(at time.Time) string { return at.UTC().Format("2006-01-02 15:04:05.000 UTC") }

func formatDuration(length time.Duration) string { return length.Round(time.Millisecond).String() }
