package slope

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/enginewire"
)

const (
	// tokenInterval is the time between tokens of a stream at the target size.
	tokenInterval = 31 * time.Millisecond
	// streamsPerEngine is a number of streams with which a stand-in engine keeps its
	// step time.
	streamsPerEngine = 32
	// streamsSettleTime is the time for which all streams are open before the
	// measurement.
	streamsSettleTime    = 4 * time.Second
	streamsMeasurePeriod = 6 * time.Second
)

// Streams measures the CPU time and memory of an entry host by the number of open
// streams, with a token every 31 ms on each. The entry host runs in a separate process.
var Streams = Measurement{
	Name:        "streams",
	Description: "one entry host by its open streams, with a token each 31 ms on each",
	Driver:      "open streams",
	Excluded:    "the network besides loopback; losses; requests that begin or end while measured",
	Sizes:       []int{50, 150, 300, 500, 750},
	Measure:     measureStreams,
}

func measureStreams(ctx context.Context, size int, seed uint64) (map[string]float64, error) {
	engine := cluster.DefaultEngine()
	engine.TokenInterval = tokenInterval
	engine.Capacity = 2 * streamsPerEngine
	return withHostProcess(ctx, cluster.Options{Seed: seed, Engines: (size + streamsPerEngine - 1) / streamsPerEngine, Engine: engine}, func(ctx context.Context, process *hostProcess) (map[string]float64, error) {
		// Gives the host time to read the host list before the streams begin.
		time.Sleep(time.Second)
		idleResident, err := process.metric("process_resident_memory_bytes")
		if err != nil {
			return nil, err
		}
		var events atomic.Int64
		streamContext, endStreams := context.WithCancel(ctx)
		defer endStreams()
		for i := range size {
			go readStream(streamContext, process.url, i, &events)
		}
		time.Sleep(streamsSettleTime)
		return measureStreamUsage(process, &events, idleResident)
	})
}

// measureStreamUsage measures the CPU time per token and the resident memory of the
// process over streamsMeasurePeriod. idleResident is its memory without streams.
func measureStreamUsage(process *hostProcess, events *atomic.Int64, idleResident float64) (map[string]float64, error) {
	before, err := process.metric("process_cpu_seconds_total")
	if err != nil {
		return nil, err
	}
	eventsBefore, started := events.Load(), time.Now()
	time.Sleep(streamsMeasurePeriod)
	after, err := process.metric("process_cpu_seconds_total")
	if err != nil {
		return nil, err
	}
	seconds := time.Since(started).Seconds()
	tokens := float64(events.Load()-eventsBefore) / seconds
	resident, err := process.metric("process_resident_memory_bytes")
	if err != nil {
		return nil, err
	}
	cores := (after - before) / seconds
	return map[string]float64{
		"core_percent":              100 * cores,
		"tokens_per_s":              tokens,
		"core_us_per_token":         1e6 * cores / max(tokens, 1),
		"resident_bytes":            resident,
		"resident_bytes_for_stream": resident - idleResident,
	}, nil
}

// readStream reads a long generation until the context ends and counts its events.
func readStream(ctx context.Context, base string, number int, events *atomic.Int64) {
	body, err := json.Marshal(cluster.GenerationRequest{
		Model: string(cluster.ServiceAdvisor), Prompt: fmt.Sprintf("request %d of a long generation", number),
		MaxTokens: 100_000, Seed: int64(number), Stream: true,
	})
	if err != nil {
		return
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+enginewire.PathCompletions, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+cluster.APIKey("bubbles"))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if bytes.HasPrefix(lines.Bytes(), []byte("data: ")) {
			events.Add(1)
		}
	}
}
