package task

import (
	"github.com/thejerf/suture/v4"
	"go.uber.org/fx"
)

// childrenGroup collects the tasks that the root supervisor runs. They may start in
// any order, because the mailbox of a task exists before the task runs.
const childrenGroup = `group:"children"`

// Children receives the tasks of the root supervisor.
type Children struct {
	fx.In

	Services []suture.Service `group:"children"`
}

// AsChild makes the task of type T a child of the root supervisor.
func AsChild[T suture.Service]() fx.Option {
	return fx.Provide(fx.Annotate(func(child T) suture.Service { return child }, fx.ResultTags(childrenGroup)))
}
