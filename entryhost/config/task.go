package config

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// storeMailboxSize bounds the messages that wait for the store. A full
	// mailbox makes the sender wait until its deadline.
	storeMailboxSize = 256
	// readTimeout bounds one read of the table.
	readTimeout = 2 * time.Second
	// scanLimit bounds the revisions of one read.
	scanLimit = 256
)

// Store is the task that owns the configuration in force.
type Store struct {
	messages    task.Mailbox[Message]
	table       platform.Table
	clock       clockwork.Clock
	interval    time.Duration
	subscribers []task.Mailbox[*model.Configuration]
	logger      *slog.Logger

	current *model.Configuration
}

// NewStore returns the store task. Subscribers receive each new configuration;
// the store waits for room in their mailboxes, and they never wait for it.
func NewStore(table platform.Table, clock clockwork.Clock, interval time.Duration, logger *slog.Logger, subscribers ...task.Mailbox[*model.Configuration]) *Store {
	return &Store{
		messages:    task.NewMailbox[Message](storeMailboxSize),
		table:       table,
		clock:       clock,
		interval:    interval,
		subscribers: subscribers,
		logger:      logger,
		current:     Empty(),
	}
}

// Messages is the store's mailbox.
func (s *Store) Messages() task.Mailbox[Message] { return s.messages }

// String names the task in the logs.
func (s *Store) String() string { return "config" }

// Serve keeps the configuration up to date until the context ends.
func (s *Store) Serve(ctx context.Context) error {
	go s.poll(ctx, s.current.Revision+1, 0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-s.messages.C():
			s.handle(ctx, message)
		}
	}
}

func (s *Store) handle(ctx context.Context, message Message) {
	switch message := message.(type) {
	case Current:
		message.Reply.Send(s.current)
	case Accepted:
		s.accept(ctx, message.Records)
	case polled:
		s.accept(ctx, message.records)
		wait := s.interval
		if len(message.records) == scanLimit {
			wait = 0
		}
		go s.poll(ctx, s.current.Revision+1, wait)
	}
}

// polled is the result of one read of the table.
type polled struct{ records []RevisionRecord }

func (polled) storeMessage() {}

// poll waits, reads the revisions after the one in force once and sends them to
// the store, which starts the next poll.
func (s *Store) poll(ctx context.Context, from model.Revision, wait time.Duration) {
	select {
	case <-ctx.Done():
		return
	case <-s.clock.After(wait):
	}
	readContext, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, err := s.table.Scan(readContext, PrefixRevision, RevisionKey(from), scanLimit)
	if err != nil {
		s.logger.Debug("configuration not read", eventcode.ConfigNotRead.Attr(), "error", err)
	}
	_ = s.messages.Send(ctx, polled{records: decodeRecords(rows, s.logger)})
}

func decodeRecords(rows []platform.Row, logger *slog.Logger) []RevisionRecord {
	records := make([]RevisionRecord, 0, len(rows))
	for _, row := range rows {
		var record RevisionRecord
		if err := json.Unmarshal(row.Value, &record); err != nil {
			logger.Error("configuration revision is undecodable", eventcode.ConfigUndecodable.Attr(), "key", row.Key, "error", err)
			break
		}
		records = append(records, record)
	}
	return records
}

func (s *Store) accept(ctx context.Context, records []RevisionRecord) {
	before := s.current.Revision
	for _, record := range records {
		s.current, _ = Apply(s.current, record)
	}
	if s.current.Revision == before {
		return
	}
	s.logger.Info("configuration in force", eventcode.ConfigInForce.Attr(), "revision", s.current.Revision, "before", before)
	for _, subscriber := range s.subscribers {
		_ = subscriber.Send(ctx, s.current)
	}
}
