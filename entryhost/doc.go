// Package entryhost is the root supervisor of one entry host. It builds the
// tasks, starts them as a supervisor tree and shuts them down gracefully. The
// subdirectories correspond to the branches of the tree.
package entryhost
