// Package logs writes structured log lines without blocking the tasks that log.
// A writer task owns the output; lines that exceed the rate or find its mailbox
// full are dropped and counted.
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
	// linesSize is the number of lines that may wait for the output; beyond it
	// lines are dropped and counted.
	linesSize = 512
	// linesPerSecond bounds the volume. A host serves up to 70 requests a second
	// with a line each, and a loss adds a few.
	linesPerSecond = 300
)

// Writer is the task that owns the output of the log.
type Writer struct {
	output  io.Writer
	clock   clockwork.Clock
	lines   task.Mailbox[[]byte]
	dropped *metrics.Counter
}

// NewWriter returns a writer task for the output.
func NewWriter(output io.Writer, clock clockwork.Clock, set *metrics.Set) *Writer {
	return &Writer{
		output: output, clock: clock, lines: task.NewMailbox[[]byte](linesSize),
		dropped: set.GetOrCreateCounter("lentilpoint_log_lines_dropped_total"),
	}
}

// String names the task in the logs.
func (w *Writer) String() string { return "log-writer" }

// Write implements io.Writer for a slog handler. It never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	if w.lines.TrySend(append([]byte(nil), line...)) != nil {
		w.dropped.Inc()
	}
	return len(line), nil
}

// Serve writes lines until the context ends, and then those that wait.
func (w *Writer) Serve(ctx context.Context) error {
	second, written := time.Time{}, 0
	for {
		select {
		case <-ctx.Done():
			w.Flush()
			return nil
		case line := <-w.lines.C():
			now := w.clock.Now()
			if now.Sub(second) >= time.Second {
				second, written = now, 0
			}
			if written++; written > linesPerSecond {
				w.dropped.Inc()
				continue
			}
			w.write(line)
		}
	}
}

// Flush writes the lines that wait. It is for use after the task has ended.
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

// Logger returns a logger of JSON lines that go to the writer.
func (w *Writer) Logger(level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}
