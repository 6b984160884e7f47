// Package operators serves the operator API: configuration, version moves, the
// status of entry hosts, and events. The server task owns the listening socket
// and the table of revisions that other hosts report. The command line shares the
// types in wire.go.
package operators
