package standin

import (
	"context"

	"github.com/lentilpoint/lentilpoint/task"
)

// stepper is a stand-in whose task runs steps on its own state, one at a time.
type stepper[S any] interface {
	steps() task.Mailbox[func(S)]
}

// serveSteps runs the steps of a stand-in until the context ends, and then stop.
func serveSteps[S stepper[S]](ctx context.Context, standIn S, stop func()) {
	for {
		select {
		case <-ctx.Done():
			stop()
			return
		case step := <-standIn.steps().C():
			step(standIn)
		}
	}
}

// call runs a step inside the task of a stand-in and returns its result.
func call[S stepper[S], R any](ctx context.Context, standIn S, run func(S) R) (R, error) {
	return task.Call(ctx, standIn.steps(), func(reply task.Reply[R]) func(S) {
		return func(standIn S) { reply.Send(run(standIn)) }
	})
}

// control runs a step for an experiment.
func control[S stepper[S], R any](standIn S, run func(S) R) R {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	result, _ := call(ctx, standIn, run)
	return result
}
