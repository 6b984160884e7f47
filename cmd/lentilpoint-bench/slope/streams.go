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
	// tokenInterval is the time between tokens at the target size.
	tokenInterval = 31 * time.Millisecond
	// streamsPerEngine keeps each stand-in engine within its step time.
	streamsPerEngine = 32
	streamsSettle    = 4 * time.Second
	streamsPeriod    = 6 * time.Second
)

// Streams measures an entry host by the number of open streams, each with a
// token each 31 ms. The entry host runs in a process of its own.
var Streams = Measurement{
	Name:    "streams",
	About:   "one entry host by its open streams, with a token each 31 ms on each",
	Driver:  "open streams",
	LeftOut: "the network besides loopback; losses; requests that begin or end while measured",
	Sizes:   []int{50, 150, 300, 500, 750},
	Measure: measureStreams,
}

func measureStreams(ctx context.Context, size int, seed uint64) (map[string]float64, error) {
	engine := cluster.DefaultEngine()
	engine.TokenInterval = tokenInterval
	engine.Capacity = 2 * streamsPerEngine
	return withHost(ctx, cluster.Options{Seed: seed, Engines: (size + streamsPerEngine - 1) / streamsPerEngine, Engine: engine}, func(ctx context.Context, process *hostProcess) (map[string]float64, error) {
		// The host learns of all engines before the streams begin.
		time.Sleep(time.Second)
		idle, err := process.metric("process_resident_memory_bytes")
		if err != nil {
			return nil, err
		}
		var events atomic.Int64
		streamContext, endStreams := context.WithCancel(ctx)
		defer endStreams()
		for i := range size {
			go readStream(streamContext, process.url, i, &events)
		}
		time.Sleep(streamsSettle)
		return measureHost(process, &events, idle)
	})
}

func measureHost(process *hostProcess, events *atomic.Int64, idle float64) (map[string]float64, error) {
	before, err := process.metric("process_cpu_seconds_total")
	if err != nil {
		return nil, err
	}
	first, started := events.Load(), time.Now()
	time.Sleep(streamsPeriod)
	after, err := process.metric("process_cpu_seconds_total")
	if err != nil {
		return nil, err
	}
	seconds := time.Since(started).Seconds()
	tokens := float64(events.Load()-first) / seconds
	resident, err := process.metric("process_resident_memory_bytes")
	if err != nil {
		return nil, err
	}
	core := (after - before) / seconds
	return map[string]float64{
		"core_percent":              100 * core,
		"tokens_per_s":              tokens,
		"core_us_per_token":         1e6 * core / max(tokens, 1),
		"resident_bytes":            resident,
		"resident_bytes_for_stream": resident - idle,
	}, nil
}

// readStream reads a long generation and counts its events.
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
