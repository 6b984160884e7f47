package config

import (
	"fmt"
	"maps"

	"github.com/lentilpoint/lentilpoint/model"
)

// RevisionKey returns the table key of a revision; keys sort by number.
func RevisionKey(revision model.Revision) string {
	return fmt.Sprintf("%s%012d", PrefixRevision, revision)
}

// Empty returns the configuration before the first revision.
func Empty() *model.Configuration {
	return &model.Configuration{
		Services:      map[model.ServiceName]model.Service{},
		Organisations: map[model.OrganisationID]model.Organisation{},
		Moves:         map[model.MoveID]model.Move{},
		Keys:          &model.KeyIndex{},
	}
}

// Apply returns the configuration after the record. It returns the same
// configuration and false unless the record is the next one in order.
func Apply(current *model.Configuration, record RevisionRecord) (*model.Configuration, bool) {
	next, applied := ApplyAll(current, []RevisionRecord{record})
	return next, applied == 1
}

// ApplyAll applies records that are in order. Records that are in force are
// skipped, and the first gap ends the application. It returns how many were
// applied. A map is copied once for all records, and only if one changes it.
func ApplyAll(current *model.Configuration, records []RevisionRecord) (*model.Configuration, int) {
	draft := newDraft(current)
	applied := 0
	for _, record := range records {
		if record.Revision <= draft.next.Revision {
			continue
		}
		if record.Revision != draft.next.Revision+1 {
			break
		}
		draft.apply(record)
		applied++
	}
	if applied == 0 {
		return current, 0
	}
	return draft.finish(), applied
}

// draft is a configuration being built. Its maps are those of the base until
// the first change.
type draft struct {
	next                                          *model.Configuration
	keys                                          *model.KeyIndexEditor
	servicesOwned, organisationsOwned, movesOwned bool
}

func newDraft(base *model.Configuration) *draft {
	next := *base
	return &draft{next: &next}
}

func (d *draft) finish() *model.Configuration {
	if d.keys != nil {
		d.next.Keys = d.keys.Index()
	}
	return d.next
}

func (d *draft) apply(record RevisionRecord) {
	for _, change := range record.Changes {
		d.change(change)
	}
	d.next.Revision = record.Revision
}

func (d *draft) change(change Change) {
	switch {
	case change.PutService != nil:
		d.services()[change.PutService.Name] = *change.PutService
	case change.DeleteService != "":
		delete(d.services(), change.DeleteService)
	case change.PutOrganisation != nil:
		d.removeOrganisation(change.PutOrganisation.ID)
		d.next.Organisations[change.PutOrganisation.ID] = *change.PutOrganisation
		d.keys.Add(*change.PutOrganisation)
	case change.DeleteOrganisation != "":
		d.removeOrganisation(change.DeleteOrganisation)
	case change.PutMove != nil:
		d.moves()[change.PutMove.ID] = *change.PutMove
	}
}

func (d *draft) services() map[model.ServiceName]model.Service {
	if !d.servicesOwned {
		d.servicesOwned = true
		d.next.Services = maps.Clone(d.next.Services)
	}
	return d.next.Services
}

func (d *draft) moves() map[model.MoveID]model.Move {
	if !d.movesOwned {
		d.movesOwned = true
		d.next.Moves = maps.Clone(d.next.Moves)
	}
	return d.next.Moves
}

func (d *draft) removeOrganisation(id model.OrganisationID) {
	if !d.organisationsOwned {
		d.organisationsOwned = true
		d.next.Organisations = maps.Clone(d.next.Organisations)
		if d.next.Keys == nil {
			d.next.Keys = model.NewKeyIndex(d.next.Organisations)
		}
		d.keys = d.next.Keys.Edit()
	}
	d.keys.Remove(d.next.Organisations[id])
	delete(d.next.Organisations, id)
}
