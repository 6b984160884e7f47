// Package claims reserves idempotency keys in the platform's table before a
// call is dispatched. The writer task owns the pending claims and outcomes of
// one entry host and commits them in batches. The sweeper task deletes keys
// whose retention is over.
//
// A claimed call costs two row writes, its claim and its outcome. The rows of a
// batch share one transaction, so that an entry host sends on average one
// transaction per transactionInterval, whatever its rate of calls.
package claims
