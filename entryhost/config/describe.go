package config

import (
	"fmt"
	"strings"

	"github.com/lentilpoint/lentilpoint/model"
)

// fieldCount returns the number of fields that are set.
func (c Change) fieldCount() int {
	count := 0
	for _, isSet := range []bool{
		c.PutService != nil, c.DeleteService != "", c.PutOrganisation != nil, c.DeleteOrganisation != "", c.PutMove != nil,
	} {
		if isSet {
			count++
		}
	}
	return count
}

// Target returns the kind and name of the object that the change puts or deletes.
func (c Change) Target() string {
	switch {
	case c.PutService != nil:
		return "service " + string(c.PutService.Name)
	case c.DeleteService != "":
		return "service " + string(c.DeleteService)
	case c.PutOrganisation != nil:
		return "organisation " + string(c.PutOrganisation.ID)
	case c.DeleteOrganisation != "":
		return "organisation " + string(c.DeleteOrganisation)
	case c.PutMove != nil:
		return "move " + string(c.PutMove.ID)
	default:
		return "nothing"
	}
}

// String returns the operation and the target, such as "put service advisor".
func (c Change) String() string {
	verb := "put "
	if c.DeleteService != "" || c.DeleteOrganisation != "" {
		verb = "delete "
	}
	if c.PutMove != nil {
		verb = string(c.PutMove.State) + " "
	}
	return verb + c.Target()
}

// maxDescribedChanges bounds the changes that a summary lists.
const maxDescribedChanges = 5

// Describe summarises the changes of a revision in one line.
func Describe(changes []Change) string {
	summaries := make([]string, 0, maxDescribedChanges+1)
	for i, change := range changes {
		if i == maxDescribedChanges {
			summaries = append(summaries, fmt.Sprintf("and %d more", len(changes)-maxDescribedChanges))
			break
		}
		summaries = append(summaries, change.String())
	}
	return strings.Join(summaries, ", ")
}

// Difference is one object that the changes add, change or remove. Before is nil
// for an added object, and After for a removed one.
type Difference struct {
	Target string `json:"target"`
	Before any    `json:"before,omitempty"`
	After  any    `json:"after,omitempty"`
}

// Differences compares the configuration before and after the changes.
func Differences(current *model.Configuration, changes []Change) []Difference {
	next := preview(current, changes)
	differences := make([]Difference, 0, len(changes))
	for _, change := range changes {
		difference := Difference{Target: change.Target(), Before: lookup(current, change), After: lookup(next, change)}
		differences = append(differences, difference)
	}
	return differences
}

// lookup returns the target of a change in the configuration, or nil.
func lookup(configuration *model.Configuration, change Change) any {
	switch {
	case change.PutService != nil:
		return valueOrNil(configuration.Services, change.PutService.Name)
	case change.DeleteService != "":
		return valueOrNil(configuration.Services, change.DeleteService)
	case change.PutOrganisation != nil:
		return valueOrNil(configuration.Organisations, change.PutOrganisation.ID)
	case change.DeleteOrganisation != "":
		return valueOrNil(configuration.Organisations, change.DeleteOrganisation)
	case change.PutMove != nil:
		return valueOrNil(configuration.Moves, change.PutMove.ID)
	default:
		return nil
	}
}

func valueOrNil[K comparable, V any](values map[K]V, key K) any {
	if value, ok := values[key]; ok {
		return value
	}
	return nil
}
