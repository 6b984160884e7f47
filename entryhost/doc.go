// Package entryhost is the root supervisor of one entry host. It builds the
// tasks, starts them as one tree and shuts them down gracefully. The folders
// below it mirror the tree.
package entryhost
