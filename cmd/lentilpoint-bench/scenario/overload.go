package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// overloadDeadline is the deadline of each generation of these experiments.
	overloadDeadline = 2 * time.Second
	// overloadMaxTokens is the largest length of a generation; the mean is three
	// quarters of it.
	overloadMaxTokens = 120
	overloadDuration  = 6 * time.Second
	// overloadWarmUp is the first part of overloadDuration, which is not measured.
	overloadWarmUp = 1500 * time.Millisecond
)

// startSmallCluster starts two engines of small capacity behind two entry hosts,
// so that few connections are enough to overload them.
func startSmallCluster(ctx context.Context, parameters Parameters, organisations []model.Organisation) (*cluster.Cluster, error) {
	engine := cluster.DefaultEngine()
	engine.Capacity = smallEngineCapacity
	engine.TokenInterval = admissionTokenInterval
	// A cancelled generation frees its slot immediately, because the callers of
	// these experiments never resume a stream.
	engine.ResumeGrace = 0
	return cluster.Start(ctx, cluster.Options{
		Seed: parameters.Seed, EntryHosts: 2, Engines: 2, Engine: engine, Organisations: organisations,
		Service:     func(service *model.Service) { service.DefaultDeadline = overloadDeadline },
		HostOptions: admissionOptions(parameters.Policy),
	})
}

// smallClusterRate returns how many generations of mean length the small cluster
// can serve per second.
func smallClusterRate() float64 {
	const meanTokens = overloadMaxTokens * 3 / 4
	return 2 * smallEngineCapacity / (meanTokens * admissionTokenInterval.Seconds())
}

// measuredWindow is the measured part of a run.
type measuredWindow struct {
	from, to time.Time
	// decodableTokens is the number of tokens that the engines could decode in it.
	decodableTokens int
}

// measureWindow reads the step counts of the engines after the warm-up and at
// the end of the load.
func measureWindow(c *cluster.Cluster) measuredWindow {
	steps := func() (time.Time, int) {
		sum := 0
		for _, engine := range c.Engines {
			sum += engine.Steps()
		}
		return time.Now(), sum
	}
	time.Sleep(overloadWarmUp)
	from, before := steps()
	time.Sleep(overloadDuration - overloadWarmUp)
	to, after := steps()
	return measuredWindow{from: from, to: to, decodableTokens: (after - before) * smallEngineCapacity}
}

// usefulTokens returns the number of a stream's tokens that arrived in the
// window; 0 for a stream that did not finish.
func (w measuredWindow) usefulTokens(stream cluster.Stream) int {
	if !stream.Finished {
		return 0
	}
	count := 0
	for _, at := range stream.Arrivals {
		if at.After(w.from) && !at.After(w.to) {
			count++
		}
	}
	return count
}

// runMeasured sends the planned generations and measures the window meanwhile.
func runMeasured(ctx context.Context, c *cluster.Cluster, planned []plannedGeneration) ([]generationResult, measuredWindow) {
	measured := make(chan measuredWindow, 1)
	go func() { measured <- measureWindow(c) }()
	results := runGenerations(ctx, c, planned)
	return results, <-measured
}

func runOverload(ctx context.Context, parameters Parameters) (Report, error) {
	random := rand.New(rand.NewPCG(parameters.Seed, 21))
	c, err := startSmallCluster(ctx, parameters, nil)
	if err != nil {
		return Report{}, err
	}
	defer c.Stop()
	load := generationLoad{
		count: int(3 * smallClusterRate() * overloadDuration.Seconds()), tokens: overloadMaxTokens, promptWords: 10,
		spread: overloadDuration, organisations: twoOrganisations,
	}
	results, measured := runMeasured(ctx, c, load.plan(random))
	violations := tokenViolations(results, cluster.VersionOne, check.Tokens)
	violations.Add(refusalViolations(c, results))
	useful, finished, cut, late := 0, 0, 0, 0
	var delays, waits []time.Duration
	for _, result := range results {
		useful += measured.usefulTokens(result.stream)
		switch {
		case result.stream.Finished:
			finished++
		case len(result.stream.Tokens) > 0:
			cut++
		case result.stream.Fault != nil:
			delays = append(delays, refusalDelay(result))
			waits = append(waits, result.stream.Ended.Sub(result.stream.Sent))
		}
	}
	for _, delay := range delays {
		if delay > refusalDelayBound {
			late++
		}
	}
	share := float64(useful) / float64(max(measured.decodableTokens, 1))
	if share < minUsefulShare {
		violations[violationGoodput] = 1
	}
	if late > 0 {
		violations[violationLateRefusal] = late
	}
	return Report{Violations: violations, Figures: map[string]float64{
		"generations":          float64(len(results)),
		"generations_finished": float64(finished),
		"cut_at_deadline":      float64(cut),
		"refused":              float64(len(delays)),
		"refused_after_p50_ms": milliseconds(Quantile(waits, 0.5)),
		"refused_after_p95_ms": milliseconds(Quantile(waits, 0.95)),
		"useful_share":         share,
		"refusal_delay_p95_ms": milliseconds(Quantile(delays, 0.95)),
		"refusal_delay_max_ms": milliseconds(Quantile(delays, 1)),
	}}, nil
}

// refusalDelay returns the time between the cause of a refusal and its arrival.
// The cause is the arrival of the request or, if the request waited in a queue,
// the latest time at which a free engine could still have met its deadline.
func refusalDelay(result generationResult) time.Duration {
	stream := result.stream
	sinceSent := stream.Ended.Sub(stream.Sent)
	if sinceSent <= refusalDelayBound {
		return sinceSent
	}
	work := time.Duration(result.plan.body.MaxTokens) * admissionTokenInterval
	latest := stream.Sent.Add(overloadDeadline - work)
	return max(stream.Ended.Sub(latest), 0)
}

func runNoisyOrganisation(ctx context.Context, parameters Parameters) (Report, error) {
	const count, noisyFactor, quietFactor = 10, 10, 1.5
	random := rand.New(rand.NewPCG(parameters.Seed, 23))
	organisations := make([]model.Organisation, count)
	for i := range organisations {
		organisations[i] = model.Organisation{ID: model.OrganisationID(fmt.Sprint("organisation-", i)), Weight: 1}
	}
	c, err := startSmallCluster(ctx, parameters, organisations)
	if err != nil {
		return Report{}, err
	}
	defer c.Stop()
	var planned []plannedGeneration
	fair := smallClusterRate() / count * overloadDuration.Seconds()
	for i, organisation := range organisations {
		factor := quietFactor
		if i == 0 {
			factor = noisyFactor
		}
		load := generationLoad{
			count: int(factor * fair), tokens: overloadMaxTokens, promptWords: 10,
			spread: overloadDuration, organisations: []model.OrganisationID{organisation.ID},
		}
		for _, plan := range load.plan(random) {
			plan.number = len(planned)
			if i > 0 {
				// The noisy organisation uses all hosts, each other one a single
				// host.
				plan.host = i
			}
			planned = append(planned, plan)
		}
	}
	results, measured := runMeasured(ctx, c, planned)
	violations := tokenViolations(results, cluster.VersionOne, check.Tokens)
	violations.Add(refusalViolations(c, results))
	tokens := make(map[model.OrganisationID]float64)
	for _, result := range results {
		tokens[result.plan.organisation] += float64(measured.usefulTokens(result.stream))
	}
	shares := make([]float64, 0, count)
	for _, organisation := range organisations {
		shares = append(shares, tokens[organisation.ID])
	}
	index := jainIndex(shares)
	parameters.progress("tokens by organisation: %v", shares)
	if index < minJainIndex {
		violations[violationFairness] = 1
	}
	return Report{Violations: violations, Figures: map[string]float64{
		"generations":  float64(len(results)),
		"jain_index":   index,
		"noisy_share":  shares[0] / max(sum(shares), 1),
		"useful_share": sum(shares) / float64(max(measured.decodableTokens, 1)),
	}}, nil
}

// jainIndex returns Jain's fairness index: 1 if all n values are equal, and 1/n
// if all but one are 0.
func jainIndex(values []float64) float64 {
	var squares float64
	for _, value := range values {
		squares += value * value
	}
	if squares == 0 {
		return 0
	}
	total := sum(values)
	return total * total / (float64(len(values)) * squares)
}

func sum(values []float64) float64 {
	var total float64
	for _, value := range values {
		total += value
	}
	return total
}
