package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
)

const (
	// SlowClaims is the violation that claims add more than claimLatencyBound, or
	// that an order with a key was not answered.
	SlowClaims = "slow_claims"
	// claimLatencyBound is the highest latency that batching may add, as the
	// design page states it.
	claimLatencyBound = 50 * time.Millisecond
	// tableDelay is the time of one transaction on a healthy platform: a round
	// trip between the data centres of one installation and the processing in the
	// table.
	tableDelay = 5 * time.Millisecond
)

// runClaimLatency sends orders alternately with and without keys, at 40 orders/s
// on each of 7 entry hosts, and compares their latency.
func runClaimLatency(ctx context.Context, parameters Parameters) (Report, error) {
	c, err := cluster.Start(ctx, cluster.Options{
		Seed: parameters.Seed, EntryHosts: 7, PlainServers: 4, HostOptions: callOptions(parameters.Policy),
	})
	if err != nil {
		return Report{}, err
	}
	defer c.Stop()
	c.Platform.SetFaults(standin.PlatformFaults{Delay: tableDelay})
	for _, plain := range c.PlainServers {
		plain.SetFaults(standin.PlainFaults{Delay: 5 * time.Millisecond})
	}
	const count = 1120
	const spread = 4 * time.Second
	writesBefore := c.Platform.Counts().Writes
	keyed, unkeyed := measureOrders(ctx, c, rand.New(rand.NewPCG(parameters.Seed, 34)), count, spread)
	added := Quantile(keyed, 0.95) - Quantile(unkeyed, 0.95)
	violations := check.Violations{}
	if added > claimLatencyBound || len(keyed) < count/2 {
		violations[SlowClaims]++
	}
	return Report{Violations: violations, Figures: map[string]float64{
		"keyed_orders":       float64(len(keyed)),
		"keyed_p50_ms":       milliseconds(Quantile(keyed, 0.5)),
		"keyed_p95_ms":       milliseconds(Quantile(keyed, 0.95)),
		"unkeyed_p50_ms":     milliseconds(Quantile(unkeyed, 0.5)),
		"unkeyed_p95_ms":     milliseconds(Quantile(unkeyed, 0.95)),
		"added_p50_ms":       milliseconds(Quantile(keyed, 0.5) - Quantile(unkeyed, 0.5)),
		"added_p95_ms":       milliseconds(added),
		"table_writes_per_s": float64(c.Platform.Counts().Writes-writesBefore) / spread.Seconds(),
	}}, nil
}

// timedOrder is the latency of one order.
type timedOrder struct {
	keyed    bool
	answered bool
	latency  time.Duration
}

// measureOrders sends the orders and returns the latencies of the answered ones,
// with and without keys.
func measureOrders(ctx context.Context, c *cluster.Cluster, random *rand.Rand, count int, spread time.Duration) (keyed, unkeyed []time.Duration) {
	client := cluster.NewClient("bubbles")
	defer client.Close()
	results := make(chan timedOrder, count)
	for i := range count {
		delay := time.Duration(random.Int64N(int64(spread)))
		host := random.IntN(1 << 16)
		go func() {
			sleep(ctx, delay)
			key := ""
			if i%2 == 0 {
				key = fmt.Sprintf("key-%d", i)
			}
			started := time.Now()
			status, _, err := postOrder(ctx, client, c.URL(host), fmt.Sprintf("order-%d", i), key)
			results <- timedOrder{keyed: key != "", answered: err == nil && status == 200, latency: time.Since(started)}
		}()
	}
	for range count {
		result := <-results
		switch {
		case !result.answered:
		case result.keyed:
			keyed = append(keyed, result.latency)
		default:
			unkeyed = append(unkeyed, result.latency)
		}
	}
	return keyed, unkeyed
}
