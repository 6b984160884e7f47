package peers

import (
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/task"
)

// membershipMailboxSize bounds the messages that wait for the membership task.
// A full mailbox returns ErrMailboxFull to publishers.
const membershipMailboxSize = 1024

// Module provides the membership task, the links and the rpc listener.
//
// Packages that receive facts provide a Subscriber in the group
// "fact_subscribers"; packages that answer peers provide a Receiver in the
// group "rpc_receivers".
var Module = fx.Module("peers",
	fx.Provide(func() task.Mailbox[Message] { return task.NewMailbox[Message](membershipMailboxSize) }),
)
