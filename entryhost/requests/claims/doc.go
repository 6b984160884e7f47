// Package claims reserves idempotency keys in the platform's table before a
// call is dispatched. The writer task owns the claims and outcomes that wait
// and commits those of one entry host in batches. The sweeper task deletes keys
// whose retention is over.
//
// A claimed call costs two row writes, its claim and its outcome. Batches share
// one transaction, so that an entry host sends one transaction for each
// transactionInterval on average, whatever its rate of calls.
package claims
