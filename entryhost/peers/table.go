package peers

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

// aliveTimeout is how long a member of the same data centre counts as alive after
// it was last seen. It spans several gossip rounds, so that one lost message does
// not make a member count as dead. A failed call makes a member count as dead for
// the same time.
const aliveTimeout = 3 * time.Second

// Heartbeat identifies the sender of a digest and shows that it is alive.
type Heartbeat struct {
	ID          model.HostID
	Incarnation model.Incarnation
	Leaving     bool
}

// MemberAge packs a hash of a member's id, its leaving mark and the time since it
// was last seen into one number. Ages need no heartbeat counters, and a member
// takes about six bytes in a digest.
type MemberAge uint64

// The lowest ageBits bits of a MemberAge hold the age in units of ageUnit,
// capped at maxAgeUnits; then follow the leaving mark and the hash of the id.
const (
	ageUnit     = 50 * time.Millisecond
	ageBits     = 12
	maxAgeUnits = 1<<ageBits - 1
	leavingBit  = 1 << ageBits
	hashShift   = ageBits + 1
)

func hashID(id model.HostID) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum32()
}

func newMemberAge(id model.HostID, age time.Duration, leaving bool) MemberAge {
	packed := uint64(hashID(id))<<hashShift | uint64(min(age/ageUnit, maxAgeUnits))
	if leaving {
		packed |= leavingBit
	}
	return MemberAge(packed)
}

func (a MemberAge) hash() uint32       { return uint32(a >> hashShift) }
func (a MemberAge) leaving() bool      { return a&leavingBit != 0 }
func (a MemberAge) age() time.Duration { return time.Duration(a&maxAgeUnits) * ageUnit }

// Table combines the platform's lagging host list with heartbeats and the results
// of calls. The membership task owns it; it is not safe for concurrent use.
type Table struct {
	self   model.HostID
	home   model.DataCentre
	rows   map[model.HostID]*memberRow
	byHash map[uint32]*memberRow
}

type memberRow struct {
	host        model.Host
	incarnation model.Incarnation
	leaving     bool
	// lastSeen is when the member last sent a heartbeat or answered a call, to this
	// host or to a peer that reported it; zero means never.
	lastSeen time.Time
	// lastCallFailure is when a direct call last failed; zero means never, or that
	// the member was seen since.
	lastCallFailure time.Time
}

// NewTable returns an empty table of the host self in the home data centre.
func NewTable(self model.HostID, home model.DataCentre) *Table {
	return &Table{self: self, home: home, rows: make(map[model.HostID]*memberRow), byHash: make(map[uint32]*memberRow)}
}

// ApplyHostList updates the members from the platform's host list. Hosts that are
// no longer listed are removed.
func (t *Table) ApplyHostList(hosts []model.Host) {
	listed := make(map[model.HostID]bool, len(hosts))
	for _, host := range hosts {
		id := model.HostID(host.ID)
		if host.Role != model.RoleEntry || id == t.self || host.PeerAddress == "" {
			continue
		}
		listed[id] = true
		row := t.rows[id]
		if row == nil {
			row = &memberRow{}
			t.rows[id] = row
			t.byHash[hashID(id)] = row
		}
		row.host = host
	}
	for id := range t.rows {
		if !listed[id] {
			delete(t.rows, id)
			delete(t.byHash, hashID(id))
		}
	}
}

// ApplyHeartbeat applies the heartbeat of a peer that sent a digest. It ignores
// hosts that are not listed and heartbeats of earlier incarnations.
func (t *Table) ApplyHeartbeat(now time.Time, heartbeat Heartbeat) {
	row := t.rows[heartbeat.ID]
	if row == nil || heartbeat.Incarnation < row.incarnation {
		return
	}
	row.incarnation = heartbeat.Incarnation
	row.leaving = heartbeat.Leaving
	row.lastSeen = now
	row.lastCallFailure = time.Time{}
}

// ApplyAges applies the ages that a peer reports of other members. It ignores ages
// that are not more recent than what this host knows.
func (t *Table) ApplyAges(now time.Time, ages []MemberAge) {
	for _, age := range ages {
		row := t.byHash[age.hash()]
		if row == nil {
			continue
		}
		seenAt := now.Add(-age.age())
		if !seenAt.After(row.lastSeen) {
			continue
		}
		row.lastSeen = seenAt
		row.leaving = age.leaving()
		if seenAt.After(row.lastCallFailure) {
			row.lastCallFailure = time.Time{}
		}
	}
}

// RecordAnswer records that the member answered a direct call.
func (t *Table) RecordAnswer(id model.HostID, now time.Time) {
	if row := t.rows[id]; row != nil {
		row.lastSeen = now
		row.lastCallFailure = time.Time{}
	}
}

// RecordCallFailure records that a direct call to the member failed.
func (t *Table) RecordCallFailure(id model.HostID, now time.Time) {
	if row := t.rows[id]; row != nil {
		row.lastCallFailure = now
	}
}

// alive reports whether a member counts as alive. Members of other data centres
// send few heartbeats, so they count as alive while they are listed, unless a call
// has failed recently.
func (t *Table) alive(row *memberRow, now time.Time) bool {
	if !row.lastCallFailure.IsZero() && now.Sub(row.lastCallFailure) < aliveTimeout {
		return false
	}
	if row.host.DataCentre != t.home {
		return true
	}
	return !row.lastSeen.IsZero() && now.Sub(row.lastSeen) < aliveTimeout
}

// Members returns all known members, sorted by id.
func (t *Table) Members(now time.Time) []Member {
	members := make([]Member, 0, len(t.rows))
	for id, row := range t.rows {
		members = append(members, Member{
			ID:          id,
			DataCentre:  row.host.DataCentre,
			Address:     row.host.PeerAddress,
			Incarnation: max(row.host.Incarnation, row.incarnation),
			Alive:       t.alive(row, now),
			Leaving:     row.host.Leaving || row.leaving,
		})
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// Member returns one member, without its incarnation.
func (t *Table) Member(id model.HostID, now time.Time) (Member, bool) {
	row := t.rows[id]
	if row == nil {
		return Member{}, false
	}
	return Member{
		ID: id, DataCentre: row.host.DataCentre, Address: row.host.PeerAddress,
		Alive: t.alive(row, now), Leaving: row.host.Leaving || row.leaving,
	}, true
}

// Ages returns the ages of at most limit members of this data centre that are
// alive, the most recently seen first.
func (t *Table) Ages(now time.Time, limit int) []MemberAge {
	rows := make([]*memberRow, 0, len(t.rows))
	for _, row := range t.rows {
		if row.host.DataCentre == t.home && t.alive(row, now) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b *memberRow) int {
		return cmp.Or(b.lastSeen.Compare(a.lastSeen), cmp.Compare(a.host.ID, b.host.ID))
	})
	ages := make([]MemberAge, 0, min(limit, len(rows)))
	for _, row := range rows[:min(limit, len(rows))] {
		ages = append(ages, newMemberAge(model.HostID(row.host.ID), now.Sub(row.lastSeen), row.leaving))
	}
	return ages
}
