package scenario

import (
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
)

// inFlightTime is how long after a fault tokens may arrive that were sent
// before it.
const inFlightTime = 50 * time.Millisecond

// recoveryFigures returns the figures of latency and extra work of a run.
func recoveryFigures(c *cluster.Cluster, results []generationResult) map[string]float64 {
	var gaps []time.Duration
	var delivered, finished int
	for _, result := range results {
		gaps = append(gaps, result.stream.LongestGap())
		delivered += len(result.stream.Tokens)
		if result.stream.Finished {
			finished++
		}
	}
	work := measureWork(c.Attempts(), results)
	return map[string]float64{
		"generations":            float64(len(results)),
		"generations_finished":   float64(finished),
		"longest_gap_p95_ms":     milliseconds(Quantile(gaps, 0.95)),
		"longest_gap_max_ms":     milliseconds(Quantile(gaps, 1)),
		"tokens_delivered":       float64(delivered),
		"tokens_decoded":         float64(work.decoded),
		"tokens_prefilled":       float64(work.prefilled),
		"decode_repeated_tokens": float64(work.repeated),
		"decode_extra_tokens":    float64(work.decoded - delivered),
		"prefill_extra_tokens":   float64(work.extraPrefill),
	}
}

// engineWork counts the tokens that engines processed in a run.
type engineWork struct {
	decoded   int
	prefilled int
	// repeated counts decoded tokens that the caller had received before their
	// attempt started.
	repeated int
	// extraPrefill counts tokens prefilled by attempts after the first one of a
	// generation.
	extraPrefill int
}

func measureWork(attempts []standin.Attempt, results []generationResult) engineWork {
	bySeed := make(map[int64]generationResult, len(results))
	for _, result := range results {
		bySeed[result.plan.body.Seed] = result
	}
	first := make(map[int64]standin.Attempt, len(results))
	var work engineWork
	for _, attempt := range attempts {
		work.decoded += attempt.Decoded
		work.prefilled += attempt.Prefilled
		original, seen := first[attempt.Seed]
		if !seen {
			first[attempt.Seed] = attempt
			continue
		}
		work.extraPrefill += attempt.Prefilled
		from := attempt.PromptTokens - original.PromptTokens
		received := arrivedBefore(bySeed[attempt.Seed].stream, attempt.Started)
		work.repeated += max(0, min(received-from, attempt.Decoded))
	}
	return work
}

func arrivedBefore(stream cluster.Stream, at time.Time) int {
	count := 0
	for _, arrival := range stream.Arrivals {
		if arrival.Before(at) {
			count++
		}
	}
	return count
}

// resumption is the interruption of one generation by one fault.
type resumption struct {
	// latency is the time without a token around the fault.
	latency time.Duration
	// firstToken is the engine's own time to the first token of the attempt
	// that followed; 0 if the engine's stream was resumed.
	firstToken time.Duration
}

// resumptions returns the interruptions of generations by the faults.
func resumptions(c *cluster.Cluster, results []generationResult, faults []engineFault) []resumption {
	bySeed := make(map[int64][]standin.Attempt)
	for _, attempt := range c.Attempts() {
		bySeed[attempt.Seed] = append(bySeed[attempt.Seed], attempt)
	}
	var resumed []resumption
	for _, result := range results {
		attempts := bySeed[result.plan.body.Seed]
		for _, fault := range faults {
			if engineAt(attempts, fault.at) != fault.engine {
				continue
			}
			if latency, interrupted := gapAround(result.stream.Arrivals, fault.at); interrupted {
				resumed = append(resumed, resumption{latency: latency, firstToken: firstTokenAfter(attempts, fault.at)})
			}
		}
	}
	return resumed
}

// firstTokenAfter returns the time to first token of the earliest attempt that
// started after the fault and delivered a token; 0 without such an attempt.
func firstTokenAfter(attempts []standin.Attempt, at time.Time) time.Duration {
	for _, attempt := range attempts {
		if attempt.Started.After(at) && attempt.FirstToken > 0 {
			return attempt.FirstToken
		}
	}
	return 0
}

// engineAt returns the engine of the latest attempt that started before a time.
func engineAt(attempts []standin.Attempt, at time.Time) string {
	engine := ""
	for _, attempt := range attempts {
		if attempt.Started.Before(at) {
			engine = attempt.Engine
		}
	}
	return engine
}

// gapAround returns the longest gap between tokens that ends after the fault and
// begins less than inFlightTime after it. It reports false if the stream had not
// begun or had already ended.
func gapAround(arrivals []time.Time, at time.Time) (time.Duration, bool) {
	var longest time.Duration
	for i := 1; i < len(arrivals); i++ {
		if arrivals[i].After(at) && arrivals[i-1].Before(at.Add(inFlightTime)) {
			longest = max(longest, arrivals[i].Sub(arrivals[i-1]))
		}
	}
	return longest, longest > 0 && arrivals[0].Before(at)
}

// addLatencyFigures adds the number of interruptions and their latency.
func addLatencyFigures(figures map[string]float64, latencies []time.Duration) {
	figures["losses"] = float64(len(latencies))
	figures["resume_p50_ms"] = milliseconds(Quantile(latencies, 0.5))
	figures["resume_p95_ms"] = milliseconds(Quantile(latencies, 0.95))
	figures["resume_max_ms"] = milliseconds(Quantile(latencies, 1))
}

// addResumptionFigures also adds the latency without the engine's own time to
// first token.
func addResumptionFigures(figures map[string]float64, resumed []resumption) {
	var latencies, beyond []time.Duration
	for _, one := range resumed {
		latencies = append(latencies, one.latency)
		beyond = append(beyond, one.latency-one.firstToken)
	}
	addLatencyFigures(figures, latencies)
	figures["resume_beyond_first_token_p95_ms"] = milliseconds(Quantile(beyond, 0.95))
}
