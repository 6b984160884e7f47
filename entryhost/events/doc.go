// Package events records the decisions of an entry host as events. The journal
// task owns a bounded ring of events, answers queries about them and writes them
// in batches to the object store, so that they remain available after the host
// has died.
package events
