package config

import (
	"fmt"
	"strings"

	"github.com/lentilpoint/lentilpoint/model"
)

// fields counts the fields that are set.
func (c Change) fields() int {
	count := 0
	for _, set := range []bool{
		c.PutService != nil, c.DeleteService != "", c.PutOrganisation != nil, c.DeleteOrganisation != "", c.PutMove != nil,
	} {
		if set {
			count++
		}
	}
	return count
}

// Target names the object that the change is about.
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

// String describes the change in a few words.
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

// describeLimit bounds the changes that a summary names.
const describeLimit = 5

// Describe summarises the changes of a revision in one line.
func Describe(changes []Change) string {
	words := make([]string, 0, describeLimit+1)
	for i, change := range changes {
		if i == describeLimit {
			words = append(words, fmt.Sprintf("and %d more", len(changes)-describeLimit))
			break
		}
		words = append(words, change.String())
	}
	return strings.Join(words, ", ")
}

// Difference is one object that the changes add, change or remove.
type Difference struct {
	Target string `json:"target"`
	Before any    `json:"before,omitempty"`
	After  any    `json:"after,omitempty"`
}

// Differences compares the configuration with what the changes make of it.
func Differences(current *model.Configuration, changes []Change) []Difference {
	next := preview(current, changes)
	differences := make([]Difference, 0, len(changes))
	for _, change := range changes {
		difference := Difference{Target: change.Target(), Before: lookup(current, change), After: lookup(next, change)}
		differences = append(differences, difference)
	}
	return differences
}

// lookup returns the object that a change is about, or nil.
func lookup(configuration *model.Configuration, change Change) any {
	switch {
	case change.PutService != nil:
		return found(configuration.Services, change.PutService.Name)
	case change.DeleteService != "":
		return found(configuration.Services, change.DeleteService)
	case change.PutOrganisation != nil:
		return found(configuration.Organisations, change.PutOrganisation.ID)
	case change.DeleteOrganisation != "":
		return found(configuration.Organisations, change.DeleteOrganisation)
	case change.PutMove != nil:
		return found(configuration.Moves, change.PutMove.ID)
	default:
		return nil
	}
}

func found[K comparable, V any](values map[K]V, key K) any {
	if value, ok := values[key]; ok {
		return value
	}
	return nil
}
