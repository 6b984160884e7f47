// Package moves carries out version moves: traffic of a service goes to a new
// version in small shares, and the move is completed, or withdrawn when the
// version shows a fault. One host at a time holds a move by a conditional row of
// the store; all hosts report what they saw of both versions.
package moves

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

// Error is the class of errors of this package.
var Error = errs.Class("moves")

// ErrConflict reports that another host wrote the state meanwhile.
var ErrConflict = Error.New("the state of the move changed meanwhile; read it again")

// State is the agreed state of the latest move of a service.
type State struct {
	Service string
	Target  string
	// Order tells which of the operator's orders this is about.
	Order uint64
	Phase routing.Phase
	// Share is the part of the requests that go to the target.
	Share float64
	// Holder decides on the move. Beat grows while it lives.
	Holder string
	Beat   uint64
	// Version is that of the row, for the next conditional write.
	Version uint64
}

// Sample is what was seen of one version.
type Sample struct {
	Count  int
	Failed int
	// Took is the sum of the times to answers that were no failures.
	Took time.Duration
}

// add returns both samples together.
func (s Sample) add(other Sample) Sample {
	return Sample{Count: s.Count + other.Count, Failed: s.Failed + other.Failed, Took: s.Took + other.Took}
}

// Evidence is what one host saw of a move.
type Evidence struct {
	Host  string
	Order uint64
	// Target is of the version that the traffic moves to, Other of all others.
	Target Sample
	Other  Sample
}

// Store keeps states and evidence.
type Store interface {
	// ReadState returns the state of the service's latest move, or a zero one.
	ReadState(ctx context.Context, service string) (State, error)
	// WriteState replaces the state of the row version that it names, or returns
	// ErrConflict. Without an answer the write may still happen.
	WriteState(ctx context.Context, state State) error
	WriteEvidence(ctx context.Context, service string, evidence Evidence) error
	ReadEvidence(ctx context.Context, service string) ([]Evidence, error)
}

const (
	// roundInterval is the time between two rounds of an active move; a bad
	// version has to be left 5 s after its fault has shown.
	roundInterval = time.Second
	// callTimeout bounds the calls of one round.
	callTimeout = 900 * time.Millisecond
	// viewsSize bounds waiting views; the catalog waits for room.
	viewsSize = 8
)
