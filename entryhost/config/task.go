package config

import (
	"context"
	"log/slog"
	"math/rand/v2"
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
	// storeMailboxSize bounds the messages queued for the store. A full mailbox
	// makes the sender wait until its deadline.
	storeMailboxSize = 256
	// hostsMailboxSize bounds the queued host lists. A full mailbox drops the list;
	// the host list task sends it again.
	hostsMailboxSize = 2
	// pushOverlap is the number of earlier revisions that a push repeats, so that a
	// peer that missed a push, or receives two out of order, needs no read.
	pushOverlap = 8
	// factsMailboxSize bounds the queued revision facts of other hosts. A dropped
	// one is published again.
	factsMailboxSize = 64
	// pushGrace is how long this host waits for a push after another host reported
	// a newer revision, before it reads the table.
	pushGrace = 300 * time.Millisecond
)

// Parameters are the dependencies and settings of the store.
type Parameters struct {
	// Messages is the store's mailbox, made with NewMailbox. It is built before the
	// store, because a subscriber of the store may also send to it.
	Messages task.Mailbox[Message]
	// Self and Home are this host and its data centre.
	Self    model.HostID
	Home    model.DataCentre
	Table   platform.Table
	Objects platform.Objects
	// Peers is the mailbox of the membership task.
	Peers task.Mailbox[peers.Message]
	// PeersOn is true if this host has links to peers. A host without them always
	// reads the table itself.
	PeersOn    bool
	Intervals  Intervals
	Acceptance Acceptance
	// Seed makes the random choice of peers reproducible.
	Seed    uint64
	Clock   clockwork.Clock
	Metrics *metrics.Set
	Logger  *slog.Logger
	// Subscribers receive each new configuration. The store blocks while a mailbox
	// is full, so a subscriber must not wait for the store.
	Subscribers []task.Mailbox[*model.Configuration]
}

// Store is the task that owns the configuration in force.
type Store struct {
	Parameters

	hostLists     task.Mailbox[platform.HostsRead]
	facts         task.Mailbox[peers.Fact]
	reader        reader
	revisionGauge *metrics.Counter

	current       *model.Configuration
	recentRecords recordLog
	hosts         []model.Host
	rank          int
	// readInFlight is true during a read in the background. readRequested then
	// asks for another read after it.
	readInFlight  bool
	readRequested bool
	// lastReadFailed is true if the last read failed, from the table and from peers.
	lastReadFailed bool
	// readCount varies the random choice of peers between reads.
	readCount uint64
}

// NewMailbox returns a mailbox for the store.
func NewMailbox() task.Mailbox[Message] { return task.NewMailbox[Message](storeMailboxSize) }

// NewStore returns the store task.
func NewStore(parameters Parameters) *Store {
	return &Store{
		Parameters:    parameters,
		hostLists:     task.NewMailbox[platform.HostsRead](hostsMailboxSize),
		facts:         task.NewMailbox[peers.Fact](factsMailboxSize),
		reader:        newReader(parameters),
		revisionGauge: parameters.Metrics.NewCounter("lentilpoint_config_revision"),
		current:       Empty(),
	}
}

// HostLists returns the mailbox that receives each host list.
func (s *Store) HostLists() task.Mailbox[platform.HostsRead] { return s.hostLists }

// Subscriber returns the subscription to the revisions that other hosts report.
// They show a host that it is behind when its readers are paused, or dead but
// still in the host list.
func (s *Store) Subscriber() peers.Subscriber {
	return peers.Subscriber{Kinds: []peers.FactKind{peers.FactRevision}, Mailbox: s.facts}
}

// String names the task in the logs.
func (s *Store) String() string { return "config" }

// Serve keeps the configuration up to date until the context ends.
func (s *Store) Serve(ctx context.Context) error {
	s.readInFlight, s.readRequested = false, false
	timer := s.Clock.NewTimer(s.interval())
	defer timer.Stop()
	nextRead := s.Clock.Now().Add(s.interval())
	schedule := func(delay time.Duration) {
		nextRead = s.Clock.Now().Add(delay)
		timer.Reset(delay)
	}
	// The first read does not use the timer, because a host list that arrives
	// before it would delay it to the fallback interval.
	s.read(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.Chan():
			s.read(ctx)
			schedule(s.interval())
		case list := <-s.hostLists.C():
			if s.setHosts(list.Hosts) {
				schedule(s.interval())
			}
		case fact := <-s.facts.C():
			// The next read is only ever moved earlier: frequent facts must not
			// postpone it.
			behind := reportedRevision(fact) > s.current.Revision
			if behind && nextRead.Sub(s.Clock.Now()) > pushGrace {
				schedule(pushGrace)
			}
		case message := <-s.Messages.C():
			s.handleMessage(ctx, message)
		}
	}
}

// interval returns the time until the next read. A host without a configuration
// cannot serve, so it reads as often as a reader.
func (s *Store) interval() time.Duration {
	if s.current.Revision == 0 {
		return s.Intervals.Reader
	}
	return s.Intervals.ForRank(s.rank)
}

func (s *Store) handleMessage(ctx context.Context, message Message) {
	switch message := message.(type) {
	case Current:
		message.Reply.Send(s.current)
	case Since:
		message.Reply.Send(s.updateSince(message.Revision))
	case Accepted:
		s.applyUpdate(ctx, Update{Records: message.Records}, message.PushToPeers)
		if n := len(message.Records); n > 0 && message.Records[n-1].Revision > s.current.Revision {
			s.read(ctx)
		}
		message.Reply.Send(s.current.Revision)
	case readDone:
		s.finishRead(ctx, message)
	}
}

func (s *Store) updateSince(revision model.Revision) Update {
	if records, complete := s.recentRecords.since(revision, s.current.Revision); complete {
		return Update{Records: records}
	}
	return Update{Snapshot: s.current}
}

// setHosts stores the host list and reports whether the rank of this host changed.
func (s *Store) setHosts(hosts []model.Host) bool {
	s.hosts = hosts
	before := s.rank
	s.rank = 0
	if s.PeersOn {
		s.rank = ReaderRank(s.Self, s.Home, hosts)
	}
	return s.rank != before
}

// read starts a read in the background. If one is in flight, another one follows
// it.
func (s *Store) read(ctx context.Context) {
	if s.readInFlight {
		s.readRequested = true
		return
	}
	s.readInFlight, s.readRequested = true, false
	s.readCount++
	revision := s.current.Revision
	random := rand.New(rand.NewPCG(s.Seed, s.readCount))
	go func() {
		_ = s.Messages.Send(ctx, s.reader.read(ctx, revision, random.IntN))
	}()
}

func (s *Store) finishRead(ctx context.Context, result readDone) {
	s.readInFlight = false
	s.logFailure(result.err)
	before := s.current.Revision
	s.applyUpdate(ctx, result.update, false)
	s.publishRevision()
	if s.readRequested || result.incomplete && s.current.Revision > before {
		s.read(ctx)
	}
}

// logFailure logs only the first of several failures in a row, so that an outage
// does not fill the log.
func (s *Store) logFailure(err error) {
	failed := err != nil
	if failed && !s.lastReadFailed {
		code := eventcode.ConfigNotRead
		if ErrUndecodable.Has(err) {
			code = eventcode.ConfigUndecodable
		}
		s.Logger.Warn("configuration not read", code.Attr(), "revision", s.current.Revision, "error", err)
	}
	s.lastReadFailed = failed
}

// applyUpdate puts an update in force, pushes it to peers, writes a snapshot if
// one is due, and sends the new configuration to the subscribers.
func (s *Store) applyUpdate(ctx context.Context, update Update, pushToPeers bool) {
	before := s.current.Revision
	next, applied := s.Acceptance.Accept(s.current, update)
	if next == s.current {
		return
	}
	s.current = next
	s.revisionGauge.Set(uint64(next.Revision))
	s.recentRecords.extend(applied)
	s.Logger.Info("configuration in force", eventcode.ConfigInForce.Attr(), "revision", next.Revision, "before", before)
	if s.PeersOn && len(applied) > 0 && (pushToPeers || s.rank != NotReader) {
		s.reader.push(ctx, PushTargets(s.Self, s.Home, s.hosts), s.recentRecords.tail(len(applied)+pushOverlap))
	}
	if s.rank == 0 && len(applied) > 0 && SnapshotDue(before, next.Revision) {
		go s.reader.writeSnapshot(ctx, next)
	}
	s.publishRevision()
	for _, subscriber := range s.Subscribers {
		_ = subscriber.Send(ctx, next)
	}
}

// publishRevision publishes the revision in force to all entry hosts. If the
// mailbox is full, the next read publishes it again.
func (s *Store) publishRevision() {
	if s.PeersOn {
		_ = s.Peers.TrySend(peers.Publish{Fact: revisionFact(s.Self, s.current.Revision)})
	}
}
