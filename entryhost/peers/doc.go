// Package peers links the entry hosts by gossip and net/rpc calls. The membership
// task owns the table of known entry hosts and the facts that they share; one
// link task for each peer owns the connection to it; the listener task accepts
// net/rpc calls. The bytes of each gossip round are bounded, whatever the number
// of hosts.
package peers
