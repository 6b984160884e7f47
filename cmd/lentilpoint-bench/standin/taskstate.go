package standin

import (
	"context"

	"github.com/lentilpoint/lentilpoint/task"
)

// taskState is the state of a stand-in. Its task runs functions on the state, one at
// a time.
type taskState[S any] interface {
	mailbox() task.Mailbox[func(S)]
}

// serveTask runs the functions sent to a stand-in until the context ends, and then
// calls stop.
func serveTask[S taskState[S]](ctx context.Context, state S, stop func()) {
	for {
		select {
		case <-ctx.Done():
			stop()
			return
		case function := <-state.mailbox().C():
			function(state)
		}
	}
}

// call runs a function in the task of a stand-in and returns its result.
func call[S taskState[S], R any](ctx context.Context, state S, run func(S) R) (R, error) {
	return task.Call(ctx, state.mailbox(), func(reply task.Reply[R]) func(S) {
		return func(state S) { reply.Send(run(state)) }
	})
}

// callWithTimeout is call with callTimeout. It returns the zero value if the call
// fails.
func callWithTimeout[S taskState[S], R any](state S, run func(S) R) R {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	result, _ := call(ctx, state, run)
	return result
}
