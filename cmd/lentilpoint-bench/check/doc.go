// Package check finds broken guarantees in recorded histories. Checkers are
// pure functions of the history and the stand-ins' execution logs.
package check
