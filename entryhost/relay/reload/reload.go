// Package reload owns the settings in force. It reads them again on a signal or
// when their file has changed, and passes new settings to the tasks that use them.
package reload

import (
	"context"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/eventcode"
)

// filePollInterval is how often the modification time of the file is checked.
const filePollInterval = 2 * time.Second

// Source provides settings of type S.
type Source[S comparable] struct {
	// Read reads and checks the settings.
	Read func() (S, error)
	// ModTime returns the modification time of the file.
	ModTime func() (time.Time, error)
	// Signals triggers an immediate read.
	Signals <-chan struct{}
}

// Task is the task that reloads settings.
type Task[S comparable] struct {
	source     Source[S]
	apply      func(context.Context, S)
	clock      clockwork.Clock
	logger     *slog.Logger
	inForce    S
	modTime    time.Time
	unreadable bool
}

// NewTask returns a task that starts with the settings inForce. It calls apply with
// new settings; apply passes them to the tasks that use them and must not block.
func NewTask[S comparable](inForce S, source Source[S], apply func(context.Context, S), clock clockwork.Clock, logger *slog.Logger) *Task[S] {
	return &Task[S]{source: source, apply: apply, clock: clock, logger: logger, inForce: inForce}
}

// String names the task in the logs.
func (t *Task[S]) String() string { return "reload" }

// Serve reloads settings until the context ends.
func (t *Task[S]) Serve(ctx context.Context) error {
	ticker := t.clock.NewTicker(filePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.source.Signals:
			t.reload(ctx, "signal")
		case <-ticker.Chan():
			if t.fileChanged() {
				t.reload(ctx, "file")
			}
		}
	}
}

// fileChanged reports whether the modification time differs from that of the last
// check. The first check only records it.
func (t *Task[S]) fileChanged() bool {
	modTime, err := t.source.ModTime()
	if (err != nil) != t.unreadable {
		t.unreadable = err != nil
		t.logger.Warn("settings file became readable or unreadable", eventcode.SettingsRejected.Attr(), "readable", !t.unreadable, "error", err)
	}
	if err != nil || modTime.Equal(t.modTime) {
		return false
	}
	first := t.modTime.IsZero()
	t.modTime = modTime
	return !first
}

// reload reads the settings and puts them into force if they are valid and differ.
func (t *Task[S]) reload(ctx context.Context, cause string) {
	settings, err := t.source.Read()
	if err != nil {
		t.logger.Warn("settings rejected; keeping those in force", eventcode.SettingsRejected.Attr(), "cause", cause, "error", err)
		return
	}
	differs := settings != t.inForce
	t.logger.Info("settings reloaded", eventcode.SettingsReloaded.Attr(), "cause", cause, "changed", differs)
	if differs {
		t.inForce = settings
		t.apply(ctx, settings)
	}
}
