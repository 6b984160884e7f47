package scenario

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/model"
)

const (
	prefixGroups       = 12
	prefixTokens       = 24 * enginewire.PrefixBlockTokens
	suffixTokens       = enginewire.PrefixBlockTokens
	routingGenerations = 360
	routingSpread      = 3 * time.Second
	routingMaxTokens   = 40
	// routingWarmUp excludes the first prompts of each group from the latency,
	// because no engine has their prefix in its cache.
	routingWarmUp = time.Second
	// routingCacheBlocks is the size of each engine's prefix cache in blocks,
	// that of 9 of the 12 prefixes.
	routingCacheBlocks = 216
	// routingPrefillRate is the number of prompt tokens that an engine handles in
	// one step.
	routingPrefillRate = 8
	routingEngines     = 6
	routingEntryHosts  = 2
)

// routingFigures are the figures and violations of one policy.
type routingFigures struct {
	hitRate       float64
	firstTokenP95 time.Duration
	violations    check.Violations
}

func runRouting(ctx context.Context, parameters Parameters) (Report, error) {
	figures := make(map[string]float64)
	violations := check.Violations{}
	measured := make(map[string]routingFigures)
	for _, policy := range []string{parameters.Policy, BaselineRoundRobin, BaselineRandom} {
		if _, done := measured[policy]; done {
			continue
		}
		result, err := measureRouting(ctx, parameters.Seed, policy)
		if err != nil {
			return Report{}, err
		}
		parameters.progress("%s: hit rate %.2f, first token p95 %s", policy, result.hitRate, result.firstTokenP95)
		measured[policy] = result
		violations.Add(result.violations)
		figures["hit_rate_"+policy] = result.hitRate
		figures["first_token_p95_ms_"+policy] = milliseconds(result.firstTokenP95)
	}
	chosen := measured[parameters.Policy]
	for _, baseline := range []string{BaselineRoundRobin, BaselineRandom} {
		other := measured[baseline]
		if chosen.hitRate <= other.hitRate || chosen.firstTokenP95 >= other.firstTokenP95 {
			violations[violationRouting]++
		}
	}
	return Report{Violations: violations, Figures: figures}, nil
}

// measureRouting sends prompts of prefixGroups groups, each with a common prefix.
// The cache of one engine is too small for the prefixes of all groups.
func measureRouting(ctx context.Context, seed uint64, policy string) (routingFigures, error) {
	random := rand.New(rand.NewPCG(seed, 24))
	engine := cluster.DefaultEngine()
	engine.CacheBlocks = routingCacheBlocks
	engine.PrefillRate = routingPrefillRate
	c, err := cluster.Start(ctx, cluster.Options{
		Seed: seed, EntryHosts: routingEntryHosts, Engines: routingEngines, Engine: engine,
		DataCentres: []model.DataCentre{"jkt"}, HostOptions: admissionOptions(policy),
	})
	if err != nil {
		return routingFigures{}, err
	}
	defer c.Stop()
	load := generationLoad{
		count: routingGenerations, tokens: routingMaxTokens, spread: routingSpread, organisations: twoOrganisations,
	}
	planned := load.plan(random)
	groups := make([][]enginewire.TokenID, prefixGroups)
	for i := range groups {
		groups[i] = randomTokens(random, prefixTokens)
	}
	for i := range planned {
		prefix := groups[random.IntN(prefixGroups)]
		planned[i].body.PromptTokens = append(prefix[:prefixTokens:prefixTokens], randomTokens(random, suffixTokens)...)
	}
	results := runGenerations(ctx, c, planned)
	figures := routingFigures{violations: tokenViolations(results, cluster.VersionOne, check.CompleteTokens)}
	var first []time.Duration
	for _, result := range results {
		if len(result.stream.Arrivals) > 0 && result.plan.delay > routingWarmUp {
			first = append(first, result.stream.Arrivals[0].Sub(result.stream.Sent))
		}
	}
	figures.firstTokenP95 = Quantile(first, 0.95)
	prompt, prefilled := 0, 0
	for _, attempt := range c.Attempts() {
		prompt += attempt.PromptTokens
		prefilled += attempt.Prefilled
	}
	figures.hitRate = 1 - float64(prefilled)/float64(max(prompt, 1))
	return figures, nil
}

func randomTokens(random *rand.Rand, count int) []enginewire.TokenID {
	tokens := make([]enginewire.TokenID, count)
	for i := range tokens {
		tokens[i] = enginewire.TokenID(random.IntN(50_000))
	}
	return tokens
}
