// Package tickets issues and redeems idempotency keys without the platform. A
// ticket names the entry host and incarnation that issued it; only that
// incarnation executes its call, and the registry task keeps the outcome in
// memory until the ticket expires.
//
// A ticket saves both row writes of a claimed call. At the target size 25,000
// requests/s would need 50,000 row writes/s with claims, of the several hundred
// that the table handles; tickets need none. In return the outcome is lost with
// the entry host, after which it stays unknown.
package tickets
