package config

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// readTimeout bounds one read of the table. Together with peerTimeout it keeps
	// a start within 2 s during an outage in which the platform does not answer.
	readTimeout = time.Second
	// snapshotTimeout bounds the transfer of a snapshot.
	snapshotTimeout = 5 * time.Second
	// peerTimeout bounds one query or push to peers.
	peerTimeout = 800 * time.Millisecond
	// maxQueriedPeers is the number of peers that are queried in parallel. Several
	// are queried because one of them may lag behind.
	maxQueriedPeers = 3
	// scanLimit bounds the revisions of one read.
	scanLimit = 256
	// factLifetime is longer than two fallback intervals of 5 s. Each read
	// publishes the fact again, so one missed read does not let it expire.
	factLifetime = 15 * time.Second
)

// Names of the net/rpc methods that peers call.
const (
	receiverName = "Config"
	MethodAccept = receiverName + ".Accept"
	MethodSince  = receiverName + ".Since"
)

// reader reads revisions from the table, the object store and peers, and pushes
// them to peers. It has no state and is safe for concurrent use.
type reader struct {
	home           model.DataCentre
	table          platform.Table
	objects        platform.Objects
	peers          task.Mailbox[peers.Message]
	peersOn        bool
	clock          clockwork.Clock
	pushesAccepted *metrics.Counter
	pushesFailed   *metrics.Counter
	logger         *slog.Logger
}

func newReader(p Parameters) reader {
	return reader{
		home: p.Home, table: p.Table, objects: p.Objects, peers: p.Peers, peersOn: p.PeersOn, clock: p.Clock, logger: p.Logger,
		pushesAccepted: p.Metrics.NewCounter(`lentilpoint_config_pushes_total{outcome="accepted"}`),
		pushesFailed:   p.Metrics.NewCounter(`lentilpoint_config_pushes_total{outcome="failed"}`),
	}
}

// read returns the update that follows the revision. A cold start queries peers
// first, which works during an outage and spares the platform a full read. Later
// reads query peers only when the table does not answer.
func (r reader) read(ctx context.Context, revision model.Revision, randomIndex func(int) int) readDone {
	if revision == 0 {
		if update, found := r.queryPeers(ctx, revision, randomIndex); found {
			return readDone{update: update, incomplete: true}
		}
		if snapshot := r.readSnapshot(ctx); snapshot != nil {
			return readDone{update: Update{Snapshot: snapshot}, incomplete: true}
		}
	}
	result := r.readTable(ctx, revision)
	if result.err == nil || revision == 0 {
		return result
	}
	if update, found := r.queryPeers(ctx, revision, randomIndex); found {
		return readDone{update: update}
	}
	return result
}

// readTable reads the head row, and scans the revisions only if the head is newer.
func (r reader) readTable(ctx context.Context, revision model.Revision) readDone {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	head, err := readHead(ctx, r.table)
	if err != nil || head.revision <= revision {
		return readDone{err: err}
	}
	rows, err := r.table.Scan(ctx, PrefixRevision, RevisionKey(revision+1), scanLimit)
	if err != nil {
		return readDone{err: err}
	}
	records, err := decodeRecords(rows)
	return readDone{update: Update{Records: records}, incomplete: len(rows) == scanLimit && err == nil, err: err}
}

// readSnapshot returns the snapshot of the object store, or nil if there is none
// that can be read.
func (r reader) readSnapshot(ctx context.Context) *model.Configuration {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	content, err := r.objects.Get(ctx, ObjectSnapshot)
	if err != nil {
		return nil
	}
	snapshot, err := DecodeSnapshot(content)
	if err != nil {
		r.logger.Warn("configuration snapshot is not usable", eventcode.ConfigSnapshotUnusable.Attr(), "error", err)
		return nil
	}
	return snapshot
}

func (r reader) writeSnapshot(ctx context.Context, configuration *model.Configuration) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	content, err := EncodeSnapshot(configuration)
	if err == nil {
		err = r.objects.Put(ctx, ObjectSnapshot, content)
	}
	if err != nil {
		r.logger.Warn("configuration snapshot not written", eventcode.ConfigSnapshotNotWritten.Attr(), "revision", configuration.Revision, "error", err)
	}
}

// queryPeers queries some peers for the update that follows the revision and
// returns the newest answer. It reports false if no answer is newer.
func (r reader) queryPeers(ctx context.Context, revision model.Revision, randomIndex func(int) int) (Update, bool) {
	if !r.peersOn {
		return Update{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	members, err := task.Call(ctx, r.peers, func(reply task.Reply[[]peers.Member]) peers.Message {
		return peers.Members{Reply: reply}
	})
	if err != nil {
		return Update{}, false
	}
	targets := ChoosePeers(r.home, members, maxQueriedPeers, randomIndex)
	answers := make(chan Update, len(targets))
	for _, host := range targets {
		go func() { answers <- r.queryPeer(ctx, host, revision) }()
	}
	var best Update
	for range targets {
		if answer := <-answers; answer.Revision() > best.Revision() {
			best = answer
		}
	}
	return best, best.Revision() > revision
}

// queryPeer queries one peer. It returns an empty update if the peer does not
// answer.
func (r reader) queryPeer(ctx context.Context, host model.HostID, revision model.Revision) Update {
	answer := &SinceAnswer{}
	if err := r.invoke(ctx, host, MethodSince, &SinceArguments{Revision: revision}, answer); err != nil {
		return Update{}
	}
	update := Update{Records: answer.Records}
	if len(answer.Snapshot) > 0 {
		update.Snapshot, _ = DecodeSnapshot(answer.Snapshot)
	}
	return update
}

func (r reader) invoke(ctx context.Context, host model.HostID, method string, arguments, result any) error {
	err, failed := task.Call(ctx, r.peers, func(reply task.Reply[error]) peers.Message {
		return peers.Invoke{Context: ctx, Host: host, Method: method, Arguments: arguments, Result: result, Reply: reply}
	})
	return errors.Join(err, failed)
}

// push sends new revisions to peers in the background. A peer that misses a push
// reads the revisions at its fallback interval.
func (r reader) push(ctx context.Context, targets []model.HostID, records []RevisionRecord) {
	for _, host := range targets {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			if err := r.invoke(ctx, host, MethodAccept, &AcceptArguments{Records: records}, &AcceptAnswer{}); err != nil {
				r.pushesFailed.Inc()
				return
			}
			r.pushesAccepted.Inc()
		}()
	}
}

// ChoosePeers returns up to limit live members in random order, those of the home
// data centre first. At least one is of another data centre if there is any,
// because a partition often cuts off a whole data centre from the platform, and
// its hosts then have no newer revision.
func ChoosePeers(home model.DataCentre, members []peers.Member, limit int, randomIndex func(int) int) []model.HostID {
	var local, remote []model.HostID
	for _, member := range members {
		switch {
		case !member.Alive:
		case member.DataCentre == home:
			local = append(local, member.ID)
		default:
			remote = append(remote, member.ID)
		}
	}
	local, remote = shuffled(local, randomIndex), shuffled(remote, randomIndex)
	localCount := min(len(local), limit-min(1, len(remote)))
	return append(local[:localCount:localCount], remote[:min(len(remote), limit-localCount)]...)
}

func shuffled(hosts []model.HostID, randomIndex func(int) int) []model.HostID {
	for i := len(hosts) - 1; i > 0; i-- {
		j := randomIndex(i + 1)
		hosts[i], hosts[j] = hosts[j], hosts[i]
	}
	return hosts
}

// Revision returns the highest revision in the update, or 0 if it is empty.
func (u Update) Revision() model.Revision {
	var revision model.Revision
	if u.Snapshot != nil {
		revision = u.Snapshot.Revision
	}
	if n := len(u.Records); n > 0 {
		revision = max(revision, u.Records[n-1].Revision)
	}
	return revision
}

func revisionFact(self model.HostID, revision model.Revision) peers.Fact {
	return peers.Fact{
		Kind: peers.FactRevision, Key: string(self), Value: strconv.AppendUint(nil, uint64(revision), 10),
		Lifetime: factLifetime, Everywhere: true,
	}
}

// reportedRevision returns the revision of a fact, or 0 if it is undecodable.
func reportedRevision(fact peers.Fact) model.Revision {
	revision, err := strconv.ParseUint(string(fact.Value), 10, 64)
	if err != nil {
		return 0
	}
	return model.Revision(revision)
}
