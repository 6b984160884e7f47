// Package control elects one entry host as the controller of each service, by a
// lease in the table service, and carries out version moves there. For each
// service a lease task owns the view of the lease row, and a mover task owns the
// orders to backend servers and the move in progress. A mover writes and sends
// orders only until LeasePolicy.Margin before the end of its lease.
package control
