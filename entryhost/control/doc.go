// Package control holds the leases of services and carries out version moves.
// For each service a lease task owns the view of the lease row and a mover task
// owns the orders and the move in progress. A mover acts only while its lease
// is certainly held.
package control
