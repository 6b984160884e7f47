// Package backends connects an entry host to backend servers. The pool task
// owns the set of server tasks. Each server task owns the transport of its
// server, its load report and its cache-event position. Each open stream or
// exchange is a task of its own that owns one connection.
package backends
