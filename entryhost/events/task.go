package events

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// journalMailboxSize bounds the events that wait; more are dropped and counted.
	journalMailboxSize = 4096
	// ringSize bounds the events kept in memory.
	ringSize = 16_384
	// batchLimit bounds the events that wait for the object store; the oldest
	// are dropped and counted while the store is out of reach.
	batchLimit = 16_384
	// flushInterval is the time between writes to the object store.
	flushInterval = 10 * time.Second
	// flushTimeout bounds one write to the object store.
	flushTimeout = 5 * time.Second
)

// ObjectPrefix starts the names of the objects that hold events.
const ObjectPrefix = "events/"

// Journal is the task that owns the ring and the unwritten batch.
type Journal struct {
	messages task.Mailbox[Message]
	host     model.HostID
	objects  platform.Objects
	clock    clockwork.Clock
	dropped  *metrics.Counter
	logger   *slog.Logger

	ring     *Ring
	batch    []Event
	flushing bool
	objectNo int
}

// NewJournal returns the journal task of an entry host.
func NewJournal(host model.HostID, objects platform.Objects, clock clockwork.Clock, set *metrics.Set, logger *slog.Logger) *Journal {
	return &Journal{
		messages: task.NewMailbox[Message](journalMailboxSize),
		host:     host,
		objects:  objects,
		clock:    clock,
		dropped:  set.NewCounter("lentilpoint_events_dropped_total"),
		logger:   logger,
		ring:     NewRing(ringSize),
	}
}

// Messages is the journal's mailbox.
func (j *Journal) Messages() task.Mailbox[Message] { return j.messages }

// Record implements Recorder. It may be called from any task.
func (j *Journal) Record(event Event) {
	event.Host = j.host
	if event.At.IsZero() {
		event.At = j.clock.Now()
	}
	if err := j.messages.TrySend(record{event: event}); err != nil {
		j.dropped.Inc()
	}
}

// String names the task in the logs.
func (j *Journal) String() string { return "events" }

// Serve keeps events until the context ends, and then writes the last batch.
func (j *Journal) Serve(ctx context.Context) error {
	j.flushing = false
	ticker := j.clock.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			j.flushLast()
			return nil
		case <-ticker.Chan():
			j.flush(ctx)
		case message := <-j.messages.C():
			j.handle(message)
		}
	}
}

func (j *Journal) handle(message Message) {
	switch message := message.(type) {
	case record:
		j.keep(message.event)
	case Ask:
		message.Reply.Send(j.ring.Select(message.Query))
	case flushed:
		j.finishFlush(message)
	}
}

func (j *Journal) keep(event Event) {
	j.ring.Add(event)
	j.batch = append(j.batch, event)
	if excess := len(j.batch) - batchLimit; excess > 0 && !j.flushing {
		j.dropped.Add(excess)
		j.batch = j.batch[excess:]
	}
}

// flush writes the batch in the background.
func (j *Journal) flush(ctx context.Context) {
	if j.flushing || len(j.batch) == 0 {
		return
	}
	j.flushing = true
	batch := j.batch
	name := j.nextName()
	go func() {
		err := put(ctx, j.objects, name, batch)
		_ = j.messages.Send(ctx, flushed{count: len(batch), err: err})
	}()
}

func (j *Journal) finishFlush(result flushed) {
	j.flushing = false
	if result.err != nil {
		j.logger.Warn("events not written", eventcode.EventsNotWritten.Attr(), "count", result.count, "error", result.err)
		return
	}
	j.batch = j.batch[result.count:]
}

func (j *Journal) flushLast() {
	if len(j.batch) == 0 {
		return
	}
	_ = put(context.Background(), j.objects, j.nextName(), j.batch)
}

// nextName returns a name that sorts by time.
func (j *Journal) nextName() string {
	j.objectNo++
	return fmt.Sprintf("%s%s/%s-%d", ObjectPrefix, j.clock.Now().UTC().Format("20060102T150405"), j.host, j.objectNo)
}

func put(ctx context.Context, objects platform.Objects, name string, batch []Event) error {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	var content bytes.Buffer
	encoder := json.NewEncoder(&content)
	for _, event := range batch {
		if err := encoder.Encode(event); err != nil {
			return Error.Wrap(err)
		}
	}
	return objects.Put(ctx, name, content.Bytes())
}
