package scenario

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/entryhost/requests"
	"github.com/lentilpoint/lentilpoint/model"
)

// The baselines of recovery.
const (
	// BaselineRestart ignores the tokens already accepted and generates again from
	// the prompt.
	BaselineRestart = "restart"
	// BaselineNoResume ends the request when its first attempt is lost.
	BaselineNoResume = "no-resume"
)

var recoveryBaselines = []string{BaselineRestart, BaselineNoResume}

// recoveryScenarios are the experiments on the loss of engines and entry hosts.
var recoveryScenarios = []Scenario{
	{
		Name: "engine-death", Description: "engines are killed in the middle of streams, some in pairs",
		Baselines: recoveryBaselines, Run: engineScenario(injectDeaths),
	},
	{
		Name: "engine-pause", Description: "engines stop for seconds with open connections and come back",
		Baselines: recoveryBaselines, Run: engineScenario(injectPauses),
	},
	{
		Name: "engine-silent", Description: "open connections to engines go silent for good; new ones work",
		Baselines: recoveryBaselines, Run: engineScenario(injectSilences),
	},
	{
		Name: "engine-early-end", Description: "engines end open streams cleanly but early",
		Baselines: recoveryBaselines, Run: engineScenario(injectEarlyEnds),
	},
	{
		Name: "resume-eager", Description: "pauses and silences with resume_eager off and on, by latency and extra work",
		Run: runResumeEager,
	},
	{
		Name: "entry-host-death", Description: "entry hosts are killed, one together with an engine; callers reconnect elsewhere",
		Baselines: recoveryBaselines, Run: runEntryHostDeath,
	},
	{
		Name: "entry-host-drain", Description: "an entry host stops gracefully; the baselines kill it",
		Baselines: recoveryBaselines, Run: runEntryHostDrain,
	},
}

// recoveryOptions returns the options that replace the recovery mode by that of a
// baseline.
func recoveryOptions(policy string) []fx.Option {
	switch policy {
	case BaselineRestart:
		return []fx.Option{fx.Decorate(func() requests.Recovery { return requests.RecoveryRestart })}
	case BaselineNoResume:
		return []fx.Option{fx.Decorate(func() requests.Recovery { return requests.RecoveryNone })}
	default:
		return nil
	}
}

// recoveryLoad returns the load of the experiments. It lasts until after their
// last fault.
func recoveryLoad() generationLoad {
	return generationLoad{count: 40, tokens: 300, promptWords: 40, spread: time.Second, organisations: twoOrganisations}
}

// engineFault records a fault of one engine.
type engineFault struct {
	at     time.Time
	engine string
}

// engineFaults injects faults into engines and returns them.
type engineFaults func(ctx context.Context, c *cluster.Cluster, random *rand.Rand, parameters Parameters) []engineFault

// engineScenario returns a scenario's Run that sends recoveryLoad while faults
// are injected.
func engineScenario(inject engineFaults) func(context.Context, Parameters) (Report, error) {
	return func(ctx context.Context, parameters Parameters) (Report, error) {
		return runEngineFaults(ctx, parameters, inject, false)
	}
}

func runEngineFaults(ctx context.Context, parameters Parameters, inject engineFaults, eager bool) (Report, error) {
	random := rand.New(rand.NewPCG(parameters.Seed, 10))
	c, err := cluster.Start(ctx, cluster.Options{
		Seed: parameters.Seed, EntryHosts: 2, Engines: 6, HostOptions: recoveryOptions(parameters.Policy),
		Service: func(service *model.Service) { service.ResumeEager = eager },
	})
	if err != nil {
		return Report{}, err
	}
	defer c.Stop()
	planned := recoveryLoad().plan(random)
	injected := make(chan []engineFault, 1)
	go func() { injected <- inject(ctx, c, random, parameters) }()
	results := runGenerations(ctx, c, planned)
	faults := <-injected
	figures := recoveryFigures(c, results)
	addResumptionFigures(figures, resumptions(c, results, faults))
	return Report{Violations: tokenViolations(results, cluster.VersionOne, check.CompleteTokens), Figures: figures}, nil
}

// faultInterval is the time between the faults of one run.
const faultInterval = 400 * time.Millisecond

// injectIntoEngines applies a fault to count engines, one every faultInterval.
func injectIntoEngines(ctx context.Context, c *cluster.Cluster, random *rand.Rand, count int, apply func(*standin.Engine)) []engineFault {
	first := random.IntN(len(c.Engines))
	var faults []engineFault
	for i := range count {
		select {
		case <-ctx.Done():
			return faults
		case <-time.After(faultInterval):
		}
		engine := c.Engines[(first+i)%len(c.Engines)]
		faults = append(faults, engineFault{at: time.Now(), engine: engine.ID()})
		apply(engine)
	}
	return faults
}

// injectDeaths kills engines and restarts each 300 ms later. Every second time
// it kills another engine, drawn at random, 15 ms after the first, which
// interrupts generations during their recovery.
func injectDeaths(ctx context.Context, c *cluster.Cluster, random *rand.Rand, parameters Parameters) []engineFault {
	var pairs []engineFault
	count := 0
	faults := injectIntoEngines(ctx, c, random, 4, func(engine *standin.Engine) {
		parameters.progress("killing %s", engine.ID())
		killEngineFor(engine, 300*time.Millisecond)
		count++
		if count%2 == 0 {
			time.Sleep(15 * time.Millisecond)
			other := c.Engines[random.IntN(len(c.Engines))]
			parameters.progress("killing %s during the recovery", other.ID())
			pairs = append(pairs, engineFault{at: time.Now(), engine: other.ID()})
			killEngineFor(other, 300*time.Millisecond)
		}
	})
	return append(faults, pairs...)
}

func killEngineFor(engine *standin.Engine, down time.Duration) {
	engine.Die()
	time.AfterFunc(down, engine.Revive)
}

// injectPauses pauses engines for 2.5 s each, longer than any progress timeout.
func injectPauses(ctx context.Context, c *cluster.Cluster, random *rand.Rand, parameters Parameters) []engineFault {
	return injectIntoEngines(ctx, c, random, 2, func(engine *standin.Engine) {
		parameters.progress("pausing %s", engine.ID())
		engine.Pause()
		time.AfterFunc(2500*time.Millisecond, engine.Unpause)
	})
}

func injectSilences(ctx context.Context, c *cluster.Cluster, random *rand.Rand, parameters Parameters) []engineFault {
	return injectIntoEngines(ctx, c, random, 3, func(engine *standin.Engine) {
		parameters.progress("silencing the connections of %s", engine.ID())
		engine.Silence()
	})
}

func injectEarlyEnds(ctx context.Context, c *cluster.Cluster, random *rand.Rand, parameters Parameters) []engineFault {
	discard := false
	return injectIntoEngines(ctx, c, random, 4, func(engine *standin.Engine) {
		parameters.progress("ending the streams of %s", engine.ID())
		engine.EndStreams(discard)
		discard = !discard
	})
}

// runResumeEager runs pauses and silences with resume_eager off and on, all with
// the same seed.
func runResumeEager(ctx context.Context, parameters Parameters) (Report, error) {
	report := Report{Violations: check.Violations{}, Figures: make(map[string]float64)}
	settings := []struct {
		prefix string
		eager  bool
	}{{"cautious_", false}, {"eager_", true}}
	faults := []struct {
		name   string
		inject engineFaults
	}{{"pause_", injectPauses}, {"silent_", injectSilences}}
	for _, setting := range settings {
		for _, fault := range faults {
			result, err := runEngineFaults(ctx, parameters, fault.inject, setting.eager)
			if err != nil {
				return report, err
			}
			report.Violations.Add(result.Violations)
			for _, name := range []string{"resume_p50_ms", "resume_p95_ms", "resume_max_ms", "prefill_extra_tokens", "decode_extra_tokens"} {
				report.Figures[setting.prefix+fault.name+name] = result.Figures[name]
			}
		}
	}
	return report, nil
}
