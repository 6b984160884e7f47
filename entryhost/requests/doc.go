// Package requests runs one task for each caller request. A generation task
// owns the token ledger, the attempt number and the retry state of its
// request; a call task owns the state of one call to a plain service. The
// manager task owns the number of open requests and the drain state.
package requests
