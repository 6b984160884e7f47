package scenario

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/entryhost/requests"
	"github.com/lentilpoint/lentilpoint/entryhost/requests/claims"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/settings"
)

// The baselines of calls that run at most once.
const (
	// BaselineBlindRetry sends failed work to another server after any failure,
	// without a retry budget and without suspecting requests that crash servers.
	BaselineBlindRetry = "blind-retry"
	// BaselineNoReadBack treats an unanswered claim as held.
	BaselineNoReadBack = "no-read-back"
	// BaselineNoBatch commits each claim and outcome in a transaction of its own.
	BaselineNoBatch = "no-batch"
)

// atMostOnceScenarios are the experiments on calls that run at most once.
var atMostOnceScenarios = []Scenario{
	{
		Name: "order-retries", Description: "callers repeat orders with keys while plain servers die before and after execution",
		Baselines: []string{BaselineBlindRetry}, Run: runOrderRetries,
	},
	{
		Name: "order-host-deaths", Description: "entry hosts and plain servers die while orders with keys are repeated",
		Baselines: []string{BaselineBlindRetry}, Run: runOrderHostDeaths,
	},
	{
		Name: "platform-outage", Description: "the platform is down while orders are repeated; callers go on with tickets",
		Baselines: []string{BaselineBlindRetry, BaselineNoReadBack}, Run: runPlatformOutage,
	},
	{
		Name: "platform-lost-answers", Description: "the table loses requests and answers while orders are repeated",
		Baselines: []string{BaselineBlindRetry, BaselineNoReadBack}, Run: runLostAnswers,
	},
	{
		Name: "partition", Description: "one entry host is cut off from the platform while orders are repeated",
		Baselines: []string{BaselineBlindRetry, BaselineNoReadBack}, Run: runPartition,
	},
	{
		Name: "claim-latency", Description: "what claims add to orders at today's size with a healthy platform",
		Baselines: []string{BaselineNoBatch}, Run: runClaimLatency,
	},
}

// callOptions returns the options that replace the policies of calls by those of
// a baseline.
func callOptions(policy string) []fx.Option {
	switch policy {
	case BaselineBlindRetry:
		return []fx.Option{fx.Decorate(func() requests.CallPolicy { return requests.CallBlindRetry })}
	case BaselineNoReadBack:
		return []fx.Option{fx.Decorate(func() claims.ReadBack { return claims.ReadBackNever })}
	case BaselineNoBatch:
		return []fx.Option{fx.Decorate(func() claims.BatchLimit { return 1 })}
	default:
		return nil
	}
}

// repeatRun is a running cluster with the history of its claims.
type repeatRun struct {
	cluster *cluster.Cluster
	history *claimHistory
	random  *rand.Rand
}

// startRepeats starts 6 entry hosts and 4 plain servers, the size of today's installation.
// Each scenario passes its own randomSequence of the generator.
func startRepeats(ctx context.Context, parameters Parameters, randomSequence uint64, editSettings func(*settings.Settings)) (*repeatRun, error) {
	history := newClaimHistory(ctx)
	c, err := cluster.Start(ctx, cluster.Options{
		Seed: parameters.Seed, EntryHosts: 6, PlainServers: 4, Settings: editSettings,
		HostOptions: append(callOptions(parameters.Policy), history.decorateWriter()),
	})
	if err != nil {
		return nil, err
	}
	return &repeatRun{cluster: c, history: history, random: rand.New(rand.NewPCG(parameters.Seed, randomSequence))}, nil
}

// report checks the tries of a run and the history of its claims.
func (r *repeatRun) report(tries []tryResult) Report {
	orderTries := make([]check.OrderTry, len(tries))
	figures := map[string]float64{"tries": float64(len(tries))}
	var refusals []time.Duration
	for i, try := range tries {
		orderTries[i] = try.OrderTry
		switch {
		case try.AnsweredTry == try.Try:
			figures["answers_first"]++
		case try.AnsweredTry != "":
			figures["answers_repeated"]++
		case try.refused:
			figures["refused_"+string(try.reason)]++
		default:
			figures["connection_errors"]++
		}
		if try.reason == model.ReasonPlatformUnavailable {
			refusals = append(refusals, try.latency)
		}
	}
	operations := r.history.operations()
	figures["claim_operations"] = float64(len(operations))
	figures["table_writes"] = float64(r.cluster.Platform.Counts().Writes)
	figures["platform_refusal_p50_ms"] = milliseconds(Quantile(refusals, 0.5))
	figures["platform_refusal_max_ms"] = milliseconds(Quantile(refusals, 1))
	executions := r.cluster.Executions()
	figures["executions"] = float64(len(executions))
	violations := check.Repeats(orderTries, executions)
	violations.Add(check.Claims(operations))
	return Report{Violations: violations, Figures: figures}
}

// killPlainServers kills plain servers before or after they execute a call, and
// restarts each 40 ms later, until the context ends.
func killPlainServers(ctx context.Context, c *cluster.Cluster, random *rand.Rand) {
	for ctx.Err() == nil {
		plain := c.PlainServers[random.IntN(len(c.PlainServers))]
		before := random.IntN(2) == 0
		plain.SetFaults(standin.PlainFaults{Delay: 2 * time.Millisecond, DieBefore: before, DieAfter: !before})
		sleep(ctx, 40*time.Millisecond)
		plain.Revive()
	}
}

// minFirstAnswers is the number of tries that must be answered by their own
// execution in a run, so that the run checks enough; maxWaves bounds the waves of
// callers that are sent until then. Servers are killed by the clock, so on a busy
// machine more of them die before they answer.
const (
	minFirstAnswers = 61
	maxWaves        = 4
)

// countFirstAnswers returns the number of tries that were answered by their own
// execution.
func countFirstAnswers(tries []tryResult) int {
	count := 0
	for _, try := range tries {
		if try.AnsweredTry != "" && try.AnsweredTry == try.Try {
			count++
		}
	}
	return count
}

// runWithFaults runs waves of callers while faults are injected, until
// minFirstAnswers are reached.
func (r *repeatRun) runWithFaults(ctx context.Context, load repeatLoad, faults ...func(context.Context, *rand.Rand)) []tryResult {
	faultContext, cancel := context.WithCancel(ctx)
	defer cancel()
	plans := load.plan(r.random, 0)
	for _, fault := range faults {
		random := rand.New(rand.NewPCG(r.random.Uint64(), 0))
		go fault(faultContext, random)
	}
	tries := runRepeats(ctx, r.cluster, load, plans)
	for wave := 1; wave < maxWaves && countFirstAnswers(tries) < minFirstAnswers; wave++ {
		tries = append(tries, runRepeats(ctx, r.cluster, load, load.plan(r.random, wave))...)
	}
	return tries
}

func (r *repeatRun) killServers(ctx context.Context, random *rand.Rand) {
	killPlainServers(ctx, r.cluster, random)
}

func runOrderRetries(ctx context.Context, parameters Parameters) (Report, error) {
	run, err := startRepeats(ctx, parameters, 30, nil)
	if err != nil {
		return Report{}, err
	}
	defer run.cluster.Stop()
	tries := run.runWithFaults(ctx, repeatLoad{count: 120, spread: 1500 * time.Millisecond, duplicates: 0.3}, run.killServers)
	return run.report(tries), nil
}

// runOrderHostDeaths kills two entry hosts, whose open claims stay in the table.
func runOrderHostDeaths(ctx context.Context, parameters Parameters) (Report, error) {
	run, err := startRepeats(ctx, parameters, 35, nil)
	if err != nil {
		return Report{}, err
	}
	defer run.cluster.Stop()
	killHosts := func(ctx context.Context, random *rand.Rand) {
		for _, host := range random.Perm(len(run.cluster.Hosts))[:2] {
			sleep(ctx, time.Duration(200+random.IntN(400))*time.Millisecond)
			parameters.progress("killing entry host %d", host)
			_ = run.cluster.Hosts[host].Kill()
		}
	}
	load := repeatLoad{count: 120, spread: 1500 * time.Millisecond, duplicates: 0.3}
	return run.report(run.runWithFaults(ctx, load, run.killServers, killHosts)), nil
}

func runPlatformOutage(ctx context.Context, parameters Parameters) (Report, error) {
	run, err := startRepeats(ctx, parameters, 31, nil)
	if err != nil {
		return Report{}, err
	}
	defer run.cluster.Stop()
	outage := func(ctx context.Context, random *rand.Rand) {
		sleep(ctx, time.Duration(200+random.IntN(300))*time.Millisecond)
		run.cluster.Platform.SetFaults(standin.PlatformFaults{Down: true})
		sleep(ctx, time.Second)
		run.cluster.Platform.SetFaults(standin.PlatformFaults{})
	}
	load := repeatLoad{count: 120, spread: 1500 * time.Millisecond, duplicates: 0.2, tickets: true}
	return run.report(run.runWithFaults(ctx, load, outage, run.killServers)), nil
}

func runLostAnswers(ctx context.Context, parameters Parameters) (Report, error) {
	run, err := startRepeats(ctx, parameters, 32, nil)
	if err != nil {
		return Report{}, err
	}
	defer run.cluster.Stop()
	run.cluster.Platform.SetFaults(standin.PlatformFaults{LoseAnswers: 0.3, LoseRequests: 0.15})
	load := repeatLoad{count: 120, spread: 1500 * time.Millisecond, duplicates: 0.3}
	return run.report(run.runWithFaults(ctx, load, run.killServers)), nil
}

func runPartition(ctx context.Context, parameters Parameters) (Report, error) {
	var relay *standin.Relay
	run, err := startRepeats(ctx, parameters, 33, func(values *settings.Settings) {
		if values.HostID != "entry-0" {
			return
		}
		if started, err := standin.StartRelay(strings.TrimPrefix(values.PlatformURL, "http://")); err == nil {
			relay = started
			values.PlatformURL = "http://" + relay.Address()
		}
	})
	if err != nil {
		return Report{}, err
	}
	defer run.cluster.Stop()
	if relay == nil {
		return Report{}, Error.New("the relay did not start")
	}
	defer relay.Close()
	partition := func(ctx context.Context, random *rand.Rand) {
		sleep(ctx, time.Duration(100+random.IntN(200))*time.Millisecond)
		relay.Partition(true)
		sleep(ctx, 1500*time.Millisecond)
		relay.Partition(false)
	}
	load := repeatLoad{count: 120, spread: 1500 * time.Millisecond, duplicates: 0.3, tickets: true}
	return run.report(run.runWithFaults(ctx, load, partition, run.killServers)), nil
}
