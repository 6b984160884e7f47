package slope

import (
	"context"
	"fmt"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
)

// Requests measures an entry host by the rate of short generations.
var Requests = Measurement{
	Name:    "requests",
	About:   "an entry host by the rate of generations of four tokens",
	Driver:  "requests a second",
	LeftOut: "long outputs, which slope streams has; losses",
	Sizes:   []int{10, 40, 70, 140, 210},
	Measure: measureRequests,
}

const (
	requestsSettle = 2 * time.Second
	requestsPeriod = 6 * time.Second
)

func measureRequests(ctx context.Context, size int, seed uint64) (map[string]float64, error) {
	return withHost(ctx, cluster.Options{Seed: seed, Engines: 8}, func(ctx context.Context, process *hostProcess) (map[string]float64, error) {
		client := cluster.NewClient("bubbles")
		defer client.Close()
		finished := make(chan cluster.Stream, size*20)
		go sendAtRate(ctx, client, process.url, size, finished)
		time.Sleep(requestsSettle)
		drainStreams(finished)
		figures, err := process.idleCost(requestsPeriod)
		if err != nil {
			return nil, err
		}
		done, failed := drainStreams(finished)
		figures["requests_per_s"] = float64(done) / requestsPeriod.Seconds()
		figures["requests_failed"] = float64(failed)
		figures["core_us_per_request"] = 1e4 * figures["core_percent"] / max(figures["requests_per_s"], 1)
		return figures, nil
	})
}

// sendAtRate sends generations at a fixed rate until the context ends.
func sendAtRate(ctx context.Context, client *cluster.Client, base string, rate int, finished chan<- cluster.Stream) {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		body := cluster.GenerationRequest{
			Model: string(cluster.ServiceAdvisor), Prompt: fmt.Sprintf("short question %d", number), MaxTokens: 4, Seed: int64(number),
		}
		go func() {
			select {
			case finished <- client.Generate(ctx, base, body, ""):
			case <-ctx.Done():
			}
		}()
	}
}

// drainStreams counts the streams that have ended so far.
func drainStreams(finished <-chan cluster.Stream) (done, failed int) {
	for {
		select {
		case stream := <-finished:
			if stream.Finished {
				done++
			} else {
				failed++
			}
		default:
			return done, failed
		}
	}
}
