// Package task provides the building blocks of the supervisor tree: bounded
// mailboxes, calls with a deadline, and supervisors with a stated restart
// policy.
//
// A task is one goroutine that owns its state and its sockets. Other tasks
// reach it only through its Mailbox. Values in messages are immutable after
// they are sent.
package task
