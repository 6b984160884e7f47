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
	// shownAfter is the number of attempts that a fault must have hit before it
	// counts as observable. The test needs 4 failed or 7 slow requests.
	shownAfter = 8
	// withdrawnWithin is the time after which no new request may reach a bad version.
	withdrawnWithin = 2 * time.Second
)

func (r *moveRun) effects() []standin.Effect {
	var effects []standin.Effect
	for _, engine := range r.c.Engines {
		effects = append(effects, engine.Effects()...)
	}
	return effects
}

// settle waits until every engine holds only the version, and counts those that
// do not.
func (r *moveRun) settle(ctx context.Context, version string) int {
	wrong := 0
	r.await(ctx, settleLimit, func() bool {
		wrong = 0
		for _, engine := range r.c.Engines {
			if !slices.Equal(engine.Load().Versions, []string{version}) {
				wrong++
			}
		}
		return wrong == 0
	})
	return wrong
}

// finish checks what holds for every move and returns the report.
func (r *moveRun) finish(ctx context.Context, sent int) Report {
	move := r.move()
	version := cluster.VersionOne
	if move.State == model.MoveDone {
		version = versionTwo
	}
	violations := check.Violations{}
	if wrong := r.settle(ctx, version); wrong > 0 {
		violations[check.WrongVersions] = wrong
	}
	effects := r.effects()
	acts := r.hosts.acts()
	violations.Add(check.Acts(acts))
	violations.Add(check.Effects(effects, controlPolicy("").Orders.MaxLoading))
	r.parameters.progress("move %s: %s", move.State, move.Reason)
	return Report{Violations: violations, Figures: map[string]float64{
		"requests":      float64(sent),
		"orders":        float64(len(acts)),
		"orders_effect": float64(len(effects)),
		"late_orders":   float64(lateOrders(effects)),
		"loads_at_once": float64(check.LoadsOverlap(effects)),
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

// duration is the time until the last revision of the move.
func (r *moveRun) duration() time.Duration {
	records := r.records()
	return records[len(records)-1].At.Sub(r.started)
}

// checkGood adds the rules for a good version.
func (r *moveRun) checkGood(report Report) {
	whole, reached := r.reached(len(controlPolicy("").Plan.Shares) - 1)
	if r.move().State != model.MoveDone || !reached || whole.After(r.started.Add(moveTimeLimit)) {
		report.Violations[check.UnfinishedMoves]++
	}
}

// checkBad adds the rules for a bad version that may receive this share of the
// requests.
func (r *moveRun) checkBad(report Report, limit float64) {
	if r.move().State != model.MoveWithdrawn {
		report.Violations[check.KeptBadVersions]++
	}
	seen := make(map[int64]bool)
	late, faulty := 0, 0
	var shown, last time.Time
	for _, attempt := range r.c.Attempts() {
		if attempt.Version != versionTwo || attempt.Started.Before(r.onset) {
			continue
		}
		if attempt.Faulty {
			faulty++
		}
		if faulty == shownAfter && shown.IsZero() {
			shown = attempt.Started
		}
		if seen[attempt.Seed] {
			continue
		}
		seen[attempt.Seed] = true
		last = attempt.Started
		if !shown.IsZero() && attempt.Started.Sub(shown) > withdrawnWithin {
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
	if !shown.IsZero() {
		report.Figures["last_after_shown_ms"] = milliseconds(max(0, last.Sub(shown)))
	}
}
