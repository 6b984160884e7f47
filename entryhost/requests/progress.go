package requests

import (
	"math"
	"time"
)

const (
	// minSuspectAfter is the shortest silence after which an attempt is suspected
	// to have failed. Shorter pauses are common under load.
	minSuspectAfter = 300 * time.Millisecond
	// maxFirstTokenWait bounds the silence allowed before the first token, unless
	// the service is known to take longer for a prompt of that length.
	maxFirstTokenWait = 2 * time.Second
	// maxGiveUpAfter bounds the silence allowed between tokens before an attempt
	// is ended. It leaves half a second of the 2 s target for the first token of
	// the next attempt.
	maxGiveUpAfter = 1500 * time.Millisecond
	// giveUpFactor is the ratio of the give-up limit to the suspect limit. It is
	// above 1, because giving up discards an attempt that may still be alive.
	giveUpFactor = 2
	// A gap between tokens is suspicious above gapMeanFactor means, and above the
	// mean plus gapDeviationFactor standard deviations.
	gapMeanFactor      = 4
	gapDeviationFactor = 6
	// firstTokenMeanFactor and firstTokenDeviationFactor are the same for the time
	// to the first token, whose spread is larger, as it includes the engine's
	// queue.
	firstTokenMeanFactor      = 2
	firstTokenDeviationFactor = 4
	// defaultSuspectGap and defaultFirstTokenTimeout apply to a service that has
	// not been measured yet.
	defaultSuspectGap        = 750 * time.Millisecond
	defaultFirstTokenTimeout = 2 * time.Second
	// defaultTimeoutPromptTokens is the prompt length up to which
	// defaultFirstTokenTimeout applies; longer prompts get proportionally more.
	defaultTimeoutPromptTokens = 2048
	// maxServiceGapWeight is the number of a stream's own gaps that weigh as much
	// as the history of its service: a stream with a longer context can be slower
	// than the mean.
	maxServiceGapWeight = 8
	// maxHistoryWeight bounds the weight of earlier measurements of a service, so
	// that the newest few hundred dominate.
	maxHistoryWeight = 512
	// Below minObservations the spread is unknown, and only the mean is used, with
	// the larger factor fewObservationsMeanFactor.
	minObservations           = 4
	fewObservationsMeanFactor = 4
)

// Moments holds the count, mean and spread of a series of values. The zero
// value is an empty series.
type Moments struct {
	count float64
	mean  float64
	// squaredDeviations is the sum of the squared differences from the mean.
	squaredDeviations float64
}

// Add adds a value to the series.
func (m *Moments) Add(value float64) {
	m.count++
	difference := value - m.mean
	m.mean += difference / m.count
	m.squaredDeviations += difference * (value - m.mean)
}

// Merge returns the moments of both series together.
func (m Moments) Merge(other Moments) Moments {
	if m.count == 0 {
		return other
	}
	if other.count == 0 {
		return m
	}
	count := m.count + other.count
	difference := other.mean - m.mean
	return Moments{
		count:             count,
		mean:              m.mean + difference*other.count/count,
		squaredDeviations: m.squaredDeviations + other.squaredDeviations + difference*difference*m.count*other.count/count,
	}
}

// CapWeight returns the same mean and spread with a count of at most this
// weight.
func (m Moments) CapWeight(weight float64) Moments {
	if m.count <= weight {
		return m
	}
	return Moments{count: weight, mean: m.mean, squaredDeviations: m.squaredDeviations * weight / m.count}
}

// StandardDeviation returns the standard deviation of the series, or 0 for
// fewer than two values.
func (m Moments) StandardDeviation() float64 {
	if m.count < 2 {
		return 0
	}
	return math.Sqrt(m.squaredDeviations / m.count)
}

// LatencyStats holds the measured latencies of a service or of one stream, in
// seconds.
type LatencyStats struct {
	// TokenGaps are the times between tokens.
	TokenGaps Moments
	// FirstTokenTimes are the times from the start of an attempt to its first
	// token.
	FirstTokenTimes Moments
	// PromptTokens are the prompt lengths in tokens that belong to
	// FirstTokenTimes.
	PromptTokens Moments
}

// Merge returns these measurements combined with newer ones of the same
// service.
func (s LatencyStats) Merge(newer LatencyStats) LatencyStats {
	return LatencyStats{
		TokenGaps:       s.TokenGaps.Merge(newer.TokenGaps).CapWeight(maxHistoryWeight),
		FirstTokenTimes: s.FirstTokenTimes.Merge(newer.FirstTokenTimes).CapWeight(maxHistoryWeight),
		PromptTokens:    s.PromptTokens.Merge(newer.PromptTokens).CapWeight(maxHistoryWeight),
	}
}

// addFirstToken adds a time to the first token. A wait that was given up is
// added too, as the real time is at least as long: otherwise a service that has
// become slow would be suspected forever.
func (s *LatencyStats) addFirstToken(wait time.Duration, promptTokens int) {
	s.FirstTokenTimes.Add(wait.Seconds())
	s.PromptTokens.Add(float64(promptTokens))
}

// SilenceLimits are the durations of silence after which an attempt is
// suspected and ended.
type SilenceLimits struct {
	// Suspect is the silence after which an eager service starts a second attempt.
	Suspect time.Duration
	// GiveUp is the silence after which the attempt is ended.
	GiveUp time.Duration
}

// gapLimits returns the limits between tokens, from the gaps of the service and
// of this stream.
func gapLimits(service, stream Moments) SilenceLimits {
	gaps := service.CapWeight(maxServiceGapWeight).Merge(stream)
	suspect := defaultSuspectGap
	if gaps.count >= minObservations {
		suspect = seconds(max(gapMeanFactor*gaps.mean, gaps.mean+gapDeviationFactor*gaps.StandardDeviation()))
	}
	suspect = min(max(suspect, minSuspectAfter), maxGiveUpAfter)
	return SilenceLimits{Suspect: suspect, GiveUp: min(giveUpFactor*suspect, maxGiveUpAfter)}
}

// firstTokenLimits returns the limits before the first token of a prompt of
// this length. For prompts above the mean length the expected time grows in
// proportion, so that a long prefill is not taken for silence.
func firstTokenLimits(service LatencyStats, promptTokens int) SilenceLimits {
	times := service.FirstTokenTimes
	if times.count == 0 {
		suspect := defaultFirstTokenTimeout.Seconds() * max(1, float64(promptTokens)/defaultTimeoutPromptTokens)
		return SilenceLimits{Suspect: seconds(suspect), GiveUp: seconds(suspect)}
	}
	scale := max(1, float64(promptTokens)/max(1, service.PromptTokens.mean))
	expected := times.mean * scale
	suspect := max(firstTokenMeanFactor*expected, expected+firstTokenDeviationFactor*times.StandardDeviation()*scale)
	if times.count < minObservations {
		suspect = fewObservationsMeanFactor * expected
	}
	limit := max(maxFirstTokenWait, seconds(firstTokenMeanFactor*expected))
	limits := SilenceLimits{Suspect: min(max(seconds(suspect), minSuspectAfter), limit)}
	limits.GiveUp = min(giveUpFactor*limits.Suspect, limit)
	return limits
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
