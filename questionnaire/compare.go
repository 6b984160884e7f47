package questionnaire

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/lentilpoint/lentilpoint/model"
)

// Step is one object to put in force. Exactly one of the pointers is set.
type Step struct {
	Service      *model.Service
	Organisation *model.Organisation
	// New tells that the object does not exist yet. A new organisation needs
	// an API key.
	New bool
	// Lines describe what changes.
	Lines []string
}

// Target names the object of the step.
func (s Step) Target() string {
	if s.Service != nil {
		return "service " + string(s.Service.Name)
	}
	return "organisation " + string(s.Organisation.ID)
}

// Difference is what separates the configuration in force from a plan.
type Difference struct {
	Steps []Step
	// Notes are about what the plan leaves alone.
	Notes []string
}

// Compare returns what must change to reach the plan. Versions and API keys in
// force stay; objects that the answers do not name stay too.
func Compare(plan Plan, current *model.Configuration) Difference {
	var difference Difference
	named := make(map[string]bool)
	for _, service := range plan.Services {
		named["service "+string(service.Name)] = true
		difference.service(service, current)
	}
	for _, organisation := range plan.Organisations {
		named["organisation "+string(organisation.ID)] = true
		difference.organisation(organisation, current)
	}
	difference.unnamed(current, named)
	return difference
}

func (d *Difference) service(planned model.Service, current *model.Configuration) {
	before, exists := current.Services[planned.Name]
	if exists {
		if !reflect.DeepEqual(before.Shares, planned.Shares) {
			d.Notes = append(d.Notes, fmt.Sprintf("service %s keeps the versions in force; change them with: lentilpoint moves start %s", planned.Name, planned.Name))
		}
		planned.Shares = before.Shares
	}
	lines := lines(reflect.ValueOf(before), reflect.ValueOf(planned))
	if len(lines) > 0 || !exists {
		d.Steps = append(d.Steps, Step{Service: &planned, New: !exists, Lines: lines})
	}
}

func (d *Difference) organisation(planned model.Organisation, current *model.Configuration) {
	before, exists := current.Organisations[planned.ID]
	planned.KeySHA256 = before.KeySHA256
	lines := lines(reflect.ValueOf(before), reflect.ValueOf(planned))
	if len(lines) > 0 || !exists {
		d.Steps = append(d.Steps, Step{Organisation: &planned, New: !exists, Lines: lines})
	}
}

// lines describes the fields that differ by their JSON names.
func lines(before, after reflect.Value) []string {
	var lines []string
	for i := range after.NumField() {
		old, planned := fmt.Sprint(before.Field(i).Interface()), fmt.Sprint(after.Field(i).Interface())
		if old == planned {
			continue
		}
		name, _, _ := strings.Cut(after.Type().Field(i).Tag.Get("json"), ",")
		if old == "" || old == "[]" {
			old = "none"
		}
		lines = append(lines, fmt.Sprintf("%s: %s -> %s", name, old, planned))
	}
	return lines
}

// unnamed notes what is in force and not in the answers. It stays, because
// other teams may share the entry hosts.
func (d *Difference) unnamed(current *model.Configuration, named map[string]bool) {
	services, organisations := 0, 0
	for name := range current.Services {
		if !named["service "+string(name)] {
			services++
		}
	}
	for id := range current.Organisations {
		if !named["organisation "+string(id)] {
			organisations++
		}
	}
	if services+organisations > 0 {
		d.Notes = append(d.Notes, fmt.Sprintf("%d services and %d organisations in force are not in the answers and stay", services, organisations))
	}
}
