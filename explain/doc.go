// Package explain turns the events of a request, a move or an organisation into
// a page that a manager can follow: what happened, why, what the system did and
// what to do. It is pure: events in, page out.
package explain
