package questionnaire

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/lentilpoint/lentilpoint/model"
)

// Step is one service or organisation to create or change. Exactly one of the
// pointers is set.
type Step struct {
	Service      *model.Service
	Organisation *model.Organisation
	// New is set when the object does not exist yet. The caller adds an API key to a
	// new organisation.
	New bool
	// Lines describe the changed fields, one line each.
	Lines []string
}

// Target returns the kind and name of the object.
func (s Step) Target() string {
	if s.Service != nil {
		return "service " + string(s.Service.Name)
	}
	return "organisation " + string(s.Organisation.ID)
}

// Difference holds the steps from the configuration in force to a plan.
type Difference struct {
	Steps []Step
	// Notes describe what is in force and differs from the plan, but stays.
	Notes []string
}

// Compare returns the steps that put the plan in force. They keep the versions and
// API keys in force, and the objects that the plan does not contain.
func Compare(plan Plan, current *model.Configuration) Difference {
	var difference Difference
	planned := make(map[string]bool)
	for _, service := range plan.Services {
		planned["service "+string(service.Name)] = true
		difference.compareService(service, current)
	}
	for _, organisation := range plan.Organisations {
		planned["organisation "+string(organisation.ID)] = true
		difference.compareOrganisation(organisation, current)
	}
	difference.noteUnnamed(current, planned)
	return difference
}

func (d *Difference) compareService(planned model.Service, current *model.Configuration) {
	before, exists := current.Services[planned.Name]
	if exists {
		if !reflect.DeepEqual(before.Shares, planned.Shares) {
			d.Notes = append(d.Notes, fmt.Sprintf("service %s keeps the versions in force; change them with: lentilpoint moves start %s", planned.Name, planned.Name))
		}
		planned.Shares = before.Shares
	}
	changedFields := describeChangedFields(reflect.ValueOf(before), reflect.ValueOf(planned))
	if len(changedFields) > 0 || !exists {
		d.Steps = append(d.Steps, Step{Service: &planned, New: !exists, Lines: changedFields})
	}
}

func (d *Difference) compareOrganisation(planned model.Organisation, current *model.Configuration) {
	before, exists := current.Organisations[planned.ID]
	planned.KeySHA256 = before.KeySHA256
	changedFields := describeChangedFields(reflect.ValueOf(before), reflect.ValueOf(planned))
	if len(changedFields) > 0 || !exists {
		d.Steps = append(d.Steps, Step{Organisation: &planned, New: !exists, Lines: changedFields})
	}
}

// describeChangedFields returns a line for each field that differs, with its JSON
// name and both values.
func describeChangedFields(before, after reflect.Value) []string {
	var descriptions []string
	for i := range after.NumField() {
		old, planned := fmt.Sprint(before.Field(i).Interface()), fmt.Sprint(after.Field(i).Interface())
		if old == planned {
			continue
		}
		name, _, _ := strings.Cut(after.Type().Field(i).Tag.Get("json"), ",")
		if old == "" || old == "[]" {
			old = "none"
		}
		descriptions = append(descriptions, fmt.Sprintf("%s: %s -> %s", name, old, planned))
	}
	return descriptions
}

// noteUnnamed adds a note with the number of objects in force that are not in the
// plan. They stay, because other teams may share the entry hosts.
func (d *Difference) noteUnnamed(current *model.Configuration, planned map[string]bool) {
	services, organisations := 0, 0
	for name := range current.Services {
		if !planned["service "+string(name)] {
			services++
		}
	}
	for id := range current.Organisations {
		if !planned["organisation "+string(id)] {
			organisations++
		}
	}
	if services+organisations > 0 {
		d.Notes = append(d.Notes, fmt.Sprintf("%d services and %d organisations in force are not in the answers and stay", services, organisations))
	}
}
