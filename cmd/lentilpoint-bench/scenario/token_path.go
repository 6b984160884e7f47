package scenario

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// pathTokensPerSecond is the target rate of one entry host.
	pathTokensPerSecond = 23_000
	// pathStreams is below the target of 750 open streams, so that the run needs
	// only about 500 connections on a shared machine.
	pathStreams = 250
	// pathWarmUp is the first part of a run, which is not measured.
	pathWarmUp = 1500 * time.Millisecond
	// pathWindow is the measured part of a run.
	pathWindow = 5 * time.Second
)

// tokenPathScenarios measure the CPU time and latency that an entry host adds to
// each token.
var tokenPathScenarios = []Scenario{{
	Name: "token-path", Description: "CPU time and latency that one entry host adds to 23,000 tokens a second",
	Run: runTokenPath,
}}

// runTokenPath reads the same streams directly from an engine and through an
// entry host. All parts run in one process, so the difference in CPU time is that
// of the entry host.
func runTokenPath(ctx context.Context, parameters Parameters) (Report, error) {
	interval := time.Second * pathStreams / pathTokensPerSecond
	engine, err := standin.StartFixedRateEngine(cluster.VersionOne, interval)
	if err != nil {
		return Report{}, err
	}
	defer engine.Close()
	c, err := cluster.Start(ctx, cluster.Options{Seed: parameters.Seed, EntryHosts: 1})
	if err != nil {
		return Report{}, err
	}
	defer c.Stop()
	c.Platform.SetHosts([]model.Host{{
		ID: "source", Role: model.RoleBackend, Service: cluster.ServiceAdvisor, DataCentre: "jkt",
		Address: engine.Address(), Incarnation: 1,
	}})
	sleep(ctx, 500*time.Millisecond)
	direct := measurePath(ctx, "http://"+engine.Address())
	parameters.progress("direct: %d tokens, %.2f s of CPU time", len(direct.delays), direct.cpu.Seconds())
	through := measurePath(ctx, c.URL(0))
	parameters.progress("through the entry host: %d tokens, %.2f s of CPU time", len(through.delays), through.cpu.Seconds())
	added := through.cpuPerToken() - direct.cpuPerToken()
	return Report{Violations: check.Violations{}, Figures: map[string]float64{
		"streams":                 pathStreams,
		"tokens_per_second":       float64(len(through.delays)) / pathWindow.Seconds(),
		"added_us_per_token":      added * 1e6,
		"cores_at_23000_per_s":    added * pathTokensPerSecond,
		"direct_delay_p99_ms":     milliseconds(Quantile(direct.delays, 0.99)),
		"through_delay_p50_ms":    milliseconds(Quantile(through.delays, 0.5)),
		"through_delay_p99_ms":    milliseconds(Quantile(through.delays, 0.99)),
		"added_delay_p99_ms":      milliseconds(Quantile(through.delays, 0.99) - Quantile(direct.delays, 0.99)),
		"streams_failed":          float64(through.failed + direct.failed),
		"direct_tokens_delivered": float64(len(direct.delays)),
	}}, nil
}

// pathResult is the measurement of one path.
type pathResult struct {
	// delays are those of the tokens that arrived in the window.
	delays []time.Duration
	// cpu is the CPU time of the whole process in the window.
	cpu time.Duration
	// failed is the number of streams that failed.
	failed int
}

// cpuPerToken returns the CPU time per token in seconds.
func (r pathResult) cpuPerToken() float64 { return r.cpu.Seconds() / float64(max(1, len(r.delays))) }

// readerResult holds the delays that one reader measured in the window.
type readerResult struct {
	delays []time.Duration
	failed bool
}

func measurePath(ctx context.Context, base string) pathResult {
	ctx, cancel := context.WithTimeout(ctx, pathWarmUp+pathWindow)
	defer cancel()
	client := cluster.NewClient(twoOrganisations[0])
	defer client.Close()
	windowStart := time.Now().Add(pathWarmUp)
	readers := make(chan readerResult, pathStreams)
	for i := range pathStreams {
		go func() {
			sleep(ctx, time.Duration(i)*time.Millisecond)
			readers <- readDelays(ctx, client, base, windowStart)
		}()
	}
	sleep(ctx, pathWarmUp)
	before := processCPU()
	<-ctx.Done()
	result := pathResult{cpu: processCPU() - before}
	for range pathStreams {
		reader := <-readers
		result.delays = append(result.delays, reader.delays...)
		if reader.failed {
			result.failed++
		}
	}
	return result
}

// processCPU returns the sum of user and system time of this process.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// readDelays reads one stream until the context ends and returns the delays of
// the tokens that arrived in the window.
func readDelays(ctx context.Context, client *cluster.Client, base string, windowStart time.Time) readerResult {
	body, _ := json.Marshal(cluster.GenerationRequest{
		Model: string(cluster.ServiceAdvisor), Prompt: "a b c", MaxTokens: 100_000, Seed: 1, Stream: true, ReturnTokenIDs: true,
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+enginewire.PathCompletions, bytes.NewReader(body))
	if err != nil {
		return readerResult{failed: true}
	}
	request.Header.Set("Authorization", "Bearer "+cluster.APIKey(client.Organisation))
	response, err := client.HTTP.Do(request)
	if err != nil {
		return readerResult{failed: true}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return readerResult{failed: true}
	}
	return readTimedTokens(ctx, bufio.NewReader(response.Body), windowStart)
}

// readTimedTokens reads tokens whose text is the time at which they were sent, in
// nanoseconds since 1970.
func readTimedTokens(ctx context.Context, reader *bufio.Reader, windowStart time.Time) readerResult {
	var result readerResult
	marker := []byte(`"text":"`)
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			result.failed = ctx.Err() == nil
			return result
		}
		_, rest, found := bytes.Cut(line, marker)
		if !found {
			continue
		}
		text, _, _ := bytes.Cut(rest, []byte{'"'})
		sent, err := strconv.ParseInt(string(text), 10, 64)
		now := time.Now()
		if err == nil && now.After(windowStart) {
			result.delays = append(result.delays, now.Sub(time.Unix(0, sent)))
		}
	}
}
