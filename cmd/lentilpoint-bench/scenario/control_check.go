package scenario

import (
	"context"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// observableAfterFaults is the number of faulty attempts after which a fault
	// counts as observable. The daemon's test of a version needs 4 failed or 7
	// slow requests.
	observableAfterFaults = 8
	// withdrawalBound is the time after a fault became observable from which no new
	// request may reach the bad version.
	withdrawalBound = 2 * time.Second
)

func (r *moveRun) effects() []standin.Effect {
	var effects []standin.Effect
	for _, engine := range r.c.Engines {
		effects = append(effects, engine.Effects()...)
	}
	return effects
}

// awaitVersion waits up to settleTimeout until every engine holds exactly the
// version, and returns the number of those that do not.
func (r *moveRun) awaitVersion(ctx context.Context, version string) int {
	mismatched := 0
	r.await(ctx, settleTimeout, func() bool {
		mismatched = 0
		for _, engine := range r.c.Engines {
			if !slices.Equal(engine.Load().Versions, []string{version}) {
				mismatched++
			}
		}
		return mismatched == 0
	})
	return mismatched
}

// checkEveryMove checks the guarantees of every move and returns the report.
func (r *moveRun) checkEveryMove(ctx context.Context, sent int) Report {
	move := r.move()
	version := cluster.VersionOne
	if move.State == model.MoveDone {
		version = versionTwo
	}
	violations := check.Violations{}
	if wrong := r.awaitVersion(ctx, version); wrong > 0 {
		violations[check.WrongVersions] = wrong
	}
	effects := r.effects()
	actions := r.hosts.takeLeaseActions()
	violations.Add(check.LeaseActions(actions))
	violations.Add(check.Effects(effects, controlPolicy("").Orders.MaxLoading))
	r.parameters.progress("move %s: %s", move.State, move.Reason)
	return Report{Violations: violations, Figures: map[string]float64{
		"requests":      float64(sent),
		"orders":        float64(len(actions)),
		"orders_effect": float64(len(effects)),
		"late_orders":   float64(lateOrders(effects)),
		"loads_at_once": float64(check.MaxConcurrentLoads(effects)),
		"move_seconds":  r.duration().Seconds(),
		"stage":         float64(move.Stage),
	}}
}

// lateOrders counts the orders that took effect after one with a newer fencing
// number on the same engine.
func lateOrders(effects []standin.Effect) int {
	newest := make(map[string]uint64)
	late := 0
	for _, effect := range effects {
		if effect.Order.Fencing < newest[effect.Engine] {
			late++
		}
		newest[effect.Engine] = max(newest[effect.Engine], effect.Order.Fencing)
	}
	return late
}

// duration returns the time from the start of the move to its last revision.
func (r *moveRun) duration() time.Duration {
	records := r.records()
	return records[len(records)-1].At.Sub(r.started)
}

// checkGood checks that a good version received all traffic by the deadline.
func (r *moveRun) checkGood(report Report) {
	completed, reached := r.stageReached(len(controlPolicy("").Plan.Shares) - 1)
	if r.move().State != model.MoveDone || !reached || completed.After(r.started.Add(moveTimeLimit)) {
		report.Violations[check.UnfinishedMoves]++
	}
}

// checkBad checks that a bad version was withdrawn in time and received at most
// the limit's share of the requests.
func (r *moveRun) checkBad(report Report, limit float64) {
	if r.move().State != model.MoveWithdrawn {
		report.Violations[check.KeptBadVersions]++
	}
	seen := make(map[int64]bool)
	late, faulty := 0, 0
	var observable, last time.Time
	for _, attempt := range r.c.Attempts() {
		if attempt.Version != versionTwo || attempt.Started.Before(r.faultStarted) {
			continue
		}
		if attempt.Faulty {
			faulty++
		}
		if faulty == observableAfterFaults && observable.IsZero() {
			observable = attempt.Started
		}
		if seen[attempt.Seed] {
			continue
		}
		seen[attempt.Seed] = true
		last = attempt.Started
		if !observable.IsZero() && attempt.Started.Sub(observable) > withdrawalBound {
			late++
		}
	}
	share := float64(len(seen)) / max(report.Figures["requests"], 1)
	if share > limit {
		report.Violations[check.BadShares]++
	}
	if late > 0 {
		report.Violations[check.LateToBad] = late
	}
	report.Figures["bad_share"] = share
	report.Figures["bad_requests"] = float64(len(seen))
	if !observable.IsZero() {
		report.Figures["last_after_shown_ms"] = milliseconds(max(0, last.Sub(observable)))
	}
}
