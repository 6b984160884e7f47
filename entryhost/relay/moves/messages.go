// Package moves carries out version moves. Small shares of a service's traffic go
// to the new version; the move is then completed, or withdrawn if the version is
// faulty. One host at a time, the holder, decides on a move by conditional writes
// to a row of the store. All hosts report their samples of both versions.
package moves

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("moves")

// ErrConflict reports that another host wrote the state since it was read.
var ErrConflict = Error.New("the state of the version move was changed by another host; read it again")

// ErrNewerOrder reports that the stored state is of an order that this host has not read.
var ErrNewerOrder = Error.New("the state is of a newer order than this host has read; wait for the order")

// State is the state of a service's latest move that all hosts follow.
type State struct {
	Service string
	Target  string
	// Order identifies the operator's order that started the move.
	Order uint64
	Phase routing.Phase
	// Share is the fraction of requests that go to the target, from 0 to 1.
	Share float64
	// RouteShares holds the shares of routes that need another one than Share.
	RouteShares map[string]float64
	// Handover is the number of decisions for which all traffic goes to the target while
	// the old servers still run.
	Handover int
	// LoadTest is the planned or past test of the target under the whole load.
	LoadTest LoadTest
	// Reason is why the move was withdrawn, or why the target is not proven yet.
	Reason string
	// Rejected holds what the moves of the service have shown about versions; nil if the
	// writer does not record it.
	Rejected routing.Rejections
	// Holder is the host that decides on the move. It increments Heartbeat in
	// each round; the other hosts detect its failure by an unchanged Heartbeat.
	Holder    string
	Heartbeat uint64
	// Elapsed is the time from the order to the last decision. A host that has restarted
	// learns from it how much of the move's duration is over.
	Elapsed time.Duration
	// Version is the version of the row, for the next conditional write.
	Version uint64
}

// stage returns the stage that hosts put in force, without the load test, whose times depend on
// the host.
func (s State) stage() routing.Stage {
	return routing.Stage{Service: s.Service, Target: s.Target, Order: s.Order, Phase: s.Phase, Share: s.Share, RouteShares: s.RouteShares, Rejected: s.Rejected}
}

// Peers reads the states that other hosts follow.
type Peers interface {
	// State returns the state of the service's latest move that another host follows, or
	// a zero State if no host that was asked follows one.
	State(ctx context.Context, service string) (State, error)
}

// StateRequest asks the mover for the state of the service's latest move that it follows.
type StateRequest struct {
	Service string
	Reply   task.Reply[State]
}

// Store persists states and evidence.
type Store interface {
	// ReadState returns the state of the service's latest move, or a zero State.
	ReadState(ctx context.Context, service string) (State, error)
	// WriteState replaces the state if the row still has state.Version, and
	// returns ErrConflict otherwise. After any other error the write may still
	// take effect.
	WriteState(ctx context.Context, state State) error
	// WriteEvidence replaces this host's evidence on the service.
	WriteEvidence(ctx context.Context, service string, evidence Evidence) error
	// ReadEvidence returns the evidence of all hosts on the service.
	ReadEvidence(ctx context.Context, service string) ([]Evidence, error)
}

const (
	// roundInterval is the time between two rounds of an active move. Traffic has
	// to leave a faulty version within 5 s of its fault becoming visible.
	roundInterval = time.Second
	// roundsTimeout bounds all store calls of one round of all active moves.
	roundsTimeout = 900 * time.Millisecond
	// joinTimeout bounds the queries for the states of moves after the start of a host.
	joinTimeout = 700 * time.Millisecond
	// requestsCapacity is the capacity for requests of peers, each of which asks once
	// for each service after its start.
	requestsCapacity = 64
	// viewsCapacity is the capacity for catalog views; a full mailbox blocks the
	// catalog.
	viewsCapacity = 8
)
