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

// Subject is what a page is about.
type Subject string

// The subjects.
const (
	SubjectRequest      Subject = "request"
	SubjectMove         Subject = "move"
	SubjectOrganisation Subject = "organisation"
)

// Input is what a page is built from.
type Input struct {
	Subject Subject
	ID      string
	Events  []events.Event
	// Unanswered lists the hosts whose events are missing.
	Unanswered []model.HostID
	// Move is the move in the configuration, if the subject is one.
	Move *model.Move
}

// Page is an explanation in parts that any front end can show.
type Page struct {
	Title string `json:"title"`
	// Happened says what happened and how it ended.
	Happened []string `json:"happened"`
	// Why lists the causes in the order of their first appearance.
	Why []string `json:"why"`
	// Did lists what the system did.
	Did []Step `json:"did"`
	// Do lists what a person should do.
	Do []string `json:"do"`
	// Missing names what the page could not take into account.
	Missing []string `json:"missing,omitempty"`
}

// Step is one event, or several equal ones in a row.
type Step struct {
	At time.Time `json:"at"`
	// Offset is the time since the first event.
	Offset time.Duration  `json:"offset"`
	Host   model.HostID   `json:"host"`
	Code   eventcode.Code `json:"code"`
	Name   string         `json:"name"`
	Text   string         `json:"text"`
	Count  int            `json:"count"`
}

// nothingToDo is the remedy of events that need no action.
const nothingToDo = "Nothing."

// Build returns the page of the input.
func Build(input Input) Page {
	page := Page{Title: fmt.Sprintf("What happened to %s %s", input.Subject, input.ID)}
	ordered := slices.Clone(input.Events)
	slices.SortStableFunc(ordered, func(a, b events.Event) int { return a.At.Compare(b.At) })
	catalogue := catalogueByCode()
	page.Happened = happened(input, ordered, catalogue)
	page.Why = why(input, ordered)
	page.Did = did(ordered, catalogue)
	page.Do = remedies(input, ordered, catalogue)
	if len(input.Unanswered) > 0 {
		page.Missing = append(page.Missing, fmt.Sprintf("%d entry hosts did not answer, so their events are missing: %s", len(input.Unanswered), join(input.Unanswered)))
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

func happened(input Input, ordered []events.Event, catalogue map[eventcode.Code]eventcode.Entry) []string {
	var lines []string
	if input.Move != nil {
		lines = append(lines, describeMove(*input.Move))
	}
	if len(ordered) == 0 {
		return append(lines, "No event names this "+string(input.Subject)+".")
	}
	first, last := ordered[0], ordered[len(ordered)-1]
	lines = append(lines, fmt.Sprintf("%s on %s between %s and %s (%s).", counted(len(ordered), "event"), join(hostsOf(ordered)),
		clock(first.At), clock(last.At), span(last.At.Sub(first.At))))
	if affected := affectedBy(ordered); affected != "" {
		lines = append(lines, affected)
	}
	return append(lines, "The last event: "+sentence(last, catalogue[last.Code]))
}

func describeMove(move model.Move) string {
	state := map[model.MoveState]string{
		model.MoveRunning:   "is running, with deadline " + clock(move.Deadline),
		model.MoveDone:      "is done",
		model.MoveWithdrawn: "was withdrawn",
	}[move.State]
	line := fmt.Sprintf("The move of service %s from version %s to %s %s", move.Service, move.From, move.To, state)
	if move.Reason != "" {
		line += ": " + move.Reason
	}
	return line + "."
}

// affectedBy names the services, servers and versions that the events name.
func affectedBy(ordered []events.Event) string {
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

// why lists the distinct causes with how often they appear.
func why(input Input, ordered []events.Event) []string {
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

// did lists the events; equal ones in a row become one step with a count.
func did(ordered []events.Event, catalogue map[eventcode.Code]eventcode.Entry) []Step {
	var steps []Step
	for _, event := range ordered {
		entry := catalogue[event.Code]
		text := sentence(event, entry)
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

// remedies lists what to do, without repetition, the latest need first.
func remedies(input Input, ordered []events.Event, catalogue map[eventcode.Code]eventcode.Entry) []string {
	var lines []string
	for _, event := range slices.Backward(ordered) {
		remedy := catalogue[event.Code].Remedy
		if remedy != "" && remedy != nothingToDo && !slices.Contains(lines, remedy) {
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

// sentence describes one event for a reader who does not know the code.
func sentence(event events.Event, entry eventcode.Entry) string {
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

func join(hosts []model.HostID) string {
	names := make([]string, len(hosts))
	for i, host := range hosts {
		names[i] = string(host)
	}
	return strings.Join(names, ", ")
}

func counted(n int, word string) string {
	if n == 1 {
		return "1 " + word
	}
	return fmt.Sprintf("%d %ss", n, word)
}

func clock(at time.Time) string { return at.UTC().Format("2006-01-02 15:04:05.000 UTC") }

func span(length time.Duration) string { return length.Round(time.Millisecond).String() }
