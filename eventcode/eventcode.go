// Package eventcode numbers the log events of an entry host. The catalogue in
// docs/events.md is generated from it.
package eventcode

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
)

// Code is the stable number of an event. The hundreds name the part of the
// entry host that writes it.
type Code int

// Attr returns the attribute that carries the code in a log line.
func (c Code) Attr() slog.Attr { return slog.Int("event", int(c)) }

// Entry is one row of the catalogue.
type Entry struct {
	Code Code
	// Name is a short name in lower case.
	Name string
	// Meaning says what happened.
	Meaning string
	// Remedy says what an operator should do.
	Remedy string
}

// Catalogue returns all events in order of their codes.
func Catalogue() []Entry {
	all := slices.Concat(rootEvents, platformEvents, backendEvents, requestEvents, atMostOnceEvents, recoveryEvents,
		configEvents, callerEvents, admissionEvents, peerEvents, controlEvents, operatorEvents, journalEvents, relayEvents)
	slices.SortFunc(all, func(a, b Entry) int { return int(a.Code - b.Code) })
	return all
}

// Name returns the name of a code, or its number if it is not in the catalogue.
func Name(code Code) string {
	for _, entry := range Catalogue() {
		if entry.Code == code {
			return entry.Name
		}
	}
	return fmt.Sprint(int(code))
}

// Markdown returns the text of docs/events.md.
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
