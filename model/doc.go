// Package model holds the value types that several parts of an entry host
// share: identifiers, services, organisations, version moves, hosts and the
// typed errors that callers and operators receive. It owns no state.
package model
