// Package task provides the building blocks of the supervisor tree: bounded
// mailboxes, calls with a deadline, listening sockets that survive a restart of
// their task, and supervisors with an explicit restart policy.
//
// A task is one goroutine that owns its state and its sockets. Other tasks
// reach it only through its Mailbox. Values in messages are immutable after
// they are sent.
package task
