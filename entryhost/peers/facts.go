package peers

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// maxFacts bounds the facts kept on an entry host; the ones that expire
	// first are dropped and counted.
	maxFacts = 8192
	// defaultLifetime applies to facts published without a lifetime.
	defaultLifetime = 30 * time.Second
	// refreshPart of the lifetime passes between two sendings of an own fact, so
	// that one lost round does not end it.
	refreshPart = 3
	// factOverheadBytes estimates the encoding of a fact besides its strings and value.
	factOverheadBytes = 24
)

type factKey struct {
	kind   FactKind
	key    string
	origin model.HostID
}

func keyOf(fact Fact) factKey {
	return factKey{kind: fact.Kind, key: fact.Key, origin: fact.Origin}
}

type factRow struct {
	fact    Fact
	expires time.Time
	// sends is how often the fact still has to be passed on.
	sends int
	// refresh is when an own fact is sent again; zero for others' facts.
	refresh time.Time
}

// FactStore holds the facts an entry host knows and decides what each digest
// carries. It is a plain value; the membership task owns it.
type FactStore struct {
	self     model.HostID
	rows     map[factKey]*factRow
	sequence uint64
	// Dropped counts facts that did not fit.
	Dropped int
}

// NewFactStore returns an empty store. The first sequence makes the facts of
// this incarnation newer than those of an earlier one.
func NewFactStore(self model.HostID, firstSequence uint64) *FactStore {
	return &FactStore{self: self, rows: make(map[factKey]*factRow), sequence: firstSequence}
}

// sendsFor returns how often a fact is passed on among this many hosts. The
// logarithm reaches all hosts with high probability; a refresh reaches the rest.
func sendsFor(hosts int) int {
	return bits.Len(uint(hosts + 1))
}

// Publish stores a fact of this host and returns it as it will be sent. It
// reports false if the value is too large.
func (s *FactStore) Publish(now time.Time, fact Fact, hosts int) (Fact, bool) {
	if len(fact.Value) > MaxFactBytes {
		s.Dropped++
		return fact, false
	}
	if fact.Lifetime <= 0 {
		fact.Lifetime = defaultLifetime
	}
	s.sequence++
	fact.Origin = s.self
	fact.Sequence = s.sequence
	s.put(now, fact, hosts)
	s.rows[keyOf(fact)].refresh = now.Add(fact.Lifetime / refreshPart)
	return fact, true
}

// Merge stores facts of other hosts and returns the ones that are new.
func (s *FactStore) Merge(now time.Time, facts []Fact, hosts int) []Fact {
	var fresh []Fact
	for _, fact := range facts {
		row := s.rows[keyOf(fact)]
		if fact.Origin == s.self || len(fact.Value) > MaxFactBytes || (row != nil && row.fact.Sequence >= fact.Sequence) {
			continue
		}
		s.put(now, fact, hosts)
		fresh = append(fresh, fact)
	}
	return fresh
}

func (s *FactStore) put(now time.Time, fact Fact, hosts int) {
	key := keyOf(fact)
	if s.rows[key] == nil && len(s.rows) >= maxFacts {
		s.dropEarliest()
	}
	s.rows[key] = &factRow{fact: fact, expires: now.Add(fact.Lifetime), sends: sendsFor(hosts)}
}

func (s *FactStore) dropEarliest() {
	var earliest factKey
	var found *factRow
	for key, row := range s.rows {
		if found == nil || row.expires.Before(found.expires) {
			earliest, found = key, row
		}
	}
	delete(s.rows, earliest)
	s.Dropped++
}

// Maintain drops expired facts and renews own ones whose refresh is due.
func (s *FactStore) Maintain(now time.Time, hosts int) {
	for key, row := range s.rows {
		switch {
		case !row.refresh.IsZero() && !now.Before(row.refresh):
			s.sequence++
			row.fact.Sequence = s.sequence
			row.expires = now.Add(row.fact.Lifetime)
			row.refresh = now.Add(row.fact.Lifetime / refreshPart)
			row.sends = sendsFor(hosts)
		case now.After(row.expires):
			delete(s.rows, key)
		}
	}
}

// Select returns facts to pass on within the budget of bytes, those that were
// passed on least first. For another data centre only facts with Everywhere.
func (s *FactStore) Select(budgetBytes int, remote bool) []Fact {
	waiting := make([]*factRow, 0)
	for _, row := range s.rows {
		if row.sends > 0 && (!remote || row.fact.Everywhere) {
			waiting = append(waiting, row)
		}
	}
	slices.SortFunc(waiting, func(a, b *factRow) int {
		return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(b.fact.Sequence, a.fact.Sequence),
			cmp.Compare(a.fact.Key, b.fact.Key))
	})
	var selected []Fact
	for _, row := range waiting {
		size := factBytes(row.fact)
		// The first fact is sent whatever its size, as one larger than the budget
		// would never be sent otherwise.
		if size > budgetBytes && (len(selected) > 0 || budgetBytes <= 0) {
			continue
		}
		budgetBytes -= size
		row.sends--
		selected = append(selected, row.fact)
	}
	return selected
}

// All returns the facts that are in force, for a host that has just joined.
func (s *FactStore) All(budgetBytes int) []Fact {
	var all []Fact
	for _, row := range s.rows {
		budgetBytes -= factBytes(row.fact)
		if budgetBytes < 0 {
			break
		}
		all = append(all, row.fact)
	}
	return all
}

// Len returns the number of facts.
func (s *FactStore) Len() int { return len(s.rows) }

func factBytes(fact Fact) int {
	return factOverheadBytes + len(fact.Kind) + len(fact.Key) + len(fact.Origin) + len(fact.Value)
}
