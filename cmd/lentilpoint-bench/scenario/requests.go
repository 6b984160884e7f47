package scenario

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/entryhost/requests"
	"github.com/lentilpoint/lentilpoint/model"
)

// The baselines of recovery.
const (
	// BaselineRestart forgets the ledger and starts the generation again.
	BaselineRestart = "restart"
	// BaselineNoResume ends the request with the first attempt.
	BaselineNoResume = "no-resume"
)

// requestScenarios are the experiments on the request path.
var requestScenarios = []Scenario{
	{
		Name: "engine-death", About: "engines are killed in the middle of streams",
		Baselines: []string{BaselineRestart, BaselineNoResume}, Run: runEngineDeath,
	},
}

// hostOptions returns the options that put a recovery baseline in place.
func hostOptions(policy string) []fx.Option {
	switch policy {
	case BaselineRestart:
		return []fx.Option{fx.Decorate(func() requests.Recovery { return requests.RecoveryRestart })}
	case BaselineNoResume:
		return []fx.Option{fx.Decorate(func() requests.Recovery { return requests.RecoveryNone })}
	default:
		return nil
	}
}

var twoOrganisations = []model.OrganisationID{"bubbles", "wands"}

func runEngineDeath(ctx context.Context, parameters Parameters) (Report, error) {
	random := rand.New(rand.NewPCG(parameters.Seed, 10))
	c, err := cluster.Start(ctx, cluster.Options{
		Seed: parameters.Seed, EntryHosts: 2, Engines: 6, HostOptions: hostOptions(parameters.Policy),
	})
	if err != nil {
		return Report{}, err
	}
	defer c.Stop()
	load := generationLoad{count: 40, tokens: 300, promptWords: 40, spread: time.Second, organisations: twoOrganisations}
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		killEngines(ctx, c, random.IntN(3), 4, parameters)
	}()
	results := runGenerations(ctx, c, load.plan(random))
	<-faults
	return Report{
		Violations: tokenViolations(results, cluster.VersionOne, check.Whole),
		Figures:    recoveryFigures(c, results),
	}, nil
}

// killEngines kills engines one after another and starts each again.
func killEngines(ctx context.Context, c *cluster.Cluster, first, count int, parameters Parameters) {
	for i := range count {
		select {
		case <-ctx.Done():
			return
		case <-time.After(400 * time.Millisecond):
		}
		engine := c.Engines[(first+i)%len(c.Engines)]
		parameters.progress("killing %s", engine.ID())
		engine.Die()
		time.AfterFunc(300*time.Millisecond, engine.Revive)
	}
}

// recoveryFigures sums up latency and extra work of a run.
func recoveryFigures(c *cluster.Cluster, results []generationResult) map[string]float64 {
	var gaps []time.Duration
	var delivered, finished int
	for _, result := range results {
		gaps = append(gaps, result.stream.LongestGap())
		delivered += len(result.stream.Tokens)
		if result.stream.Finished {
			finished++
		}
	}
	var decoded, prefilled int
	for _, attempt := range c.Attempts() {
		decoded += attempt.Decoded
		prefilled += attempt.Prefilled
	}
	return map[string]float64{
		"generations":          float64(len(results)),
		"generations_finished": float64(finished),
		"longest_gap_p95_ms":   milliseconds(Quantile(gaps, 0.95)),
		"longest_gap_max_ms":   milliseconds(Quantile(gaps, 1)),
		"tokens_delivered":     float64(delivered),
		"tokens_decoded":       float64(decoded),
		"tokens_prefilled":     float64(prefilled),
	}
}
