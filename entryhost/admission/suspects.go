package admission

import (
	"hash/fnv"
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// suspectDeaths is the number of server deaths from which a request runs alone,
	// refuseDeaths the number from which it is refused. A death that the request is
	// less likely to have caused counts half.
	suspectDeaths = 2
	refuseDeaths  = 3
	// suspectLifetime is how long a suspicion is kept after the last death, clearance
	// or fact of another entry host.
	suspectLifetime = 10 * time.Minute
	// isolationDelay is the wait before a suspect runs alone. Suspicions are urgent
	// facts, which reach all entry hosts within a few messages, so that all of
	// them know of the suspicion before the run can cause a third death.
	isolationDelay = 300 * time.Millisecond
	// isolationStateLifetime is how long a waiting or running state of another entry
	// host is valid without a repetition, and isolationRefreshInterval how often
	// this host repeats its own.
	isolationStateLifetime   = 30 * time.Second
	isolationRefreshInterval = 10 * time.Second
	// maxSuspicions bounds the recorded fingerprints; the oldest are dropped first.
	maxSuspicions = 4096
)

// SuspectLevel is how a request with a history of server deaths is treated.
type SuspectLevel int

// The levels of suspicion.
const (
	// LevelClear runs without restriction.
	LevelClear SuspectLevel = iota
	// LevelSuspect runs only alone, on the reserved server.
	LevelSuspect
	// LevelRefuse is refused.
	LevelRefuse
)

// DeathWeight is how much the death of a server counts against a request, in
// halves of a death.
type DeathWeight int

// The weights of a death.
const (
	// CauseUnlikely is for a resumed attempt that had delivered clearAfterTokens: it
	// had passed the position at which content that crashes engines does so again.
	CauseUnlikely DeathWeight = 1
	// CauseLikely is for all other attempts.
	CauseLikely DeathWeight = 2
)

// weighDeath returns the weight of the death of a server against an attempt that
// ran on it.
func weighDeath(resumed bool, tokens int) DeathWeight {
	if resumed && tokens >= clearAfterTokens {
		return CauseUnlikely
	}
	return CauseLikely
}

// IsolationState is the state of a suspect on one entry host. The hosts take turns
// on the reserved server. The values are sent to other entry hosts.
type IsolationState byte

// The states of a suspect.
const (
	// IsolationNone means that the host has no attempt of the suspect in isolation.
	IsolationNone IsolationState = iota
	// IsolationWaiting means that the suspect waits to run alone.
	IsolationWaiting
	// IsolationRunning means that the suspect runs alone.
	IsolationRunning
	// IsolationCleared means that the request finished or delivered enough tokens;
	// older deaths no longer count.
	IsolationCleared
)

// DeathID numbers the server deaths that this entry host observed, from 1.
type DeathID uint64

// Suspicion is what one entry host publishes about a fingerprint.
type Suspicion struct {
	// Weight is the sum of the weights of the deaths that the host observed.
	Weight    DeathWeight
	Isolation IsolationState
}

// remoteSuspicion is the suspicion that another entry host published and when it
// arrived.
type remoteSuspicion struct {
	Suspicion
	at time.Time
}

// suspectRecord is the history of one fingerprint.
type suspectRecord struct {
	// deaths are those that this entry host observed, remote the suspicions of others.
	deaths      map[DeathID]DeathWeight
	remote      map[model.HostID]remoteSuspicion
	updatedAt   time.Time
	isolation   IsolationState
	publishedAt time.Time
}

// weight returns the total weight of the deaths that all entry hosts observed.
func (r *suspectRecord) weight() DeathWeight {
	weight := r.ownWeight()
	for _, remote := range r.remote {
		weight += remote.Weight
	}
	return weight
}

// ownWeight returns the weight of the deaths that this entry host observed.
func (r *suspectRecord) ownWeight() DeathWeight {
	var weight DeathWeight
	for _, death := range r.deaths {
		weight += death
	}
	return weight
}

// SuspectTable counts the server deaths for each request fingerprint. Each entry
// host counts the deaths that its own attempts observed and publishes them as
// facts.
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

// RecordDeath records that a request ran on a server that died. Once a request is
// refused, it is taken as the cause of its deaths, which then no longer count
// against other requests that ran on the same servers.
func (t *SuspectTable) RecordDeath(now time.Time, fingerprint model.Fingerprint, death DeathID, weight DeathWeight) {
	record := t.ensureRecord(fingerprint)
	record.deaths[death] = weight
	record.updatedAt = now
	if record.isolation == IsolationCleared {
		record.isolation = IsolationNone
	}
	t.changed[fingerprint] = true
	if record.weight() < refuseDeaths*CauseLikely {
		return
	}
	for other, otherRecord := range t.records {
		if other == fingerprint {
			continue
		}
		for id := range record.deaths {
			t.removeDeath(other, otherRecord, id)
		}
	}
}

// Retract removes a presumed death, after the server answered again without a
// restart.
func (t *SuspectTable) Retract(death DeathID) {
	for fingerprint, record := range t.records {
		t.removeDeath(fingerprint, record, death)
	}
}

func (t *SuspectTable) removeDeath(fingerprint model.Fingerprint, record *suspectRecord, death DeathID) {
	if _, counted := record.deaths[death]; counted {
		delete(record.deaths, death)
		t.changed[fingerprint] = true
	}
}

// Clear clears a request that finished or delivered enough tokens.
func (t *SuspectTable) Clear(now time.Time, fingerprint model.Fingerprint) {
	record := t.records[fingerprint]
	if record == nil || record.isolation == IsolationCleared {
		return
	}
	clear(record.deaths)
	clear(record.remote)
	record.isolation = IsolationCleared
	record.updatedAt = now
	t.changed[fingerprint] = true
}

// SetIsolation sets the state of a suspect on this entry host.
func (t *SuspectTable) SetIsolation(fingerprint model.Fingerprint, state IsolationState) {
	record := t.ensureRecord(fingerprint)
	if record.isolation != state {
		record.isolation = state
		t.changed[fingerprint] = true
	}
}

// Update applies the suspicion that another entry host published. A cleared one
// also clears the deaths that this and other hosts recorded.
func (t *SuspectTable) Update(now time.Time, fingerprint model.Fingerprint, origin model.HostID, suspicion Suspicion) {
	record := t.ensureRecord(fingerprint)
	if suspicion.Isolation == IsolationCleared {
		clear(record.deaths)
		clear(record.remote)
	}
	record.remote[origin] = remoteSuspicion{Suspicion: suspicion, at: now}
	record.updatedAt = now
}

// Level returns the level of suspicion of a fingerprint.
func (t *SuspectTable) Level(fingerprint model.Fingerprint) SuspectLevel {
	record := t.records[fingerprint]
	if record == nil {
		return LevelClear
	}
	switch weight := record.weight(); {
	case weight >= refuseDeaths*CauseLikely:
		return LevelRefuse
	case weight >= suspectDeaths*CauseLikely:
		return LevelSuspect
	default:
		return LevelClear
	}
}

// MayRun reports whether this host may run a suspect: no other host runs one and
// none with a smaller id waits to. During isolationDelay before a run, the states
// of the other hosts arrive.
func (t *SuspectTable) MayRun(now time.Time) bool {
	for _, record := range t.records {
		for origin, remote := range record.remote {
			if now.Sub(remote.at) > isolationStateLifetime {
				continue
			}
			if remote.Isolation == IsolationRunning || remote.Isolation == IsolationWaiting && origin < t.host {
				return false
			}
		}
	}
	return true
}

// Active reports whether a suspect waits or runs on any entry host. While this is
// so, one server is reserved.
func (t *SuspectTable) Active(now time.Time) bool {
	for _, record := range t.records {
		if record.isolation == IsolationWaiting || record.isolation == IsolationRunning {
			return true
		}
		for _, remote := range record.remote {
			inUse := remote.Isolation == IsolationWaiting || remote.Isolation == IsolationRunning
			if inUse && now.Sub(remote.at) <= isolationStateLifetime {
				return true
			}
		}
	}
	return false
}

// TakeChanges returns the suspicions to publish: those that changed since the last
// call, and waiting or running ones that are due for a repetition. The caller marks
// an entry that it could not send with MarkUnsent.
func (t *SuspectTable) TakeChanges(now time.Time) map[model.Fingerprint]Suspicion {
	for fingerprint, record := range t.records {
		inUse := record.isolation == IsolationWaiting || record.isolation == IsolationRunning
		if inUse && now.Sub(record.publishedAt) >= isolationRefreshInterval {
			t.changed[fingerprint] = true
		}
	}
	if len(t.changed) == 0 {
		return nil
	}
	changes := make(map[model.Fingerprint]Suspicion, len(t.changed))
	for fingerprint := range t.changed {
		if record := t.records[fingerprint]; record != nil {
			record.publishedAt = now
			changes[fingerprint] = Suspicion{Weight: record.ownWeight(), Isolation: record.isolation}
		}
	}
	clear(t.changed)
	return changes
}

// MarkUnsent marks a change that could not be sent, so that TakeChanges returns it
// again.
func (t *SuspectTable) MarkUnsent(fingerprint model.Fingerprint) { t.changed[fingerprint] = true }

// Expire drops suspicions after suspectLifetime, and the oldest ones beyond
// maxSuspicions.
func (t *SuspectTable) Expire(now time.Time) {
	for fingerprint, record := range t.records {
		if now.Sub(record.updatedAt) > suspectLifetime {
			delete(t.records, fingerprint)
		}
	}
	for len(t.records) > maxSuspicions {
		t.dropOldest()
	}
}

func (t *SuspectTable) dropOldest() {
	var oldest model.Fingerprint
	var at time.Time
	for fingerprint, record := range t.records {
		if at.IsZero() || record.updatedAt.Before(at) {
			oldest, at = fingerprint, record.updatedAt
		}
	}
	delete(t.records, oldest)
}

func (t *SuspectTable) ensureRecord(fingerprint model.Fingerprint) *suspectRecord {
	record := t.records[fingerprint]
	if record == nil {
		record = &suspectRecord{deaths: make(map[DeathID]DeathWeight), remote: make(map[model.HostID]remoteSuspicion)}
		t.records[fingerprint] = record
	}
	return record
}

// serverHash is the hash of a server's id. The eligible server with the smallest
// hash is the reserved one, so entry hosts that see the same servers choose the
// same one.
func serverHash(server model.ServerID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(server))
	return hash.Sum64()
}
