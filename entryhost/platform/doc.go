// Package platform defines the interfaces to the services of the platform: the
// transactional table, the object store and the host list. Their stateless clients
// are in the platform's adapter. The host list task polls the host list and owns
// the last list that was read.
package platform
