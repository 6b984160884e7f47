package scenario

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/model"
)

// The baselines of admission.
const (
	// BaselineFIFO serves in order of arrival, up to the fixed capacity of each
	// server, and refuses only at the deadline.
	BaselineFIFO = "fifo"
	// BaselineRoundRobin routes to the servers in rotation.
	BaselineRoundRobin = "round-robin"
	// BaselineRandom routes to a server drawn at random.
	BaselineRandom = "random"
	// BaselineNoLeavingCheck also routes to servers that are leaving.
	BaselineNoLeavingCheck = "no-leaving-check"
)

// The violations of the admission experiments and the bounds that they exceed.
const (
	violationServersLost   = "servers_lost_beyond_bound"
	violationGoodput       = "useful_work_below_bound"
	violationLateRefusal   = "late_refusals"
	violationFairness      = "fairness_below_bound"
	violationLeaving       = "work_to_leaving_server"
	violationRouting       = "routing_not_better"
	maxServersLost         = 3
	minUsefulShare         = 0.90
	minJainIndex           = 0.95
	leavingServerBound     = 3 * time.Second
	refusalDelayBound      = 100 * time.Millisecond
	smallEngineCapacity    = 8
	admissionTokenInterval = 5 * time.Millisecond
)

// admissionScenarios are the experiments on admission and routing.
var admissionScenarios = []Scenario{
	{
		Name: "crashing-request", Description: "a caller sends a request that crashes engines again and again",
		Baselines: []string{BaselineBlindRetry}, Run: runCrashingRequest,
	},
	{
		Name: "overload", Description: "callers send three times the capacity",
		Baselines: []string{BaselineFIFO}, Run: runOverload,
	},
	{
		Name: "noisy-organisation", Description: "one of ten equal organisations sends ten times its share",
		Baselines: []string{BaselineFIFO}, Run: runNoisyOrganisation,
	},
	{
		Name: "leaving-server", Description: "one engine is listed as leaving and another refuses work before the list says so",
		Baselines: []string{BaselineRoundRobin, BaselineNoLeavingCheck}, Run: runLeavingServer,
	},
	{
		Name: "routing", Description: "prompts share prefixes; compared with round-robin and random routing",
		Baselines: []string{BaselineRoundRobin, BaselineRandom}, Run: runRouting,
	},
}

// admissionOptions returns the options that replace the admission policies by
// those of a baseline.
func admissionOptions(policy string) []fx.Option {
	policies := admission.DefaultPolicies()
	switch policy {
	case BaselineFIFO:
		policies.FirstComeFirstServed, policies.FixedLimits = true, true
	case BaselineBlindRetry:
		policies.BlindRetry = true
	case BaselineRoundRobin:
		policies.Router = baselineRouter(admission.RoundRobinPicker{})
	case BaselineRandom:
		policies.Router = baselineRouter(admission.RandomPicker{})
	case BaselineNoLeavingCheck:
		policies.Router.Filters = withoutLeaving(policies.Router.Filters)
	default:
		return nil
	}
	return []fx.Option{fx.Decorate(func() admission.Policies { return policies })}
}

// baselineRouter considers only which servers are reachable, hold the version and
// have free capacity.
func baselineRouter(picker admission.Picker) admission.Router {
	return admission.Router{
		Filters: []admission.Filter{admission.ReachableFilter{}, admission.VersionFilter{}, admission.CapacityFilter{}},
		Picker:  picker,
	}
}

func withoutLeaving(filters []admission.Filter) []admission.Filter {
	var kept []admission.Filter
	for _, filter := range filters {
		if _, leaving := filter.(admission.LeavingFilter); !leaving {
			kept = append(kept, filter)
		}
	}
	return kept
}

func runCrashingRequest(ctx context.Context, parameters Parameters) (Report, error) {
	random := rand.New(rand.NewPCG(parameters.Seed, 20))
	engine := cluster.DefaultEngine()
	engine.RestartAfter = time.Second
	c, err := cluster.Start(ctx, cluster.Options{
		Seed: parameters.Seed, EntryHosts: 3, Engines: 18, Engine: engine,
		HostOptions: admissionOptions(parameters.Policy),
	})
	if err != nil {
		return Report{}, err
	}
	defer c.Stop()
	load := generationLoad{count: 200, tokens: 400, promptWords: 20, spread: 6 * time.Second, organisations: twoOrganisations}
	resendContext, cancel := context.WithTimeout(ctx, 7500*time.Millisecond)
	defer cancel()
	sends := make(chan crashSendCounts, 1)
	body := cluster.GenerationRequest{
		Model: string(cluster.ServiceAdvisor), Prompt: "please " + standin.CrashWord, MaxTokens: 100, Seed: random.Int64N(1 << 40),
	}
	go func() { sends <- resendUntilDone(resendContext, c, body) }()
	results := runGenerations(ctx, c, load.plan(random))
	sent := <-sends
	lost := 0
	for _, engine := range c.Engines {
		lost += engine.Crashes()
	}
	violations := tokenViolations(results, cluster.VersionOne, check.CompleteTokens)
	if lost > maxServersLost {
		violations[violationServersLost] = lost - maxServersLost
	}
	figures := recoveryFigures(c, results)
	figures["servers_lost"] = float64(lost)
	figures["neighbours_refused"] = float64(violations[check.CutAnswers])
	figures["crashing_sends"] = float64(sent.sends)
	figures["crashing_refused_as_suspect"] = float64(sent.suspect)
	return Report{Violations: violations, Figures: figures}, nil
}

type crashSendCounts struct{ sends, suspect int }

// resendUntilDone sends a request repeatedly until the context ends, each time
// through the next entry host.
func resendUntilDone(ctx context.Context, c *cluster.Cluster, body cluster.GenerationRequest) crashSendCounts {
	client := cluster.NewClient(twoOrganisations[0])
	defer client.Close()
	var counts crashSendCounts
	for ctx.Err() == nil {
		stream := client.Generate(ctx, c.URL(counts.sends), body, "")
		if ctx.Err() != nil {
			return counts
		}
		counts.sends++
		if stream.Fault != nil && stream.Fault.Reason == model.ReasonSuspectRequest {
			counts.suspect++
		}
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
	return counts
}

func runLeavingServer(ctx context.Context, parameters Parameters) (Report, error) {
	random := rand.New(rand.NewPCG(parameters.Seed, 22))
	c, err := cluster.Start(ctx, cluster.Options{
		Seed: parameters.Seed, EntryHosts: 2, Engines: 6, HostOptions: admissionOptions(parameters.Policy),
	})
	if err != nil {
		return Report{}, err
	}
	defer c.Stop()
	load := generationLoad{count: 180, tokens: 120, promptWords: 20, spread: 5 * time.Second, organisations: twoOrganisations}
	leaving, draining := c.Engines[random.IntN(3)], c.Engines[3+random.IntN(3)]
	drainStarted := make(chan time.Time, 1)
	go func() {
		time.Sleep(time.Second)
		drainStarted <- time.Now()
		c.SetLeaving(leaving.ID(), true)
		draining.Drain()
		parameters.progress("%s is listed as leaving, %s refuses work", leaving.ID(), draining.ID())
	}()
	results := runGenerations(ctx, c, load.plan(random))
	bound := (<-drainStarted).Add(leavingServerBound)
	late := 0
	for _, attempt := range c.Attempts() {
		if attempt.Engine == leaving.ID() && attempt.Started.After(bound) {
			late++
		}
	}
	refused, refusedLate := draining.Refused(), 0
	for _, at := range refused {
		if at.After(bound) {
			refusedLate++
		}
	}
	violations := tokenViolations(results, cluster.VersionOne, check.CompleteTokens)
	if late > 0 {
		violations[violationLeaving] = late
	}
	figures := recoveryFigures(c, results)
	figures["new_work_after_3s"] = float64(late)
	figures["refused_by_draining"] = float64(len(refused))
	figures["refused_by_draining_after_3s"] = float64(refusedLate)
	return Report{Violations: violations, Figures: figures}, nil
}
