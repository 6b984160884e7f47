package soak

import "time"

// signalDelay is how long a process runs after its start before it may be expected to handle
// signals.
const signalDelay = time.Second

// startup tells when a process that was started handles signals. Time in which it is paused does
// not count.
type startup struct {
	// left is the time until then at runningSince.
	left time.Duration
	// runningSince is the zero time while the process is paused.
	runningSince time.Time
}

func beginStartup(now time.Time) startup { return startup{left: signalDelay, runningSince: now} }

// paused returns the state after a SIGSTOP.
func (s startup) paused(now time.Time) startup {
	if s.runningSince.IsZero() {
		return s
	}
	return startup{left: s.left - now.Sub(s.runningSince)}
}

// resumed returns the state after a SIGCONT.
func (s startup) resumed(now time.Time) startup {
	if s.runningSince.IsZero() {
		s.runningSince = now
	}
	return s
}

// isOver reports whether the process handles signals.
func (s startup) isOver(now time.Time) bool { return s.paused(now).left <= 0 }
