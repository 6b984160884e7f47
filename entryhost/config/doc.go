// Package config keeps the configuration in force. The store task owns the
// highest accepted revision and the state built from all revisions up to it;
// the revision on a host only increases.
package config
