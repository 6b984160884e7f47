// Package peers links the entry hosts. The membership task owns the table of
// known entry hosts and the facts they share; one link task for each peer owns
// the connection to it; the listener task accepts net/rpc calls. What is shared
// is bounded in bytes for each round, whatever the number of hosts.
package peers
