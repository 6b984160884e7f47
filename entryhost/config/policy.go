package config

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/lentilpoint/lentilpoint/model"
)

// RevisionKey returns the table key of a revision. Keys sort by revision.
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

// Apply returns the configuration after the record. It returns current and false
// unless the record is the next revision and this version knows all its changes.
func Apply(current *model.Configuration, record RevisionRecord) (*model.Configuration, bool) {
	next, applied := ApplyAll(current, []RevisionRecord{record})
	return next, applied == 1
}

// ApplyAll applies records that are in order and returns how many it applied. It
// skips records that are in force, and stops at the first gap. It also stops at
// a record with a change that this version does not know, because applying the
// rest of it would make hosts of different versions differ. A map is copied once
// for all records, and only if one of them changes it.
func ApplyAll(current *model.Configuration, records []RevisionRecord) (*model.Configuration, int) {
	draft := newDraft(current)
	applied := 0
	for _, record := range records {
		if record.Revision <= draft.next.Revision {
			continue
		}
		if record.Revision != draft.next.Revision+1 || !knowsAllChanges(record) {
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

// knowsAllChanges reports whether this version knows every change of the record.
// A change of an unknown kind decodes with no field set.
func knowsAllChanges(record RevisionRecord) bool {
	return !slices.ContainsFunc(record.Changes, func(change Change) bool { return change.fieldCount() != 1 })
}

// preview returns the configuration after changes that are not validated yet.
func preview(current *model.Configuration, changes []Change) *model.Configuration {
	draft := newDraft(current)
	draft.apply(RevisionRecord{Revision: current.Revision + 1, Changes: changes})
	return draft.finish()
}

// draft is a configuration being built. It shares each map with its base until
// the first change of that map.
type draft struct {
	next                                             *model.Configuration
	keys                                             *model.KeyIndexEditor
	servicesCopied, organisationsCopied, movesCopied bool
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
		d.applyChange(change)
	}
	d.next.Revision = record.Revision
}

func (d *draft) applyChange(change Change) {
	switch {
	case change.PutService != nil:
		d.mutableServices()[change.PutService.Name] = *change.PutService
	case change.DeleteService != "":
		delete(d.mutableServices(), change.DeleteService)
	case change.PutOrganisation != nil:
		d.deleteOrganisation(change.PutOrganisation.ID)
		d.next.Organisations[change.PutOrganisation.ID] = *change.PutOrganisation
		d.keys.Add(*change.PutOrganisation)
	case change.DeleteOrganisation != "":
		d.deleteOrganisation(change.DeleteOrganisation)
	case change.PutMove != nil:
		d.mutableMoves()[change.PutMove.ID] = *change.PutMove
		d.pruneEndedMoves(change.PutMove.Service)
	}
}

func (d *draft) mutableServices() map[model.ServiceName]model.Service {
	if !d.servicesCopied {
		d.servicesCopied = true
		d.next.Services = maps.Clone(d.next.Services)
	}
	return d.next.Services
}

func (d *draft) mutableMoves() map[model.MoveID]model.Move {
	if !d.movesCopied {
		d.movesCopied = true
		d.next.Moves = maps.Clone(d.next.Moves)
	}
	return d.next.Moves
}

// maxEndedMoves bounds the ended moves that a configuration keeps for each
// service. Without a bound every configuration and snapshot would grow with the
// number of moves that ever ran.
const maxEndedMoves = 20

// pruneEndedMoves removes the oldest ended moves of a service beyond maxEndedMoves.
// The result depends only on the records, so that all hosts remove the same moves.
func (d *draft) pruneEndedMoves(service model.ServiceName) {
	var ended []model.Move
	for _, move := range d.next.Moves {
		if move.Service == service && move.State != model.MoveRunning {
			ended = append(ended, move)
		}
	}
	if len(ended) <= maxEndedMoves {
		return
	}
	slices.SortFunc(ended, func(a, b model.Move) int {
		return cmp.Or(a.Started.Compare(b.Started), cmp.Compare(a.ID, b.ID))
	})
	for _, move := range ended[:len(ended)-maxEndedMoves] {
		delete(d.next.Moves, move.ID)
	}
}

func (d *draft) deleteOrganisation(id model.OrganisationID) {
	if !d.organisationsCopied {
		d.organisationsCopied = true
		d.next.Organisations = maps.Clone(d.next.Organisations)
		if d.next.Keys == nil {
			d.next.Keys = model.NewKeyIndex(d.next.Organisations)
		}
		d.keys = d.next.Keys.Edit()
	}
	d.keys.Remove(d.next.Organisations[id])
	delete(d.next.Organisations, id)
}
