package callers

import (
	"context"

	"github.com/lentilpoint/lentilpoint/task"
)

// commandsSize is 4: only the root supervisor sends commands, one at a time.
const commandsSize = 4

type commandKind int

const (
	commandDrain commandKind = iota
	commandShutdown
)

// command asks the server task to drain or to shut down.
type command struct {
	kind commandKind
	// context bounds a shutdown.
	context context.Context
	reply   task.Reply[error]
}
