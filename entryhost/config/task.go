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
	// storeMailboxSize bounds the messages that wait for the store. A full
	// mailbox makes the sender wait until its deadline.
	storeMailboxSize = 256
	// hostsMailboxSize bounds the host lists that wait; a full mailbox drops a
	// list, as the next one is newer.
	hostsMailboxSize = 2
	// pushOverlap is the number of earlier revisions that a push repeats, so
	// that a peer that missed or has yet to receive a push needs no read.
	pushOverlap = 8
	// factsSize bounds the revisions reported by other hosts that wait; a
	// dropped one comes again.
	factsSize = 64
	// pushGrace is the time that a push gets to arrive after another host
	// reported a newer revision, before this host reads the table.
	pushGrace = 300 * time.Millisecond
)

// Parameters are what the store is built from.
type Parameters struct {
	// Messages is the store's mailbox, made with NewMailbox. It exists before
	// the store, so that a subscriber may also send to it.
	Messages task.Mailbox[Message]
	Self     model.HostID
	Home     model.DataCentre
	Table    platform.Table
	Objects  platform.Objects
	// Peers is the mailbox of the membership task.
	Peers task.Mailbox[peers.Message]
	// PeersOn tells that this host has links to peers. Without them it reads the
	// table by itself.
	PeersOn    bool
	Intervals  Intervals
	Acceptance Acceptance
	// Seed makes the choice of peers repeatable.
	Seed    uint64
	Clock   clockwork.Clock
	Metrics *metrics.Set
	Logger  *slog.Logger
	// Subscribers receive each new configuration. The store waits for room in
	// their mailboxes, and they never wait for the store.
	Subscribers []task.Mailbox[*model.Configuration]
}

// Store is the task that owns the configuration in force.
type Store struct {
	Parameters

	lists   task.Mailbox[platform.HostsRead]
	facts   task.Mailbox[peers.Fact]
	reader  reader
	inForce *metrics.Counter

	current *model.Configuration
	log     recordLog
	hosts   []model.Host
	rank    int
	// reading tells that a read is under way; again that another is needed after it.
	reading bool
	again   bool
	// failing tells that the last read reached neither the table nor a peer.
	failing bool
	// reads counts reads, to draw other peers in each.
	reads uint64
}

// NewMailbox returns a mailbox for the store.
func NewMailbox() task.Mailbox[Message] { return task.NewMailbox[Message](storeMailboxSize) }

// NewStore returns the store task.
func NewStore(parameters Parameters) *Store {
	return &Store{
		Parameters: parameters,
		lists:      task.NewMailbox[platform.HostsRead](hostsMailboxSize),
		facts:      task.NewMailbox[peers.Fact](factsSize),
		reader:     newReader(parameters),
		inForce:    parameters.Metrics.NewCounter("lentilpoint_config_revision"),
		current:    Empty(),
	}
}

// HostLists is where the host list task sends each list.
func (s *Store) HostLists() task.Mailbox[platform.HostsRead] { return s.lists }

// Subscriber receives the revisions that other hosts report. A host whose
// readers are paused or dead, but still in the host list, learns from them that
// it is behind.
func (s *Store) Subscriber() peers.Subscriber {
	return peers.Subscriber{Kinds: []peers.FactKind{peers.FactRevision}, Mailbox: s.facts}
}

// String names the task in the logs.
func (s *Store) String() string { return "config" }

// Serve keeps the configuration up to date until the context ends.
func (s *Store) Serve(ctx context.Context) error {
	s.reading, s.again = false, false
	timer := s.Clock.NewTimer(s.interval())
	defer timer.Stop()
	due := s.Clock.Now().Add(s.interval())
	wait := func(length time.Duration) {
		due = s.Clock.Now().Add(length)
		timer.Reset(length)
	}
	// The first read does not go through the timer: a host list that arrives
	// first would put it off until the fallback interval.
	s.read(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.Chan():
			s.read(ctx)
			wait(s.interval())
		case list := <-s.lists.C():
			if s.setHosts(list.Hosts) {
				wait(s.interval())
			}
		case fact := <-s.facts.C():
			// Only a later read is brought forward: steady reports must not put it off.
			behind := reportedRevision(fact) > s.current.Revision
			if behind && due.Sub(s.Clock.Now()) > pushGrace {
				wait(pushGrace)
			}
		case message := <-s.Messages.C():
			s.handle(ctx, message)
		}
	}
}

// interval returns the time until the next read. A host without a configuration
// cannot serve, so it tries as often as a reader.
func (s *Store) interval() time.Duration {
	if s.current.Revision == 0 {
		return s.Intervals.Reader
	}
	return s.Intervals.For(s.rank)
}

func (s *Store) handle(ctx context.Context, message Message) {
	switch message := message.(type) {
	case Current:
		message.Reply.Send(s.current)
	case Since:
		message.Reply.Send(s.since(message.Revision))
	case Accepted:
		s.accept(ctx, Update{Records: message.Records}, message.Share)
		if n := len(message.Records); n > 0 && message.Records[n-1].Revision > s.current.Revision {
			s.read(ctx)
		}
		message.Reply.Send(s.current.Revision)
	case readDone:
		s.finishRead(ctx, message)
	}
}

func (s *Store) since(revision model.Revision) Update {
	if records, whole := s.log.since(revision, s.current.Revision); whole {
		return Update{Records: records}
	}
	return Update{Snapshot: s.current}
}

// setHosts keeps the host list and reports whether the rank of this host changed.
func (s *Store) setHosts(hosts []model.Host) bool {
	s.hosts = hosts
	before := s.rank
	s.rank = 0
	if s.PeersOn {
		s.rank = ReaderRank(s.Self, s.Home, hosts)
	}
	return s.rank != before
}

// read starts a read of the table in the background. While one is under way,
// it asks for another one afterwards.
func (s *Store) read(ctx context.Context) {
	if s.reading {
		s.again = true
		return
	}
	s.reading, s.again = true, false
	s.reads++
	revision := s.current.Revision
	random := rand.New(rand.NewPCG(s.Seed, s.reads))
	go func() {
		_ = s.Messages.Send(ctx, s.reader.read(ctx, revision, random.IntN))
	}()
}

func (s *Store) finishRead(ctx context.Context, result readDone) {
	s.reading = false
	s.logFailure(result.err)
	before := s.current.Revision
	s.accept(ctx, result.update, false)
	s.publish()
	if s.again || result.incomplete && s.current.Revision > before {
		s.read(ctx)
	}
}

// logFailure logs the first failure of a series, so that an outage does not
// fill the log.
func (s *Store) logFailure(err error) {
	failed := err != nil
	if failed && !s.failing {
		code := eventcode.ConfigNotRead
		if ErrUndecodable.Has(err) {
			code = eventcode.ConfigUndecodable
		}
		s.Logger.Warn("configuration not read", code.Attr(), "revision", s.current.Revision, "error", err)
	}
	s.failing = failed
}

// accept puts an update in force, passes it on and tells the subscribers.
func (s *Store) accept(ctx context.Context, update Update, share bool) {
	before := s.current.Revision
	next, applied := s.Acceptance.Accept(s.current, update)
	if next == s.current {
		return
	}
	s.current = next
	s.inForce.Set(uint64(next.Revision))
	s.log.extend(applied)
	s.Logger.Info("configuration in force", eventcode.ConfigInForce.Attr(), "revision", next.Revision, "before", before)
	if s.PeersOn && len(applied) > 0 && (share || s.rank != NotReader) {
		s.reader.push(ctx, PushTargets(s.Self, s.Home, s.hosts), s.log.tail(len(applied)+pushOverlap))
	}
	if s.rank == 0 && len(applied) > 0 && SnapshotDue(before, next.Revision) {
		go s.reader.writeSnapshot(ctx, next)
	}
	s.publish()
	for _, subscriber := range s.Subscribers {
		_ = subscriber.Send(ctx, next)
	}
}

// publish shares the revision in force with all entry hosts. A full mailbox is
// ignored: the next read publishes it again.
func (s *Store) publish() {
	if s.PeersOn {
		_ = s.Peers.TrySend(peers.Publish{Fact: revisionFact(s.Self, s.current.Revision)})
	}
}
