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
		Name: "double-fault", About: "two faults drawn from the seed strike generations and keyed orders together",
		Baselines: []string{BaselineRestart, BaselineNoResume, BaselineBlindRetry}, Run: runDoubleFault,
	},
}

// fault is one fault that the seed may draw. It ends before it returns.
type fault struct {
	name string
	run  func(ctx context.Context, c *cluster.Cluster, random *rand.Rand)
}

// faults lists what may strike, alone or together.
var faults = []fault{
	{"engines die", dieEngines},
	{"an engine pauses and comes back", pauseEngine},
	{"connections to an engine go silent", silenceEngine},
	{"a plain server dies after it ran a call", diePlainAfter},
	{"a plain server dies before it runs a call", diePlainBefore},
	{"the platform is out of reach", cutPlatform},
	{"answers of the platform are lost", platformLosesAnswers},
	{"the platform is slow", platformSlow},
	{"an entry host dies", dieEntryHost},
	{"an entry host drains", drainEntryHost},
	{"an engine leaves", leaveEngine},
}

// faultLength bounds how long a fault lasts.
const faultLength = 1500 * time.Millisecond

func runDoubleFault(ctx context.Context, parameters Parameters) (Report, error) {
	random := rand.New(rand.NewPCG(parameters.Seed, 12))
	c, err := cluster.Start(ctx, cluster.Options{
		Seed: parameters.Seed, EntryHosts: 3, Engines: 6, Plains: 3, Settings: sharedCursorKeys,
		HostOptions: append(hostOptions(parameters.Policy), callOptions(parameters.Policy)...),
	})
	if err != nil {
		return Report{}, err
	}
	defer c.Stop()
	load := generationLoad{count: 24, tokens: 300, promptWords: 30, spread: 1500 * time.Millisecond, organisations: twoOrganisations}
	planned := load.plan(random)
	orders := planOrders(random, 24, 2*time.Second, twoOrganisations)
	first, second := drawTwo(random)
	parameters.progress("faults: %s; %s", first.name, second.name)
	struck := make(chan struct{}, 2)
	for i, chosen := range []fault{first, second} {
		own := rand.New(rand.NewPCG(parameters.Seed, uint64(100+i)))
		go func() {
			defer func() { struck <- struct{}{} }()
			if sleep(ctx, time.Duration(own.Int64N(int64(time.Second)))) {
				chosen.run(ctx, c, own)
			}
		}()
	}
	orderResults := make(chan []check.OrderResult, 1)
	go func() { orderResults <- runKeyedOrders(ctx, c, orders) }()
	results := runReconnecting(ctx, c, planned, PolicyDefault)
	history := <-orderResults
	<-struck
	<-struck
	for _, result := range results {
		if fault := result.stream.Fault; fault != nil {
			parameters.progress("generation %d ended: %s: %s", result.plan.number, fault.Reason, fault.Message)
		}
	}
	violations := tokenViolations(results, cluster.VersionOne, check.Whole)
	violations.Add(check.Orders(history, c.Executions()))
	figures := recoveryFigures(c, results)
	figures["orders_answered"] = answeredOrders(history)
	return Report{Violations: violations, Figures: figures}, nil
}

func drawTwo(random *rand.Rand) (first, second fault) {
	i := random.IntN(len(faults))
	j := random.IntN(len(faults) - 1)
	if j >= i {
		j++
	}
	return faults[i], faults[j]
}

func dieEngines(ctx context.Context, c *cluster.Cluster, random *rand.Rand) {
	deaths(ctx, c, random, Parameters{})
}

func pauseEngine(ctx context.Context, c *cluster.Cluster, random *rand.Rand) {
	engine := c.Engines[random.IntN(len(c.Engines))]
	engine.Pause()
	sleep(ctx, faultLength)
	engine.Unpause()
}

func silenceEngine(_ context.Context, c *cluster.Cluster, random *rand.Rand) {
	c.Engines[random.IntN(len(c.Engines))].Silence()
}

func diePlainAfter(ctx context.Context, c *cluster.Cluster, random *rand.Rand) {
	diePlain(ctx, c, random, standin.PlainFaults{DieAfter: true})
}

func diePlainBefore(ctx context.Context, c *cluster.Cluster, random *rand.Rand) {
	diePlain(ctx, c, random, standin.PlainFaults{DieBefore: true})
}

func diePlain(ctx context.Context, c *cluster.Cluster, random *rand.Rand, faults standin.PlainFaults) {
	plain := c.Plains[random.IntN(len(c.Plains))]
	plain.SetFaults(faults)
	sleep(ctx, faultLength)
	plain.SetFaults(standin.PlainFaults{})
	plain.Revive()
}

func cutPlatform(ctx context.Context, c *cluster.Cluster, _ *rand.Rand) {
	strikePlatform(ctx, c, standin.PlatformFaults{Down: true})
}

func platformLosesAnswers(ctx context.Context, c *cluster.Cluster, _ *rand.Rand) {
	strikePlatform(ctx, c, standin.PlatformFaults{LoseAnswers: 0.5, LoseRequests: 0.2})
}

func platformSlow(ctx context.Context, c *cluster.Cluster, _ *rand.Rand) {
	strikePlatform(ctx, c, standin.PlatformFaults{Delay: 300 * time.Millisecond})
}

func strikePlatform(ctx context.Context, c *cluster.Cluster, faults standin.PlatformFaults) {
	c.Platform.SetFaults(faults)
	sleep(ctx, faultLength)
	c.Platform.SetFaults(standin.PlatformFaults{})
}

func dieEntryHost(_ context.Context, c *cluster.Cluster, random *rand.Rand) {
	_ = c.Hosts[random.IntN(len(c.Hosts))].Kill()
}

func drainEntryHost(ctx context.Context, c *cluster.Cluster, random *rand.Rand) {
	_ = c.Hosts[random.IntN(len(c.Hosts))].Stop(ctx)
}

func leaveEngine(_ context.Context, c *cluster.Cluster, random *rand.Rand) {
	c.SetLeaving(c.Engines[random.IntN(len(c.Engines))].ID(), true)
}

// orderPause is the pause of a caller between two tries of an order.
const orderPause = 150 * time.Millisecond

// runKeyedOrders sends each order with its own key until it is answered or its
// outcome is unknown for good.
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

// orderUntilAnswered repeats an order with the same key. Its claim is "not run"
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
		if !sleep(ctx, orderPause) {
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
