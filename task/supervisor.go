package task

import (
	"context"
	"log/slog"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/lentilpoint/lentilpoint/eventcode"
)

// RestartPolicy states how often the children of a supervisor may restart
// before the supervisor itself fails and its parent restarts it.
type RestartPolicy struct {
	// Restarts is the number of failures tolerated within Period.
	Restarts float64
	// Period is the time over which failures are counted.
	Period time.Duration
	// Backoff is the pause once the number is exceeded.
	Backoff time.Duration
	// StopTimeout bounds the wait for children during a shutdown.
	StopTimeout time.Duration
}

// DefaultRestartPolicy restarts a child alone, five times in ten seconds.
var DefaultRestartPolicy = RestartPolicy{
	Restarts:    5,
	Period:      10 * time.Second,
	Backoff:     100 * time.Millisecond,
	StopTimeout: 5 * time.Second,
}

// NewSupervisor returns a supervisor that restarts a failed or panicking child
// alone and logs each failure as an event.
func NewSupervisor(name string, policy RestartPolicy, logger *slog.Logger) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		EventHook: func(event suture.Event) {
			logger.Warn(event.String(), eventcode.SupervisorEvent.Attr(), "supervisor", name)
		},
		FailureThreshold: policy.Restarts,
		FailureDecay:     policy.Period.Seconds(),
		FailureBackoff:   policy.Backoff,
		Timeout:          policy.StopTimeout,
	})
}

// Func adapts a function to a supervised task with a name for the logs.
type Func struct {
	Name string
	Run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (f Func) Serve(ctx context.Context) error { return f.Run(ctx) }

// String names the task in the logs.
func (f Func) String() string { return f.Name }
