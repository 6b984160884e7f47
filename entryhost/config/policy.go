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
	}
}

// Apply returns the configuration after the record. It returns the same
// configuration and false unless the record is the next one in order.
func Apply(current *model.Configuration, record RevisionRecord) (*model.Configuration, bool) {
	if record.Revision != current.Revision+1 {
		return current, false
	}
	next := &model.Configuration{
		Revision:      record.Revision,
		Services:      maps.Clone(current.Services),
		Organisations: maps.Clone(current.Organisations),
		Moves:         maps.Clone(current.Moves),
	}
	for _, change := range record.Changes {
		applyChange(next, change)
	}
	return next, true
}

func applyChange(next *model.Configuration, change Change) {
	switch {
	case change.PutService != nil:
		next.Services[change.PutService.Name] = *change.PutService
	case change.DeleteService != "":
		delete(next.Services, change.DeleteService)
	case change.PutOrganisation != nil:
		next.Organisations[change.PutOrganisation.ID] = *change.PutOrganisation
	case change.DeleteOrganisation != "":
		delete(next.Organisations, change.DeleteOrganisation)
	case change.PutMove != nil:
		next.Moves[change.PutMove.ID] = *change.PutMove
	}
}
