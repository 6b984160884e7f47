// Package logs writes structured log lines without blocking the tasks that log.
// A writer task owns the output. Lines beyond the rate limit or the capacity of its
// mailbox are dropped and counted.
package logs

import (
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// maxQueuedLines is the capacity of the writer's mailbox; lines beyond it are
	// dropped.
	maxQueuedLines = 512
	// maxLinesPerSecond limits the volume. A host serves up to 70 requests per
	// second, each with one log line; the loss of a server adds a few.
	maxLinesPerSecond = 300
)

// Writer is the task that owns the output of the log.
type Writer struct {
	output  io.Writer
	clock   clockwork.Clock
	lines   task.Mailbox[[]byte]
	dropped *metrics.Counter
}

// NewWriter returns a writer task for the output, with a counter of dropped lines
// in the set.
func NewWriter(output io.Writer, clock clockwork.Clock, set *metrics.Set) *Writer {
	return &Writer{
		output: output, clock: clock, lines: task.NewMailbox[[]byte](maxQueuedLines),
		dropped: set.GetOrCreateCounter("lentilpoint_log_lines_dropped_total"),
	}
}

// String names the task in the logs.
func (w *Writer) String() string { return "log-writer" }

// Write implements io.Writer for a slog handler. It never blocks and never fails;
// a line that does not fit into the mailbox is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	if w.lines.TrySend(append([]byte(nil), line...)) != nil {
		w.dropped.Inc()
	}
	return len(line), nil
}

// Serve writes lines until the context ends, and then those still queued.
func (w *Writer) Serve(ctx context.Context) error {
	windowStart, written := time.Time{}, 0
	for {
		select {
		case <-ctx.Done():
			w.Flush()
			return nil
		case line := <-w.lines.C():
			now := w.clock.Now()
			if now.Sub(windowStart) >= time.Second {
				windowStart, written = now, 0
			}
			if written++; written > maxLinesPerSecond {
				w.dropped.Inc()
				continue
			}
			w.write(line)
		}
	}
}

// Flush writes the queued lines without a rate limit. Call it only after the task
// has ended.
func (w *Writer) Flush() {
	for {
		select {
		case line := <-w.lines.C():
			w.write(line)
		default:
			return
		}
	}
}

func (w *Writer) write(line []byte) {
	if _, err := w.output.Write(line); err != nil {
		w.dropped.Inc()
	}
}

// Logger returns a logger that sends JSON lines to the writer.
func (w *Writer) Logger(level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}
