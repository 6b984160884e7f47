// Package eventcode defines the numbers, names and explanations of the log events
// of an entry host. The page docs/events.md is generated from it.
package eventcode

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
)

// Code is the stable number of an event. Each part of the entry host has its own
// range of numbers, which is stated above its constants.
type Code int

// Attr returns the log attribute "event" with the code.
func (c Code) Attr() slog.Attr { return slog.Int("event", int(c)) }

// Entry is one row of the catalogue.
type Entry struct {
	Code Code
	// Name is a short name in lower case.
	Name string
	// Meaning is one or more sentences that say what happened.
	Meaning string
	// Remedy says what an operator should do. It is "Nothing." if no action is needed.
	Remedy string
}

// Catalogue returns the entries of all events, sorted by code.
func Catalogue() []Entry {
	all := slices.Concat(rootEvents, platformEvents, backendEvents, requestEvents, atMostOnceEvents, recoveryEvents,
		configEvents, callerEvents, admissionEvents, peerEvents, controlEvents, operatorEvents, journalEvents, relayEvents)
	slices.SortFunc(all, func(a, b Entry) int { return int(a.Code - b.Code) })
	return all
}

// Name returns the name of the code, or the number as text if the code is not in
// the catalogue.
func Name(code Code) string {
	for _, entry := range Catalogue() {
		if entry.Code == code {
			return entry.Name
		}
	}
	return fmt.Sprint(int(code))
}

// Markdown returns the content of docs/events.md.
func Markdown() string {
	var page strings.Builder
	page.WriteString("# Log events\n\nEach log line of an entry host carries the number of its event in the field `event`.\n")
	page.WriteString("This page is generated from package `eventcode`; a test keeps them equal.\n\n")
	page.WriteString("| event | name | meaning | what to do |\n| --- | --- | --- | --- |\n")
	for _, entry := range Catalogue() {
		fmt.Fprintf(&page, "| %d | %s | %s | %s |\n", entry.Code, entry.Name, entry.Meaning, entry.Remedy)
	}
	return page.String()
}
