package scenario

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/settings"
)

const (
	// maxReconnects bounds the tries of one caller for one request.
	maxReconnects = 20
	// reconnectInterval is the wait of a caller between two connections.
	reconnectInterval = 20 * time.Millisecond
)

// sharedCursorKeys gives all entry hosts the same cursor keys, so that callers
// can reconnect to any of them.
func sharedCursorKeys(values *settings.Settings) {
	values.CursorKeys = []string{"b=000102030405060708090a0b0c0d0e0f", "a=f0e0d0c0b0a090807060504030201000"}
}

// generateReconnecting sends one generation and reconnects to the next entry
// host when its connection is lost. The policy is that of the caller: by
// default it reconnects with Last-Event-ID; the restart baseline resends the
// request without it, and the no-resume baseline gives up.
func generateReconnecting(ctx context.Context, c *cluster.Cluster, client *cluster.Client, plan plannedGeneration, policy string) cluster.Stream {
	combined := cluster.Stream{Sent: time.Now()}
	for try := range maxReconnects {
		lastEventID := combined.LastEventID
		if policy == BaselineRestart {
			lastEventID = ""
		}
		part := client.Generate(ctx, c.URL(plan.host+try), plan.body, lastEventID)
		combined.Tokens = append(combined.Tokens, part.Tokens...)
		combined.Arrivals = append(combined.Arrivals, part.Arrivals...)
		combined.Finished, combined.Fault, combined.Err = part.Finished, part.Fault, part.Err
		if part.LastEventID != "" {
			combined.LastEventID = part.LastEventID
		}
		refusedByDraining := part.Fault != nil && part.Fault.Reason == model.ReasonDraining
		if part.Finished || (part.Fault != nil && !refusedByDraining) {
			return combined
		}
		if policy == BaselineNoResume && len(combined.Tokens) > 0 {
			return combined
		}
		select {
		case <-ctx.Done():
			return combined
		case <-time.After(reconnectInterval):
		}
	}
	return combined
}

// runReconnecting sends the planned generations at their times and waits for all.
func runReconnecting(ctx context.Context, c *cluster.Cluster, planned []plannedGeneration, policy string) []generationResult {
	results := make(chan generationResult, len(planned))
	for _, plan := range planned {
		go func() {
			client := cluster.NewClient(plan.organisation)
			defer client.Close()
			select {
			case <-ctx.Done():
			case <-time.After(plan.delay):
			}
			results <- generationResult{plan: plan, stream: generateReconnecting(ctx, c, client, plan, policy)}
		}()
	}
	collected := make([]generationResult, 0, len(planned))
	for range planned {
		collected = append(collected, <-results)
	}
	return collected
}

// hostFault is one fault of one entry host.
type hostFault struct {
	at   time.Time
	host int
}

func runEntryHostDeath(ctx context.Context, parameters Parameters) (Report, error) {
	return runHostFaults(ctx, parameters, func(ctx context.Context, c *cluster.Cluster, random *rand.Rand) []hostFault {
		var faults []hostFault
		for host := range 2 {
			sleep(ctx, 700*time.Millisecond)
			parameters.progress("killing entry host %d", host)
			faults = append(faults, hostFault{at: time.Now(), host: host})
			if host == 1 {
				engine := c.Engines[random.IntN(len(c.Engines))]
				parameters.progress("killing %s with it", engine.ID())
				killEngineFor(engine, time.Second)
			}
			_ = c.Hosts[host].Kill()
		}
		return faults
	})
}

func runEntryHostDrain(ctx context.Context, parameters Parameters) (Report, error) {
	return runHostFaults(ctx, parameters, func(ctx context.Context, c *cluster.Cluster, _ *rand.Rand) []hostFault {
		sleep(ctx, 700*time.Millisecond)
		fault := hostFault{at: time.Now(), host: 0}
		parameters.progress("stopping entry host 0")
		if parameters.Policy != PolicyDefault {
			_ = c.Hosts[0].Kill()
			return []hostFault{fault}
		}
		_ = c.Hosts[0].Stop(ctx)
		return []hostFault{fault}
	})
}

func runHostFaults(ctx context.Context, parameters Parameters, inject func(context.Context, *cluster.Cluster, *rand.Rand) []hostFault) (Report, error) {
	random := rand.New(rand.NewPCG(parameters.Seed, 12))
	c, err := cluster.Start(ctx, cluster.Options{
		Seed: parameters.Seed, EntryHosts: 4, Engines: 6, Settings: sharedCursorKeys,
	})
	if err != nil {
		return Report{}, err
	}
	defer c.Stop()
	planned := recoveryLoad().plan(random)
	injected := make(chan []hostFault, 1)
	go func() { injected <- inject(ctx, c, random) }()
	results := runReconnecting(ctx, c, planned, parameters.Policy)
	faults := <-injected
	figures := recoveryFigures(c, results)
	addLatencyFigures(figures, hostLossLatencies(c, results, faults))
	return Report{Violations: tokenViolations(results, cluster.VersionOne, check.CompleteTokens), Figures: figures}, nil
}

// hostLossLatencies returns, for each generation whose entry host was lost, the
// time without a token.
func hostLossLatencies(c *cluster.Cluster, results []generationResult, faults []hostFault) []time.Duration {
	var latencies []time.Duration
	for _, result := range results {
		for _, fault := range faults {
			if result.plan.host%len(c.Hosts) != fault.host {
				continue
			}
			if latency, interrupted := gapAround(result.stream.Arrivals, fault.at); interrupted {
				latencies = append(latencies, latency)
			}
		}
	}
	return latencies
}
