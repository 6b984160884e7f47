package requests

import (
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/task"
)

// Module provides the manager of request tasks.
var Module = fx.Module("requests",
	fx.Provide(NewManager, (*Manager).Commands, func() Recovery { return RecoveryContinue }),
	task.AsChild[*Manager](),
)
