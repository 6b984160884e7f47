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
	// journalMailboxSize bounds the queued messages. Events beyond it are dropped
	// and counted.
	journalMailboxSize = 4096
	// ringSize bounds the events that are kept in memory for queries.
	ringSize = 16_384
	// maxBatchEvents bounds the events that wait to be written to the object store.
	// While the store is unreachable, the oldest are dropped and counted.
	maxBatchEvents = 16_384
	// flushInterval is the time between writes to the object store.
	flushInterval = 10 * time.Second
	// flushTimeout bounds one write to the object store.
	flushTimeout = 5 * time.Second
)

// ObjectPrefix is the name prefix of the objects that hold events.
const ObjectPrefix = "events/"

// Journal is the task that owns the ring and the events that are not yet written
// to the object store.
type Journal struct {
	messages task.Mailbox[Message]
	host     model.HostID
	objects  platform.Objects
	clock    clockwork.Clock
	dropped  *metrics.Counter
	logger   *slog.Logger

	ring        *Ring
	batch       []Event
	flushing    bool
	objectCount int
}

// NewJournal returns the journal task of the entry host. It adds a counter of
// dropped events to the set.
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

// Messages returns the journal's mailbox.
func (j *Journal) Messages() task.Mailbox[Message] { return j.messages }

// Record implements Recorder. It may be called from any task. It sets the host of
// the event, and its time if that is zero.
func (j *Journal) Record(event Event) {
	event.Host = j.host
	if event.At.IsZero() {
		event.At = j.clock.Now()
	}
	if err := j.messages.TrySend(recordEvent{event: event}); err != nil {
		j.dropped.Inc()
	}
}

// String names the task in the logs.
func (j *Journal) String() string { return "events" }

// Serve handles messages and writes batches until the context ends, and then writes
// the remaining events.
func (j *Journal) Serve(ctx context.Context) error {
	j.flushing = false
	ticker := j.clock.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			j.flushRemaining()
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
	case recordEvent:
		j.addEvent(message.event)
	case Select:
		message.Reply.Send(j.ring.Select(message.Query))
	case flushResult:
		j.finishFlush(message)
	}
}

// addEvent adds an event to the ring and to the batch. It does not shorten the
// batch during a write, because finishFlush then removes the written events
// from its start.
func (j *Journal) addEvent(event Event) {
	j.ring.Add(event)
	j.batch = append(j.batch, event)
	if excess := len(j.batch) - maxBatchEvents; excess > 0 && !j.flushing {
		j.dropped.Add(excess)
		j.batch = j.batch[excess:]
	}
}

// flush writes the batch to the object store in the background, unless a write is
// already running.
func (j *Journal) flush(ctx context.Context) {
	if j.flushing || len(j.batch) == 0 {
		return
	}
	j.flushing = true
	batch := j.batch
	name := j.nextObjectName()
	go func() {
		err := writeBatch(ctx, j.objects, name, batch)
		_ = j.messages.Send(ctx, flushResult{count: len(batch), err: err})
	}()
}

// finishFlush removes the written events from the batch. After an error the batch
// stays, and the next flush retries it.
func (j *Journal) finishFlush(result flushResult) {
	j.flushing = false
	if result.err != nil {
		j.logger.Warn("events not written", eventcode.EventsNotWritten.Attr(), "count", result.count, "error", result.err)
		return
	}
	j.batch = j.batch[result.count:]
}

// flushRemaining writes the remaining events before the journal stops. It
// ignores an error.
func (j *Journal) flushRemaining() {
	if len(j.batch) == 0 {
		return
	}
	_ = writeBatch(context.Background(), j.objects, j.nextObjectName(), j.batch)
}

// nextObjectName returns the name of the next object. Names sort by time.
func (j *Journal) nextObjectName() string {
	j.objectCount++
	return fmt.Sprintf("%s%s/%s-%d", ObjectPrefix, j.clock.Now().UTC().Format("20060102T150405"), j.host, j.objectCount)
}

// writeBatch writes events to the object store as JSON lines.
func writeBatch(ctx context.Context, objects platform.Objects, name string, batch []Event) error {
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
