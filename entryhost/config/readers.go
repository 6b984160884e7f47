package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

// ReadersPerDataCentre is the number of hosts that poll the head row on behalf of
// their data centre. The second one covers the time until the host list shows
// that the first one died.
const ReadersPerDataCentre = 2

// NotReader is the rank of a host that is not a reader.
const NotReader = -1

// ReaderRank returns the position of a host among the readers of its data centre,
// or NotReader. A host that the host list does not show as a candidate is its own
// reader with rank 0, because no other host pushes revisions to it.
func ReaderRank(self model.HostID, home model.DataCentre, hosts []model.Host) int {
	readers := Readers(home, hosts)
	if !slices.ContainsFunc(hosts, func(host model.Host) bool { return host.ID == string(self) && isCandidate(home, host) }) {
		return 0
	}
	return slices.Index(readers, self)
}

// Readers returns the readers of a data centre, chosen by rendezvous hashing over
// its candidates, so that the departure of a host changes at most one reader.
func Readers(home model.DataCentre, hosts []model.Host) []model.HostID {
	var candidates []model.HostID
	for _, host := range hosts {
		if isCandidate(home, host) {
			candidates = append(candidates, model.HostID(host.ID))
		}
	}
	slices.SortFunc(candidates, func(a, b model.HostID) int {
		return cmp.Or(-cmp.Compare(readerWeight(home, a), readerWeight(home, b)), cmp.Compare(a, b))
	})
	candidates = slices.Compact(candidates)
	return candidates[:min(ReadersPerDataCentre, len(candidates))]
}

// isCandidate reports whether a host can be a reader of the data centre or receive
// its pushes: an entry host that is not leaving and has an address for peers.
func isCandidate(home model.DataCentre, host model.Host) bool {
	return host.Role == model.RoleEntry && host.DataCentre == home && !host.Leaving && host.PeerAddress != ""
}

func readerWeight(home model.DataCentre, host model.HostID) uint64 {
	sum := sha256.Sum256([]byte(string(home) + "\x00" + string(host)))
	return binary.BigEndian.Uint64(sum[:8])
}

// PushTargets returns the hosts that self pushes new revisions to: the other
// candidates of its data centre.
func PushTargets(self model.HostID, home model.DataCentre, hosts []model.Host) []model.HostID {
	var targets []model.HostID
	for _, host := range hosts {
		if host.ID != string(self) && isCandidate(home, host) {
			targets = append(targets, model.HostID(host.ID))
		}
	}
	return targets
}

// Intervals are the intervals between reads of the head row.
type Intervals struct {
	// Reader is the interval of a reader.
	Reader time.Duration
	// Fallback is the interval of the other hosts; 0 means fallbackFactor times
	// Reader.
	Fallback time.Duration
}

// fallbackFactor times the default reader interval of 500 ms is 5 s.
const fallbackFactor = 10

// ForRank returns the interval of a host with this rank.
func (i Intervals) ForRank(rank int) time.Duration {
	if rank != NotReader {
		return i.Reader
	}
	if i.Fallback == 0 {
		return fallbackFactor * i.Reader
	}
	return i.Fallback
}

// SnapshotDue reports whether a step from one revision to another passes a
// multiple of SnapshotEvery.
func SnapshotDue(before, after model.Revision) bool {
	return before/SnapshotEvery != after/SnapshotEvery
}

// SnapshotEvery is the number of revisions between snapshots. A cold start reads
// at most about this many revisions on top of the snapshot.
const SnapshotEvery = 256

// Acceptance decides which revisions a store puts in force.
type Acceptance int

const (
	// AcceptInOrder applies a revision only after all revisions before it.
	AcceptInOrder Acceptance = iota
	// AcceptAny applies every revision on arrival, whatever its number. It is a
	// baseline of the experiments.
	AcceptAny
)

// Accept returns the configuration after an update, which is current itself if
// the update has nothing newer, and the records that were applied.
func (a Acceptance) Accept(current *model.Configuration, update Update) (*model.Configuration, []RevisionRecord) {
	if snapshot := update.Snapshot; snapshot != nil && (a == AcceptAny || snapshot.Revision > current.Revision) {
		current = snapshot
	}
	if a == AcceptAny {
		return acceptAny(current, update.Records)
	}
	before := current.Revision
	next, applied := ApplyAll(current, update.Records)
	start := slices.IndexFunc(update.Records, func(record RevisionRecord) bool { return record.Revision == before+1 })
	if applied == 0 || start < 0 {
		return next, nil
	}
	return next, update.Records[start:min(start+applied, len(update.Records))]
}

func acceptAny(current *model.Configuration, records []RevisionRecord) (*model.Configuration, []RevisionRecord) {
	for _, record := range records {
		stale := *current
		stale.Revision = record.Revision - 1
		current, _ = Apply(&stale, record)
	}
	return current, records
}

// recordLog holds the newest records, for peers that lag by a few revisions.
type recordLog struct{ records []RevisionRecord }

// recordLogSize is the maximum number of records in the log, about two hours of
// changes at the target size.
const recordLogSize = 512

// extend appends records that were applied. After a gap, as a snapshot leaves it,
// it discards the older records first.
func (l *recordLog) extend(records []RevisionRecord) {
	if len(records) == 0 {
		return
	}
	if n := len(l.records); n > 0 && l.records[n-1].Revision+1 != records[0].Revision {
		l.records = nil
	}
	l.records = append(l.records, records...)
	if excess := len(l.records) - recordLogSize; excess > 0 {
		l.records = slices.Clone(l.records[excess:])
	}
}

// since returns the records after the revision, or false if the log does not
// hold all of them.
func (l *recordLog) since(revision, current model.Revision) ([]RevisionRecord, bool) {
	if revision >= current {
		return nil, true
	}
	if len(l.records) == 0 || l.records[0].Revision > revision+1 || l.records[len(l.records)-1].Revision != current {
		return nil, false
	}
	return l.records[revision+1-l.records[0].Revision:], true
}

// tail returns at most n records, the newest ones.
func (l *recordLog) tail(n int) []RevisionRecord {
	return l.records[max(0, len(l.records)-n):]
}
