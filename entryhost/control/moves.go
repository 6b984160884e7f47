package control

import (
	"fmt"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/model"
)

// MovePlan holds the stages of a version move and their times.
type MovePlan struct {
	// Shares are the stages in units of model.ShareWhole; the last is the whole.
	Shares []int
	// StageHold is how long a stage lasts when there is enough time.
	StageHold time.Duration
	// MinStage is the shortest stage. A move that cannot reach the whole by its
	// deadline with stages of this length is withdrawn.
	MinStage time.Duration
	// MinSamples is the number of finished requests of the new version that a
	// stage should have; it is waited for up to twice the stage's time.
	MinSamples int
	// OldHold is how long the old version stays ready after the last stage, until
	// a late fault would have shown.
	OldHold time.Duration
	// Slack is the part of the time before the deadline that is kept for outages.
	Slack float64
	// FixedSteps raises the share by time alone, without evidence. It is a
	// baseline of the experiments.
	FixedSteps bool
}

// DefaultMovePlan returns the plan of the daemon.
func DefaultMovePlan() MovePlan {
	return MovePlan{
		Shares:     []int{50, 200, 500, 1_000, 2_500, 5_000, model.ShareWhole},
		StageHold:  10 * time.Minute,
		MinStage:   30 * time.Second,
		MinSamples: 20,
		OldHold:    30 * time.Minute,
		Slack:      0.3,
	}
}

// Share returns the share of a stage; before the first it is 0 and after the
// last it is the whole.
func (p MovePlan) Share(stage int) int {
	if stage < 0 {
		return 0
	}
	return p.Shares[min(stage, len(p.Shares)-1)]
}

// Current returns the stage in force, or -1 before the first.
func (p MovePlan) Current(service model.Service, move model.Move) int {
	for _, share := range service.Shares {
		if share.Version == move.To && share.Share > 0 {
			return move.Stage
		}
	}
	return -1
}

// StepKind is what happens to a move.
type StepKind int

// The steps of a move.
const (
	StepStay StepKind = iota
	StepAdvance
	StepWithdraw
	StepFinish
)

// Step is a decision about a move.
type Step struct {
	Kind   StepKind
	Stage  int
	Reason string
}

// StepInput is the state from which a step is decided.
type StepInput struct {
	Now     time.Time
	Move    model.Move
	Service model.Service
	// Since is when this holder first saw the stage in force.
	Since time.Time
	// Ready and Needed count the servers that hold the new version and those
	// that the next stage needs.
	Ready  int
	Needed int
	// Samples counts the new version's finished requests in this stage.
	Samples int
	Verdict admission.Verdict
	// Suspicious tells that the evidence is on the way to a verdict.
	Suspicious bool
}

// DecideStep decides the next step of a move.
func DecideStep(plan MovePlan, input StepInput) Step {
	current := plan.Current(input.Service, input.Move)
	last := len(plan.Shares) - 1
	elapsed := input.Now.Sub(input.Since)
	if input.Verdict.Bad() && !plan.FixedSteps {
		return Step{Kind: StepWithdraw, Reason: input.Verdict.Reason}
	}
	if current >= last {
		if elapsed >= plan.OldHold {
			return Step{Kind: StepFinish, Stage: last, Reason: "all traffic is on the new version and no fault showed while the old one was kept ready"}
		}
		return Step{Kind: StepStay}
	}
	left := input.Move.Deadline.Sub(input.Now)
	if needed := time.Duration(last-current-1) * plan.MinStage; left < needed {
		return Step{Kind: StepWithdraw, Reason: fmt.Sprintf("the move cannot finish by its deadline: %d stages are left and %s", last-current, left.Round(time.Second))}
	}
	hold := plan.hold(left, last-current)
	if current < 0 {
		hold = 0
	}
	if elapsed < hold || input.Ready < input.Needed || !trusted(plan, input, elapsed, hold) {
		return Step{Kind: StepStay}
	}
	return Step{Kind: StepAdvance, Stage: current + 1}
}

// suspicionHolds is the number of stage times after which a suspicion that was
// neither cleared nor confirmed no longer keeps a move from its deadline.
const suspicionHolds = 4

// trusted reports whether the evidence allows more traffic.
func trusted(plan MovePlan, input StepInput, elapsed, hold time.Duration) bool {
	switch {
	case plan.FixedSteps:
		return true
	case input.Suspicious:
		return elapsed >= suspicionHolds*hold
	default:
		return input.Samples >= plan.MinSamples || elapsed >= 2*hold
	}
}

// hold returns the time of the present stage, from the time that is left until
// the deadline for it and the stages after it.
func (p MovePlan) hold(left time.Duration, stages int) time.Duration {
	even := time.Duration((1 - p.Slack) * float64(left) / float64(stages))
	return max(p.MinStage, min(p.StageHold, even))
}

// MoveShares returns the shares of a service with the stage's share on the new
// version. Versions that the move does not name keep theirs.
func MoveShares(service model.Service, move model.Move, share int) []model.VersionShare {
	whole := 0
	shares := make([]model.VersionShare, 0, len(service.Shares)+1)
	for _, entry := range service.Shares {
		if entry.Version == move.From || entry.Version == move.To {
			whole += entry.Share
			continue
		}
		shares = append(shares, entry)
	}
	moved := whole * share / model.ShareWhole
	for _, entry := range []model.VersionShare{{Version: move.From, Share: whole - moved}, {Version: move.To, Share: moved}} {
		if entry.Share > 0 {
			shares = append(shares, entry)
		}
	}
	return shares
}
