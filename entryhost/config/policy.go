package config

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

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
// skipped. The first gap ends the application, and so does a record with a
// change that this version does not know: applying the rest of it would make
// hosts of different versions differ. It returns how many were applied. A map is copied once for all records, and only if one changes it.
func ApplyAll(current *model.Configuration, records []RevisionRecord) (*model.Configuration, int) {
	draft := newDraft(current)
	applied := 0
	for _, record := range records {
		if record.Revision <= draft.next.Revision {
			continue
		}
		if record.Revision != draft.next.Revision+1 || !known(record) {
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

// known reports whether this version knows every change of the record.
func known(record RevisionRecord) bool {
	return !slices.ContainsFunc(record.Changes, func(change Change) bool { return change.fields() != 1 })
}

// preview returns the configuration after changes that may be invalid.
func preview(current *model.Configuration, changes []Change) *model.Configuration {
	draft := newDraft(current)
	draft.apply(RevisionRecord{Revision: current.Revision + 1, Changes: changes})
	return draft.finish()
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
		d.dropOldMoves(change.PutMove.Service)
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

// keptMoves is the number of ended moves that a configuration keeps for each
// service. Without a bound every revision and snapshot would grow with the
// number of moves that ever ran.
const keptMoves = 20

// dropOldMoves removes the oldest ended moves of a service beyond keptMoves. It
// depends on nothing but the records, so all hosts drop the same ones.
func (d *draft) dropOldMoves(service model.ServiceName) {
	var ended []model.Move
	for _, move := range d.next.Moves {
		if move.Service == service && move.State != model.MoveRunning {
			ended = append(ended, move)
		}
	}
	if len(ended) <= keptMoves {
		return
	}
	slices.SortFunc(ended, func(a, b model.Move) int {
		return cmp.Or(a.Started.Compare(b.Started), cmp.Compare(a.ID, b.ID))
	})
	for _, move := range ended[:len(ended)-keptMoves] {
		delete(d.next.Moves, move.ID)
	}
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
