package check

import (
	"cmp"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/enginewire"
)

// LeaseAction is one action that an entry host took under a lease.
type LeaseAction struct {
	// Host is the number of the entry host.
	Host int
	// Fencing is the fencing number of its lease.
	Fencing uint64
	// Called and Returned bound the time in which the action took effect.
	Called   time.Time
	Returned time.Time
}

// fencingModel accepts a history whose actions can be ordered so that no
// fencing number follows a greater one.
var fencingModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		return input.(uint64) >= state.(uint64), input
	},
}

// LeaseActions checks that at most one lease holder acted at a time.
func LeaseActions(actions []LeaseAction) Violations {
	if len(actions) == 0 {
		return Violations{}
	}
	start := slices.MinFunc(actions, func(a, b LeaseAction) int { return a.Called.Compare(b.Called) }).Called
	operations := make([]porcupine.Operation, len(actions))
	for i, action := range actions {
		operations[i] = porcupine.Operation{
			ClientId: action.Host, Input: action.Fencing, Output: true,
			Call: action.Called.Sub(start).Nanoseconds(), Return: action.Returned.Sub(start).Nanoseconds(),
		}
	}
	if porcupine.CheckOperations(fencingModel, operations) {
		return Violations{}
	}
	return Violations{TwoHolders: 1}
}

// Effects checks that each order took effect at most once on each engine, and
// that at most limit engines loaded a version at the same time.
func Effects(effects []standin.Effect, limit int) Violations {
	violations := Violations{}
	counts := make(map[string]int)
	for _, effect := range effects {
		counts[effect.Engine+" "+effect.Order.ID]++
	}
	for _, count := range counts {
		if count > 1 {
			violations[DoubleOrders]++
		}
	}
	if MaxConcurrentLoads(effects) > limit {
		violations[LoadsAtOnce]++
	}
	return violations
}

// MaxConcurrentLoads returns the largest number of loads that ran at the same time.
func MaxConcurrentLoads(effects []standin.Effect) int {
	type edge struct {
		at    time.Time
		delta int
	}
	var edges []edge
	for _, effect := range effects {
		if effect.Order.Kind == enginewire.OrderLoad {
			edges = append(edges, edge{effect.Started, 1}, edge{effect.Finished, -1})
		}
	}
	slices.SortFunc(edges, func(a, b edge) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.delta, b.delta)) })
	running, largest := 0, 0
	for _, edge := range edges {
		running += edge.delta
		largest = max(largest, running)
	}
	return largest
}
