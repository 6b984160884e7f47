// Package platform holds the clients of the platform's services: the
// transactional table, the object store and the host list. The clients keep no
// state; the host list task owns the last list that was read.
package platform
