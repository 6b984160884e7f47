package scenario

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/model"
)

var doubleFaultScenarios = []Scenario{
	{
		Name: "double-fault", Description: "two faults drawn from the seed strike generations and keyed orders together",
		Baselines: []string{BaselineRestart, BaselineNoResume, BaselineBlindRetry}, Run: runDoubleFault,
	},
}

// fault is one fault that a run may draw. Function run injects it and returns
// when it has ended or, for a lasting fault, at once.
type fault struct {
	name string
	run  func(ctx context.Context, c *cluster.Cluster, random *rand.Rand)
}

// drawableFaults lists the faults of which each run draws two.
var drawableFaults = []fault{
	{"engines die", killEngines},
	{"an engine pauses and comes back", pauseEngine},
	{"connections to an engine go silent", silenceEngine},
	{"a plain server dies after it ran a call", killPlainServerAfterCall},
	{"a plain server dies before it runs a call", killPlainServerBeforeCall},
	{"the platform is out of reach", stopPlatform},
	{"answers of the platform are lost", losePlatformAnswers},
	{"the platform is slow", slowPlatform},
	{"an entry host dies", killEntryHost},
	{"an entry host drains", drainEntryHost},
	{"an engine leaves", markEngineLeaving},
}

// temporaryFaultDuration is the duration of a temporary fault.
const temporaryFaultDuration = 1500 * time.Millisecond

func runDoubleFault(ctx context.Context, parameters Parameters) (Report, error) {
	random := rand.New(rand.NewPCG(parameters.Seed, 12))
	c, err := cluster.Start(ctx, cluster.Options{
		Seed: parameters.Seed, EntryHosts: 3, Engines: 6, PlainServers: 3, Settings: sharedCursorKeys,
		HostOptions: append(recoveryOptions(parameters.Policy), callOptions(parameters.Policy)...),
	})
	if err != nil {
		return Report{}, err
	}
	defer c.Stop()
	load := generationLoad{count: 24, tokens: 300, promptWords: 30, spread: 1500 * time.Millisecond, organisations: twoOrganisations}
	planned := load.plan(random)
	orders := planOrders(random, 24, 2*time.Second, twoOrganisations)
	first, second := drawFaults(random)
	parameters.progress("faults: %s; %s", first.name, second.name)
	faultsDone := make(chan struct{}, 2)
	for i, chosen := range []fault{first, second} {
		faultRandom := rand.New(rand.NewPCG(parameters.Seed, uint64(100+i)))
		go func() {
			defer func() { faultsDone <- struct{}{} }()
			if sleep(ctx, time.Duration(faultRandom.Int64N(int64(time.Second)))) {
				chosen.run(ctx, c, faultRandom)
			}
		}()
	}
	orderResults := make(chan []check.OrderResult, 1)
	go func() { orderResults <- runKeyedOrders(ctx, c, orders) }()
	results := runReconnecting(ctx, c, planned, PolicyDefault)
	history := <-orderResults
	<-faultsDone
	<-faultsDone
	for _, result := range results {
		if fault := result.stream.Fault; fault != nil {
			parameters.progress("generation %d ended: %s: %s", result.plan.number, fault.Reason, fault.Message)
		}
	}
	violations := tokenViolations(results, cluster.VersionOne, check.CompleteTokens)
	violations.Add(check.Orders(history, c.Executions()))
	figures := recoveryFigures(c, results)
	figures["orders_answered"] = answeredOrders(history)
	return Report{Violations: violations, Figures: figures}, nil
}

// drawFaults draws two different faults.
func drawFaults(random *rand.Rand) (first, second fault) {
	i := random.IntN(len(drawableFaults))
	j := random.IntN(len(drawableFaults) - 1)
	if j >= i {
		j++
	}
	return drawableFaults[i], drawableFaults[j]
}

func killEngines(ctx context.Context, c *cluster.Cluster, random *rand.Rand) {
	injectDeaths(ctx, c, random, Parameters{})
}

func pauseEngine(ctx context.Context, c *cluster.Cluster, random *rand.Rand) {
	engine := c.Engines[random.IntN(len(c.Engines))]
	engine.Pause()
	sleep(ctx, temporaryFaultDuration)
	engine.Unpause()
}

func silenceEngine(_ context.Context, c *cluster.Cluster, random *rand.Rand) {
	c.Engines[random.IntN(len(c.Engines))].Silence()
}

func killPlainServerAfterCall(ctx context.Context, c *cluster.Cluster, random *rand.Rand) {
	killPlainServer(ctx, c, random, standin.PlainFaults{DieAfter: true})
}

func killPlainServerBeforeCall(ctx context.Context, c *cluster.Cluster, random *rand.Rand) {
	killPlainServer(ctx, c, random, standin.PlainFaults{DieBefore: true})
}

func killPlainServer(ctx context.Context, c *cluster.Cluster, random *rand.Rand, faults standin.PlainFaults) {
	plain := c.PlainServers[random.IntN(len(c.PlainServers))]
	plain.SetFaults(faults)
	sleep(ctx, temporaryFaultDuration)
	plain.SetFaults(standin.PlainFaults{})
	plain.Revive()
}

func stopPlatform(ctx context.Context, c *cluster.Cluster, _ *rand.Rand) {
	injectPlatformFaults(ctx, c, standin.PlatformFaults{Down: true})
}

func losePlatformAnswers(ctx context.Context, c *cluster.Cluster, _ *rand.Rand) {
	injectPlatformFaults(ctx, c, standin.PlatformFaults{LoseAnswers: 0.5, LoseRequests: 0.2})
}

func slowPlatform(ctx context.Context, c *cluster.Cluster, _ *rand.Rand) {
	injectPlatformFaults(ctx, c, standin.PlatformFaults{Delay: 300 * time.Millisecond})
}

func injectPlatformFaults(ctx context.Context, c *cluster.Cluster, faults standin.PlatformFaults) {
	c.Platform.SetFaults(faults)
	sleep(ctx, temporaryFaultDuration)
	c.Platform.SetFaults(standin.PlatformFaults{})
}

func killEntryHost(_ context.Context, c *cluster.Cluster, random *rand.Rand) {
	_ = c.Hosts[random.IntN(len(c.Hosts))].Kill()
}

func drainEntryHost(ctx context.Context, c *cluster.Cluster, random *rand.Rand) {
	_ = c.Hosts[random.IntN(len(c.Hosts))].Stop(ctx)
}

func markEngineLeaving(_ context.Context, c *cluster.Cluster, random *rand.Rand) {
	c.SetLeaving(c.Engines[random.IntN(len(c.Engines))].ID(), true)
}

// orderRetryInterval is the wait of a caller between two tries of an order.
const orderRetryInterval = 150 * time.Millisecond

// runKeyedOrders sends each order with its own idempotency key until it is
// answered or the caller has used all its tries.
func runKeyedOrders(ctx context.Context, c *cluster.Cluster, planned []plannedOrder) []check.OrderResult {
	results := make(chan check.OrderResult, len(planned))
	for _, plan := range planned {
		go func() {
			client := cluster.NewClient(plan.organisation)
			defer client.Close()
			sleep(ctx, plan.delay)
			results <- orderUntilAnswered(ctx, c, client, plan)
		}()
	}
	collected := make([]check.OrderResult, 0, len(planned))
	for range planned {
		collected = append(collected, <-results)
	}
	return collected
}

// orderUntilAnswered repeats an order with the same key. The result is "not run"
// only if every try was refused as not run.
func orderUntilAnswered(ctx context.Context, c *cluster.Cluster, client *cluster.Client, plan plannedOrder) check.OrderResult {
	combined := check.OrderResult{Order: plan.name, Executed: model.ExecutedNo}
	for try := range maxReconnects {
		call := client.Call(ctx, c.URL(plan.host+try), "POST", "/orders", plan.name, "key-"+plan.name, []byte(`{"wands":12}`))
		result := orderResult(plan.name, call)
		combined.Tries = try + 1
		if result.Executed != model.ExecutedNo {
			combined.Executed = model.ExecutedUnknown
		}
		if result.Answered {
			combined.Answered, combined.AnsweredOrder = true, result.AnsweredOrder
			break
		}
		if !sleep(ctx, orderRetryInterval) {
			break
		}
	}
	return combined
}

func answeredOrders(history []check.OrderResult) float64 {
	var answered float64
	for _, result := range history {
		if result.Answered {
			answered++
		}
	}
	return answered
}
