package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/model"
)

// plannedGeneration is one generation of a load, drawn before the run starts.
type plannedGeneration struct {
	number       int
	host         int
	organisation model.OrganisationID
	// delay is the time from the start of the run until the request is sent.
	delay time.Duration
	body  cluster.GenerationRequest
}

// generationLoad describes a load of generations.
type generationLoad struct {
	count int
	// tokens is the largest length of a generation; the smallest is half of it.
	tokens      int
	promptWords int
	// spread is the time over which the requests are sent.
	spread        time.Duration
	organisations []model.OrganisationID
}

// plan draws the generations of a load.
func (l generationLoad) plan(random *rand.Rand) []plannedGeneration {
	planned := make([]plannedGeneration, l.count)
	for i := range planned {
		planned[i] = plannedGeneration{
			number:       i,
			host:         random.IntN(1 << 16),
			organisation: l.organisations[random.IntN(len(l.organisations))],
			delay:        time.Duration(random.Int64N(int64(l.spread) + 1)),
			body: cluster.GenerationRequest{
				Model:     string(cluster.ServiceAdvisor),
				Prompt:    randomPrompt(random, i, l.promptWords),
				MaxTokens: l.tokens/2 + random.IntN(l.tokens/2+1),
				Seed:      random.Int64N(1 << 40),
			},
		}
	}
	return planned
}

// sleep waits and reports true, or false if the context ended first.
func sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// randomPrompt returns a prompt of the request's number and random words.
func randomPrompt(random *rand.Rand, number, words int) string {
	prompt := fmt.Sprintf("request %d asks:", number)
	for range words {
		prompt += fmt.Sprintf(" word%d", random.IntN(10_000))
	}
	return prompt
}

// generationResult is a generation with what its caller received.
type generationResult struct {
	plan   plannedGeneration
	stream cluster.Stream
}

// checkedAnswer returns the result in the form that package check reads.
func (r generationResult) checkedAnswer() check.Answer {
	return check.Answer{
		Request:  fmt.Sprint(r.plan.number),
		Tokens:   r.stream.Tokens,
		Finished: r.stream.Finished,
		Refused:  r.stream.Fault != nil,
	}
}

// expectedTokens returns the tokens of an undisturbed generation.
func (r generationResult) expectedTokens(version string) []enginewire.TokenID {
	prompt := r.plan.body.PromptTokens
	if len(prompt) == 0 {
		prompt = standin.Tokenize(r.plan.body.Prompt)
	}
	return standin.ExpectedTokens(prompt, r.plan.body.Seed, version, r.plan.body.MaxTokens)
}

// runGenerations sends the planned generations at their times and waits for all.
func runGenerations(ctx context.Context, c *cluster.Cluster, planned []plannedGeneration) []generationResult {
	results := make(chan generationResult, len(planned))
	clients := make(map[model.OrganisationID]*cluster.Client)
	for _, plan := range planned {
		if clients[plan.organisation] == nil {
			client := cluster.NewClient(plan.organisation)
			defer client.Close()
			clients[plan.organisation] = client
		}
	}
	for _, plan := range planned {
		go func() {
			select {
			case <-ctx.Done():
			case <-time.After(plan.delay):
			}
			stream := clients[plan.organisation].Generate(ctx, c.URL(plan.host), plan.body, "")
			results <- generationResult{plan: plan, stream: stream}
		}()
	}
	collected := make([]generationResult, 0, len(planned))
	for range planned {
		collected = append(collected, <-results)
	}
	return collected
}

// tokenCheck is check.Tokens or check.CompleteTokens.
type tokenCheck func(check.Answer, []enginewire.TokenID) check.Violations

// tokenViolations checks all results against one version.
func tokenViolations(results []generationResult, version string, rule tokenCheck) check.Violations {
	violations := check.Violations{}
	for _, result := range results {
		violations.Add(rule(result.checkedAnswer(), result.expectedTokens(version)))
	}
	return violations
}

// refusalViolations checks that generations which were refused as not run, each
// sent once, have no attempt in the engines' logs.
func refusalViolations(c *cluster.Cluster, results []generationResult) check.Violations {
	ran := make(map[check.Refusal]bool)
	for _, attempt := range c.Attempts() {
		ran[check.Refusal{PromptHash: attempt.PromptHash, Seed: attempt.Seed}] = true
	}
	var refused []check.Refusal
	for _, result := range results {
		if fault := result.stream.Fault; fault != nil && fault.Executed == model.ExecutedNo {
			prompt := result.plan.body.Prompt
			refused = append(refused, check.Refusal{PromptHash: standin.PromptHash(prompt), Seed: result.plan.body.Seed})
		}
	}
	return check.Refusals(refused, ran)
}

// plannedOrder is one non-idempotent order of a load.
type plannedOrder struct {
	name         string
	host         int
	organisation model.OrganisationID
	delay        time.Duration
}

func planOrders(random *rand.Rand, count int, spread time.Duration, organisations []model.OrganisationID) []plannedOrder {
	planned := make([]plannedOrder, count)
	for i := range planned {
		planned[i] = plannedOrder{
			name:         fmt.Sprintf("order-%d", i),
			host:         random.IntN(1 << 16),
			organisation: organisations[random.IntN(len(organisations))],
			delay:        time.Duration(random.Int64N(int64(spread) + 1)),
		}
	}
	return planned
}

// runOrders sends each order once, without a key, and returns the callers'
// results.
func runOrders(ctx context.Context, c *cluster.Cluster, planned []plannedOrder) []check.OrderResult {
	results := make(chan check.OrderResult, len(planned))
	for _, plan := range planned {
		go func() {
			select {
			case <-ctx.Done():
			case <-time.After(plan.delay):
			}
			client := cluster.NewClient(plan.organisation)
			defer client.Close()
			call := client.Call(ctx, c.URL(plan.host), "POST", "/orders", plan.name, "", []byte(`{"wands":12}`))
			results <- orderResult(plan.name, call)
		}()
	}
	collected := make([]check.OrderResult, 0, len(planned))
	for range planned {
		collected = append(collected, <-results)
	}
	return collected
}

func orderResult(order string, call cluster.CallResult) check.OrderResult {
	result := check.OrderResult{Order: order, Tries: 1, Executed: model.ExecutedUnknown}
	switch {
	case call.Fault != nil:
		result.Executed = call.Fault.Executed
	case call.Err == nil:
		result.Answered = true
		result.AnsweredOrder = call.Order
	}
	return result
}

var twoOrganisations = []model.OrganisationID{"bubbles", "wands"}
