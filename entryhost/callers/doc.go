// Package callers serves the caller API over HTTP: OpenAI-compatible
// generations and calls to plain services. net/http runs one goroutine for each
// caller connection; that goroutine owns the caller's socket and communicates
// with the request task by messages only.
package callers
