// Package check finds violations of the daemon's guarantees in recorded
// histories. Its functions depend only on the history and on the execution logs
// of the stand-ins.
package check
