// Package events keeps the decision records of an entry host. The journal task
// owns a bounded ring of events, answers queries about them and writes them in
// batches to the object store, so that they outlive the host.
package events
