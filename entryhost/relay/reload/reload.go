// Package reload owns the settings in force: it reads them again on a signal, or
// when their file has changed, and tells the tasks that use them.
package reload

import (
	"context"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/eventcode"
)

// lookInterval is how often the file is looked at without a signal.
const lookInterval = 2 * time.Second

// Source reads settings of type S.
type Source[S comparable] struct {
	// Read reads and checks the settings.
	Read func() (S, error)
	// Changed returns when the file was changed last.
	Changed func() (time.Time, error)
	// Signals asks for a read at once.
	Signals <-chan struct{}
}

// Task reads settings again and hands new ones out.
type Task[S comparable] struct {
	source  Source[S]
	apply   func(context.Context, S)
	clock   clockwork.Clock
	logger  *slog.Logger
	inForce S
	changed time.Time
	broken  bool
}

// NewTask returns a task with the settings in force. Apply sends new settings to
// the tasks that use them; it must not block.
func NewTask[S comparable](inForce S, source Source[S], apply func(context.Context, S), clock clockwork.Clock, logger *slog.Logger) *Task[S] {
	return &Task[S]{source: source, apply: apply, clock: clock, logger: logger, inForce: inForce}
}

// String names the task in the logs.
func (t *Task[S]) String() string { return "reload" }

// Serve looks for new settings until the context ends.
func (t *Task[S]) Serve(ctx context.Context) error {
	ticker := t.clock.NewTicker(lookInterval)
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

// fileChanged reports whether the file has another time than at the last look.
func (t *Task[S]) fileChanged() bool {
	changed, err := t.source.Changed()
	if (err != nil) != t.broken {
		t.broken = err != nil
		t.logger.Warn("settings file readability changed", eventcode.SettingsRejected.Attr(), "readable", !t.broken, "error", err)
	}
	if err != nil || changed.Equal(t.changed) {
		return false
	}
	first := t.changed.IsZero()
	t.changed = changed
	return !first
}

// reload puts new settings into force. Unusable ones leave the present ones.
func (t *Task[S]) reload(ctx context.Context, cause string) {
	settings, err := t.source.Read()
	if err != nil {
		t.logger.Warn("settings rejected; those in force stay", eventcode.SettingsRejected.Attr(), "cause", cause, "error", err)
		return
	}
	differs := settings != t.inForce
	t.logger.Info("settings read again", eventcode.SettingsReloaded.Attr(), "cause", cause, "changed", differs)
	if differs {
		t.inForce = settings
		t.apply(ctx, settings)
	}
}
