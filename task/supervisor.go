package task

import (
	"context"
	"log/slog"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/lentilpoint/lentilpoint/eventcode"
)

// RestartPolicy limits how often the children of a supervisor restart before the
// supervisor backs off.
type RestartPolicy struct {
	// Restarts is the number of failures that are tolerated within Period.
	Restarts float64
	// Period is the half-life of the failure count.
	Period time.Duration
	// Backoff is the wait before further restarts once Restarts is exceeded.
	Backoff time.Duration
	// StopTimeout bounds the wait for the children to stop during a shutdown.
	StopTimeout time.Duration
}

// DefaultRestartPolicy tolerates five failures in about ten seconds.
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
