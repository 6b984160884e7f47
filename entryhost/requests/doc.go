// Package requests runs one task for each caller request. A generation task
// owns the token ledger, the attempt numbers and the retry state of its
// request; a call task owns the state of one call to a plain service. The
// manager task starts them, counts the open requests and refuses new ones while
// the entry host drains.
package requests
