package admission

import (
	"hash/fnv"
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// suspectDeaths is the number of server deaths from which a request runs
	// alone; with refuseDeaths it is refused. They count whole deaths; a death
	// that speaks less against the request counts half.
	suspectDeaths = 2
	refuseDeaths  = 3
	// suspectLifetime is how long a suspicion holds after the last death.
	suspectLifetime = 10 * time.Minute
	// suspectHold is the wait before a suspect runs alone. Suspicions are urgent
	// facts, which reach all entry hosts within a few messages, so that they know
	// of it before the third death can happen.
	suspectHold = 300 * time.Millisecond
	// turnValid is how long another host's turn holds without a repetition, and
	// turnRefresh how often this host repeats its own.
	turnValid   = 30 * time.Second
	turnRefresh = 10 * time.Second
	// maxSuspicions bounds the fingerprints remembered; the oldest go first.
	maxSuspicions = 4096
)

// SuspectLevel says how a request with a history of server deaths is treated.
type SuspectLevel int

// The verdicts.
const (
	VerdictClear SuspectLevel = iota
	// VerdictSuspect runs only alone, on the server set apart.
	VerdictSuspect
	// VerdictRefuse is refused.
	VerdictRefuse
)

// DeathWeight is how much the death of a server speaks against a request, in
// halves of a death.
type DeathWeight int

// The weights of a death.
const (
	// DeathUnlikely is for a continued attempt that had delivered provenTokens: it
	// had passed the position at which content that crashes engines does so again.
	DeathUnlikely DeathWeight = 1
	DeathLikely   DeathWeight = 2
)

// weighDeath judges the death of a server under an attempt.
func weighDeath(continued bool, tokens int) DeathWeight {
	if continued && tokens >= provenTokens {
		return DeathUnlikely
	}
	return DeathLikely
}

// Turn is what an entry host does with a suspect; hosts take turns on the
// server set apart.
type Turn byte

// The turns.
const (
	TurnNone Turn = iota
	// TurnWaiting means that the suspect waits to run alone.
	TurnWaiting
	// TurnRunning means that the suspect runs.
	TurnRunning
	// TurnCleared means that the request finished; older deaths no longer count.
	TurnCleared
)

// DeathID numbers the deaths of servers that this entry host saw.
type DeathID uint64

// Suspicion is what one entry host shares about a fingerprint.
type Suspicion struct {
	// Weight is the sum of the weights of the deaths.
	Weight DeathWeight
	Turn   Turn
}

type remoteSuspicion struct {
	Suspicion
	at time.Time
}

type suspectRecord struct {
	deaths map[DeathID]DeathWeight
	remote map[model.HostID]remoteSuspicion
	last   time.Time
	turn   Turn
	shared time.Time
}

// weight sums up the deaths that all entry hosts saw.
func (r *suspectRecord) weight() DeathWeight {
	weight := r.ownWeight()
	for _, remote := range r.remote {
		weight += remote.Weight
	}
	return weight
}

func (r *suspectRecord) ownWeight() DeathWeight {
	var weight DeathWeight
	for _, death := range r.deaths {
		weight += death
	}
	return weight
}

// SuspectTable counts the server deaths of request fingerprints. Entry hosts
// share it by facts; each counts the deaths that its own attempts saw.
type SuspectTable struct {
	host    model.HostID
	records map[model.Fingerprint]*suspectRecord
	changed map[model.Fingerprint]bool
}

// NewSuspectTable returns the empty table of an entry host.
func NewSuspectTable(host model.HostID) *SuspectTable {
	return &SuspectTable{
		host:    host,
		records: make(map[model.Fingerprint]*suspectRecord),
		changed: make(map[model.Fingerprint]bool),
	}
}

// Death records that a request was on a server that died. The deaths of a
// refused request are explained by it, so they no longer count against the
// requests that were on the same servers.
func (t *SuspectTable) Death(now time.Time, fingerprint model.Fingerprint, death DeathID, weight DeathWeight) {
	record := t.record(fingerprint)
	record.deaths[death] = weight
	record.last = now
	if record.turn == TurnCleared {
		record.turn = TurnNone
	}
	t.changed[fingerprint] = true
	if record.weight() < refuseDeaths*DeathLikely {
		return
	}
	for other, neighbour := range t.records {
		if other == fingerprint {
			continue
		}
		for explained := range record.deaths {
			t.remove(other, neighbour, explained)
		}
	}
}

// Retract removes a presumed death: the server answered again without a restart.
func (t *SuspectTable) Retract(death DeathID) {
	for fingerprint, record := range t.records {
		t.remove(fingerprint, record, death)
	}
}

func (t *SuspectTable) remove(fingerprint model.Fingerprint, record *suspectRecord, death DeathID) {
	if _, counted := record.deaths[death]; counted {
		delete(record.deaths, death)
		t.changed[fingerprint] = true
	}
}

// Finished clears a request that ran to its end.
func (t *SuspectTable) Finished(now time.Time, fingerprint model.Fingerprint) {
	record := t.records[fingerprint]
	if record == nil || record.turn == TurnCleared {
		return
	}
	clear(record.deaths)
	clear(record.remote)
	record.turn = TurnCleared
	record.last = now
	t.changed[fingerprint] = true
}

// SetTurn states what this host does with a suspect.
func (t *SuspectTable) SetTurn(fingerprint model.Fingerprint, turn Turn) {
	record := t.record(fingerprint)
	if record.turn != turn {
		record.turn = turn
		t.changed[fingerprint] = true
	}
}

// Learn applies the suspicion of another host.
func (t *SuspectTable) Learn(now time.Time, fingerprint model.Fingerprint, origin model.HostID, suspicion Suspicion) {
	record := t.record(fingerprint)
	if suspicion.Turn == TurnCleared {
		clear(record.deaths)
		clear(record.remote)
	}
	record.remote[origin] = remoteSuspicion{Suspicion: suspicion, at: now}
	record.last = now
}

// SuspectLevel judges a fingerprint.
func (t *SuspectTable) Verdict(fingerprint model.Fingerprint) SuspectLevel {
	record := t.records[fingerprint]
	if record == nil {
		return VerdictClear
	}
	switch weight := record.weight(); {
	case weight >= refuseDeaths*DeathLikely:
		return VerdictRefuse
	case weight >= suspectDeaths*DeathLikely:
		return VerdictSuspect
	default:
		return VerdictClear
	}
}

// MyTurn reports whether this host may run a suspect: no other host runs one
// and none with a smaller id waits. The hold before a run gives the turns of
// the others time to arrive.
func (t *SuspectTable) MyTurn(now time.Time) bool {
	for _, record := range t.records {
		for origin, remote := range record.remote {
			if now.Sub(remote.at) > turnValid {
				continue
			}
			if remote.Turn == TurnRunning || remote.Turn == TurnWaiting && origin < t.host {
				return false
			}
		}
	}
	return true
}

// Active reports whether any host has a suspect that waits or runs, during
// which one server is set apart.
func (t *SuspectTable) Active(now time.Time) bool {
	for _, record := range t.records {
		if record.turn == TurnWaiting || record.turn == TurnRunning {
			return true
		}
		for _, remote := range record.remote {
			inUse := remote.Turn == TurnWaiting || remote.Turn == TurnRunning
			if inUse && now.Sub(remote.at) <= turnValid {
				return true
			}
		}
	}
	return false
}

// Changes returns what has to be shared since the last call, with the turns
// that are due for a repetition. An entry that was not sent is marked again by
// Unsent.
func (t *SuspectTable) Changes(now time.Time) map[model.Fingerprint]Suspicion {
	for fingerprint, record := range t.records {
		inUse := record.turn == TurnWaiting || record.turn == TurnRunning
		if inUse && now.Sub(record.shared) >= turnRefresh {
			t.changed[fingerprint] = true
		}
	}
	if len(t.changed) == 0 {
		return nil
	}
	changes := make(map[model.Fingerprint]Suspicion, len(t.changed))
	for fingerprint := range t.changed {
		if record := t.records[fingerprint]; record != nil {
			record.shared = now
			changes[fingerprint] = Suspicion{Weight: record.ownWeight(), Turn: record.turn}
		}
	}
	clear(t.changed)
	return changes
}

// Unsent marks a change that could not be shared, so that it is sent again.
func (t *SuspectTable) Unsent(fingerprint model.Fingerprint) { t.changed[fingerprint] = true }

// Expire forgets suspicions after their lifetime, and the oldest beyond the bound.
func (t *SuspectTable) Expire(now time.Time) {
	for fingerprint, record := range t.records {
		if now.Sub(record.last) > suspectLifetime {
			delete(t.records, fingerprint)
		}
	}
	for len(t.records) > maxSuspicions {
		t.forgetOldest()
	}
}

func (t *SuspectTable) forgetOldest() {
	var oldest model.Fingerprint
	var at time.Time
	for fingerprint, record := range t.records {
		if at.IsZero() || record.last.Before(at) {
			oldest, at = fingerprint, record.last
		}
	}
	delete(t.records, oldest)
}

func (t *SuspectTable) record(fingerprint model.Fingerprint) *suspectRecord {
	record := t.records[fingerprint]
	if record == nil {
		record = &suspectRecord{deaths: make(map[DeathID]DeathWeight), remote: make(map[model.HostID]remoteSuspicion)}
		t.records[fingerprint] = record
	}
	return record
}

// serverHash stands for a server in rendezvous hashing. The server with the
// smallest hash is the one set apart, so all entry hosts choose the same one
// while they see the same servers.
func serverHash(server model.ServerID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(server))
	return hash.Sum64()
}
