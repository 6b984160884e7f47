package control

import (
	"fmt"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/model"
)

// MovePlan holds the stages of a version move and their timing.
type MovePlan struct {
	// Shares lists the new version's traffic share in each stage, in units of
	// model.FullShare. The last one is all traffic.
	Shares []int
	// StageHold is the length of a stage when there is enough time.
	StageHold time.Duration
	// MinStageHold is the minimum length of a stage. A move that cannot reach all
	// traffic by its deadline with stages of this length is withdrawn.
	MinStageHold time.Duration
	// MinSamples is the number of finished requests of the new version that a
	// stage waits for, up to twice the length of the stage.
	MinSamples int
	// OldVersionHold is how long the old version stays loaded after the last stage, so
	// that a fault that shows late can still be answered by a withdrawal.
	OldVersionHold time.Duration
	// Slack is the fraction of the time until the deadline that is reserved for
	// outages.
	Slack float64
	// FixedSteps advances the stages by time alone, whatever the evidence. It is a
	// baseline of the experiments.
	FixedSteps bool
}

// DefaultMovePlan returns the plan of the daemon.
func DefaultMovePlan() MovePlan {
	return MovePlan{
		Shares:         []int{50, 200, 500, 1_000, 2_500, 5_000, model.FullShare},
		StageHold:      10 * time.Minute,
		MinStageHold:   30 * time.Second,
		MinSamples:     20,
		OldVersionHold: 30 * time.Minute,
		Slack:          0.3,
	}
}

// StageShare returns the traffic share of a stage: 0 before the first stage, and
// all traffic after the last.
func (p MovePlan) StageShare(stage int) int {
	if stage < 0 {
		return 0
	}
	return p.Shares[min(stage, len(p.Shares)-1)]
}

// CurrentStage returns the stage in force, or -1 before the first.
func (p MovePlan) CurrentStage(service model.Service, move model.Move) int {
	for _, share := range service.Shares {
		if share.Version == move.To && share.Share > 0 {
			return move.Stage
		}
	}
	return -1
}

// StepKind is the kind of a decision about a move.
type StepKind int

// The kinds of decision.
const (
	StepStay StepKind = iota
	StepAdvance
	StepWithdraw
	StepFinish
)

// Step is a decision about a move.
type Step struct {
	Kind StepKind
	// Stage is the next stage for StepAdvance.
	Stage int
	// Reason is why the move ends, for StepWithdraw and StepFinish.
	Reason string
}

// StepInput is the state that a step is decided from.
type StepInput struct {
	Now     time.Time
	Move    model.Move
	Service model.Service
	// Since is when this holder first saw the stage in force.
	Since time.Time
	// Ready is the number of usable servers that hold the new version, and Needed
	// the number that the next stage requires.
	Ready  int
	Needed int
	// Samples counts the new version's finished requests in this stage.
	Samples int
	Verdict admission.Verdict
	// Suspicious is true if the evidence points to a fault but does not yet suffice
	// for a verdict.
	Suspicious bool
}

// DecideStep decides the next step of a move.
func DecideStep(plan MovePlan, input StepInput) Step {
	current := plan.CurrentStage(input.Service, input.Move)
	last := len(plan.Shares) - 1
	elapsed := input.Now.Sub(input.Since)
	if input.Verdict.Bad() && !plan.FixedSteps {
		return Step{Kind: StepWithdraw, Reason: input.Verdict.Reason}
	}
	if current >= last {
		if elapsed >= plan.OldVersionHold {
			return Step{Kind: StepFinish, Stage: last, Reason: "all traffic is on the new version and no fault showed while the old one was kept ready"}
		}
		return Step{Kind: StepStay}
	}
	remaining := input.Move.Deadline.Sub(input.Now)
	if needed := time.Duration(last-current-1) * plan.MinStageHold; remaining < needed {
		return Step{Kind: StepWithdraw, Reason: fmt.Sprintf("the move cannot finish by its deadline: %d stages are left and %s", last-current, remaining.Round(time.Second))}
	}
	hold := plan.stageDuration(remaining, last-current)
	if current < 0 {
		hold = 0
	}
	if elapsed < hold || input.Ready < input.Needed || !evidenceSufficient(plan, input, elapsed, hold) {
		return Step{Kind: StepStay}
	}
	return Step{Kind: StepAdvance, Stage: current + 1}
}

// maxSuspicionStageTimes bounds how long a suspicion that is neither cleared nor
// confirmed holds a stage, in stage lengths. Without a bound it could make a good
// move miss its deadline.
const maxSuspicionStageTimes = 4

// evidenceSufficient reports whether the evidence allows the next stage.
func evidenceSufficient(plan MovePlan, input StepInput, elapsed, hold time.Duration) bool {
	switch {
	case plan.FixedSteps:
		return true
	case input.Suspicious:
		return elapsed >= maxSuspicionStageTimes*hold
	default:
		return input.Samples >= plan.MinSamples || elapsed >= 2*hold
	}
}

// stageDuration returns the length of the current stage, given the remaining
// time until the deadline and the number of stages that must fit into it.
func (p MovePlan) stageDuration(remaining time.Duration, stages int) time.Duration {
	evenDuration := time.Duration((1 - p.Slack) * float64(remaining) / float64(stages))
	return max(p.MinStageHold, min(p.StageHold, evenDuration))
}

// MoveShares returns the shares of a service with the stage's share assigned to
// the new version. Versions that the move does not name keep theirs.
func MoveShares(service model.Service, move model.Move, share int) []model.VersionShare {
	total := 0
	shares := make([]model.VersionShare, 0, len(service.Shares)+1)
	for _, entry := range service.Shares {
		if entry.Version == move.From || entry.Version == move.To {
			total += entry.Share
			continue
		}
		shares = append(shares, entry)
	}
	newShare := total * share / model.FullShare
	for _, entry := range []model.VersionShare{{Version: move.From, Share: total - newShare}, {Version: move.To, Share: newShare}} {
		if entry.Share > 0 {
			shares = append(shares, entry)
		}
	}
	return shares
}
