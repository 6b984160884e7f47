package peers

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// maxFacts bounds the facts on an entry host. Beyond it the facts that expire
	// first are dropped and counted.
	maxFacts = 8192
	// defaultLifetime applies to facts published without a lifetime.
	defaultLifetime = 30 * time.Second
	// refreshesPerLifetime is how often a host sends its own fact again within the
	// lifetime of the fact, so that one lost refresh does not let it expire.
	refreshesPerLifetime = 3
	// factOverheadBytes estimates the encoded size of a fact without its strings
	// and value.
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
	fact      Fact
	expiresAt time.Time
	// remainingSends is the number of digests that will still carry the fact.
	remainingSends int
	// refreshAt is when a fact of this host is sent again; zero for facts of others.
	refreshAt time.Time
}

// FactStore holds the facts that an entry host knows and selects those that each
// digest carries. The membership task owns it; it is not safe for concurrent use.
type FactStore struct {
	self     model.HostID
	rows     map[factKey]*factRow
	sequence uint64
	// Dropped counts facts that were too large or evicted to make room.
	Dropped int
}

// NewFactStore returns an empty store. Sequences continue from firstSequence, which
// must be larger than all sequences of earlier incarnations of this host.
func NewFactStore(self model.HostID, firstSequence uint64) *FactStore {
	return &FactStore{self: self, rows: make(map[factKey]*factRow), sequence: firstSequence}
}

// sendsPerFact returns how often each host sends a fact to others, given the number
// of hosts. A logarithmic number reaches all hosts with high probability; a
// refresh reaches the rest.
func sendsPerFact(hosts int) int {
	return bits.Len(uint(hosts + 1))
}

// Publish stores a fact of this host and returns it with its origin, sequence and
// lifetime. It returns false and drops the fact if the value is too large.
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
	s.rows[keyOf(fact)].refreshAt = now.Add(fact.Lifetime / refreshesPerLifetime)
	return fact, true
}

// Merge stores facts of other hosts and returns those that are new or newer.
func (s *FactStore) Merge(now time.Time, facts []Fact, hosts int) []Fact {
	var newFacts []Fact
	for _, fact := range facts {
		row := s.rows[keyOf(fact)]
		if fact.Origin == s.self || len(fact.Value) > MaxFactBytes || (row != nil && row.fact.Sequence >= fact.Sequence) {
			continue
		}
		s.put(now, fact, hosts)
		newFacts = append(newFacts, fact)
	}
	return newFacts
}

func (s *FactStore) put(now time.Time, fact Fact, hosts int) {
	key := keyOf(fact)
	if s.rows[key] == nil && len(s.rows) >= maxFacts {
		s.evictEarliestToExpire()
	}
	s.rows[key] = &factRow{fact: fact, expiresAt: now.Add(fact.Lifetime), remainingSends: sendsPerFact(hosts)}
}

func (s *FactStore) evictEarliestToExpire() {
	var earliest factKey
	var found *factRow
	for key, row := range s.rows {
		if found == nil || row.expiresAt.Before(found.expiresAt) {
			earliest, found = key, row
		}
	}
	delete(s.rows, earliest)
	s.Dropped++
}

// Maintain deletes expired facts and renews facts of this host that are due for a
// refresh.
func (s *FactStore) Maintain(now time.Time, hosts int) {
	for key, row := range s.rows {
		switch {
		case !row.refreshAt.IsZero() && !now.Before(row.refreshAt):
			s.sequence++
			row.fact.Sequence = s.sequence
			row.expiresAt = now.Add(row.fact.Lifetime)
			row.refreshAt = now.Add(row.fact.Lifetime / refreshesPerLifetime)
			row.remainingSends = sendsPerFact(hosts)
		case now.After(row.expiresAt):
			delete(s.rows, key)
		}
	}
}

// Select returns facts to send within the byte budget, those with the most
// remaining sends first. For a peer in another data centre (remote) it selects
// only facts with Everywhere.
func (s *FactStore) Select(budgetBytes int, remote bool) []Fact {
	candidates := make([]*factRow, 0)
	for _, row := range s.rows {
		if row.remainingSends > 0 && (!remote || row.fact.Everywhere) {
			candidates = append(candidates, row)
		}
	}
	slices.SortFunc(candidates, func(a, b *factRow) int {
		return cmp.Or(cmp.Compare(b.remainingSends, a.remainingSends), cmp.Compare(b.fact.Sequence, a.fact.Sequence),
			cmp.Compare(a.fact.Key, b.fact.Key))
	})
	var selected []Fact
	for _, row := range candidates {
		size := factBytes(row.fact)
		// The first fact is selected whatever its size. Otherwise a fact larger than
		// the budget would never be sent.
		if size > budgetBytes && (len(selected) > 0 || budgetBytes <= 0) {
			continue
		}
		budgetBytes -= size
		row.remainingSends--
		selected = append(selected, row.fact)
	}
	return selected
}

// SelectForJoin returns as many facts as fit into the byte budget, for a host that
// joins.
func (s *FactStore) SelectForJoin(budgetBytes int) []Fact {
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
