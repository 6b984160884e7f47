package callers

import (
	"context"

	"github.com/lentilpoint/lentilpoint/task"
)

// commandMailboxSize suffices, as only the root supervisor sends commands, one
// at a time.
const commandMailboxSize = 4

type commandKind int

const (
	commandDrain commandKind = iota
	commandShutdown
)

// command asks the server task to drain or to shut down.
type command struct {
	kind commandKind
	// context bounds a shutdown; it is nil for a drain.
	context context.Context
	reply   task.Reply[error]
}
