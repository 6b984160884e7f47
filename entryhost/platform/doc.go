// Package platform holds the interfaces of the platform's services as the
// product's own API uses them: the transactional table, the object store and the
// host list. The clients are in the adapter of the platform and keep no state;
// the host list task owns the last list that was read.
package platform
