// Package explain builds a page from the events of a request, a move or an
// organisation. The page tells a manager, in terms that need no knowledge of the
// code, what happened, why, what the system did and what to do. The package
// performs no I/O.
package explain
