package slope

import (
	"context"
	"fmt"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
)

// Requests measures the CPU time and memory of an entry host by the rate of short
// generations.
var Requests = Measurement{
	Name:        "requests",
	Description: "an entry host by the rate of generations of four tokens",
	Driver:      "requests a second",
	Excluded:    "long outputs, which slope streams has; losses",
	Sizes:       []int{10, 40, 70, 140, 210},
	Measure:     measureRequests,
}

const (
	// requestsSettleTime is the time under load before the measurement.
	requestsSettleTime    = 2 * time.Second
	requestsMeasurePeriod = 6 * time.Second
)

func measureRequests(ctx context.Context, size int, seed uint64) (map[string]float64, error) {
	return withHostProcess(ctx, cluster.Options{Seed: seed, Engines: 8}, func(ctx context.Context, process *hostProcess) (map[string]float64, error) {
		client := cluster.NewClient("bubbles")
		defer client.Close()
		finished := make(chan cluster.Stream, size*20)
		go sendAtRate(ctx, client, process.url, size, finished)
		time.Sleep(requestsSettleTime)
		countFinishedStreams(finished)
		figures, err := process.measureUsage(requestsMeasurePeriod)
		if err != nil {
			return nil, err
		}
		done, failed := countFinishedStreams(finished)
		figures["requests_per_s"] = float64(done) / requestsMeasurePeriod.Seconds()
		figures["requests_failed"] = float64(failed)
		figures["core_us_per_request"] = 1e4 * figures["core_percent"] / max(figures["requests_per_s"], 1)
		return figures, nil
	})
}

// sendAtRate starts rate generations per second until the context ends, and sends the
// result of each to finished.
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

// countFinishedStreams empties the channel and counts the generations by their result,
// without waiting for open ones.
func countFinishedStreams(finished <-chan cluster.Stream) (done, failed int) {
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
