package peers

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

// aliveTimeout is how long a member of the same data centre counts as alive
// after its heartbeat last advanced. It is several gossip rounds, so that one
// lost message does not make a member dead.
const aliveTimeout = 3 * time.Second

// Heartbeat is a host's own sign of life, which leads each of its digests.
type Heartbeat struct {
	ID          model.HostID
	Incarnation model.Incarnation
	Leaving     bool
}

// MemberAge tells in one number how long ago a member was last heard of: a
// hash of its id, the leaving mark and the age. Ages need no counters, and a
// member takes about six bytes in a digest.
type MemberAge uint64

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

// Table joins the platform's lagging list with direct signs of life. It is a
// plain value; the membership task owns it.
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
	// heard is when the member last showed a sign of life; zero means never.
	heard time.Time
	// failed is when a direct call last failed without a later sign of life.
	failed time.Time
}

// NewTable returns an empty table of the host self in the home data centre.
func NewTable(self model.HostID, home model.DataCentre) *Table {
	return &Table{self: self, home: home, rows: make(map[model.HostID]*memberRow), byHash: make(map[uint32]*memberRow)}
}

// ApplyList takes over the entry hosts of the platform's list. Hosts that are no
// longer listed are forgotten.
func (t *Table) ApplyList(hosts []model.Host) {
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

// Hear applies the heartbeat of a peer that sent a digest.
func (t *Table) Hear(now time.Time, heartbeat Heartbeat) {
	row := t.rows[heartbeat.ID]
	if row == nil || heartbeat.Incarnation < row.incarnation {
		return
	}
	row.incarnation = heartbeat.Incarnation
	row.leaving = heartbeat.Leaving
	row.heard = now
	row.failed = time.Time{}
}

// HearAges applies what a peer has heard of other members.
func (t *Table) HearAges(now time.Time, ages []MemberAge) {
	for _, age := range ages {
		row := t.byHash[age.hash()]
		if row == nil {
			continue
		}
		heard := now.Add(-age.age())
		if !heard.After(row.heard) {
			continue
		}
		row.heard = heard
		row.leaving = age.leaving()
		if heard.After(row.failed) {
			row.failed = time.Time{}
		}
	}
}

// Reached notes that a direct call to the member was answered.
func (t *Table) Reached(id model.HostID, now time.Time) {
	if row := t.rows[id]; row != nil {
		row.heard = now
		row.failed = time.Time{}
	}
}

// Failed notes that a direct call to the member failed.
func (t *Table) Failed(id model.HostID, now time.Time) {
	if row := t.rows[id]; row != nil {
		row.failed = now
	}
}

// alive joins direct signs with the list. Members of other data centres send
// few heartbeats, so the list counts for them until a call fails.
func (t *Table) alive(row *memberRow, now time.Time) bool {
	if !row.failed.IsZero() && now.Sub(row.failed) < aliveTimeout {
		return false
	}
	if row.host.DataCentre != t.home {
		return true
	}
	return !row.heard.IsZero() && now.Sub(row.heard) < aliveTimeout
}

// Members returns all known members in order of their ids.
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

// Member returns one member.
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

// Ages returns when the members of this data centre were last heard of, the
// most recent first, at most limit. Members that are silent are left out.
func (t *Table) Ages(now time.Time, limit int) []MemberAge {
	rows := make([]*memberRow, 0, len(t.rows))
	for _, row := range t.rows {
		if row.host.DataCentre == t.home && t.alive(row, now) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b *memberRow) int {
		return cmp.Or(b.heard.Compare(a.heard), cmp.Compare(a.host.ID, b.host.ID))
	})
	ages := make([]MemberAge, 0, min(limit, len(rows)))
	for _, row := range rows[:min(limit, len(rows))] {
		ages = append(ages, newMemberAge(model.HostID(row.host.ID), now.Sub(row.heard), row.leaving))
	}
	return ages
}
