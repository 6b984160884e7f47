package requests

import (
	"math"
	"time"
)

const (
	// minSuspectAfter is the shortest silence after which an attempt is suspected
	// to have failed. Shorter pauses are common under load.
	minSuspectAfter = 300 * time.Millisecond
	// maxFirstTokenWait bounds the silence before the first token, unless the
	// service is known to take longer for a prompt of that length.
	maxFirstTokenWait = 2 * time.Second
	// maxGiveUpAfter bounds the silence between tokens after which an attempt
	// is given up. It leaves half a second of the 2 s target for the next first
	// token.
	maxGiveUpAfter = 1500 * time.Millisecond
	// giveUpFactor makes giving up more cautious than suspicion, because it
	// discards an attempt that may still be alive.
	giveUpFactor = 2
	// gapMeans and gapDeviations are how far above the mean a gap must be.
	gapMeans      = 4
	gapDeviations = 6
	// firstTokenMeans and firstTokenDeviations are the same for the first token,
	// whose spread is larger, as it includes the engine's own queue.
	firstTokenMeans      = 2
	firstTokenDeviations = 4
	// unobservedGap and unobservedFirstToken are the limits of a service that
	// has not yet been observed.
	unobservedGap        = 750 * time.Millisecond
	unobservedFirstToken = 2 * time.Second
	// unobservedPromptTokens is the prompt length up to which
	// unobservedFirstToken applies; longer prompts get proportionally more.
	unobservedPromptTokens = 2048
	// serviceWeight is how many of a stream's own gaps outweigh those of the
	// service: a stream with a longer context can be slower than the mean.
	serviceWeight = 8
	// historyWeight bounds the weight of old observations of a service, so that
	// the newest few hundred decide.
	historyWeight = 512
	// minObservations is the number below which the spread is not known and only
	// the mean is used, with the larger factor fewMeans.
	minObservations = 4
	fewMeans        = 4
)

// Moments are the count, mean and spread of a series. The zero value is empty.
type Moments struct {
	count float64
	mean  float64
	// squares is the sum of squared differences from the mean.
	squares float64
}

// Add extends the series by one value.
func (m *Moments) Add(value float64) {
	m.count++
	difference := value - m.mean
	m.mean += difference / m.count
	m.squares += difference * (value - m.mean)
}

// Merge returns the moments of both series.
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
		count:   count,
		mean:    m.mean + difference*other.count/count,
		squares: m.squares + other.squares + difference*difference*m.count*other.count/count,
	}
}

// AtMost returns the same mean and spread with at most this weight.
func (m Moments) AtMost(weight float64) Moments {
	if m.count <= weight {
		return m
	}
	return Moments{count: weight, mean: m.mean, squares: m.squares * weight / m.count}
}

// Deviation returns the standard deviation.
func (m Moments) Deviation() float64 {
	if m.count < 2 {
		return 0
	}
	return math.Sqrt(m.squares / m.count)
}

// Observed is what is known of the speed of a service, or of one stream. Times
// are in seconds.
type Observed struct {
	// Gaps are the times between tokens.
	Gaps Moments
	// FirstTokens are the times from the start of an attempt to its first token.
	FirstTokens Moments
	// PromptTokens are the prompt lengths that belong to FirstTokens.
	PromptTokens Moments
}

// Merge adds newer observations of a service.
func (o Observed) Merge(newer Observed) Observed {
	return Observed{
		Gaps:         o.Gaps.Merge(newer.Gaps).AtMost(historyWeight),
		FirstTokens:  o.FirstTokens.Merge(newer.FirstTokens).AtMost(historyWeight),
		PromptTokens: o.PromptTokens.Merge(newer.PromptTokens).AtMost(historyWeight),
	}
}

// addFirstToken records the time to a first token. A wait that was given up is
// recorded too, as the real time is at least that: otherwise a service that
// became slow would be suspected for ever.
func (o *Observed) addFirstToken(wait time.Duration, promptTokens int) {
	o.FirstTokens.Add(wait.Seconds())
	o.PromptTokens.Add(float64(promptTokens))
}

// Limits are the silences that an attempt is allowed.
type Limits struct {
	// Suspect is the first sign of silence.
	Suspect time.Duration
	// GiveUp is the silence after which the attempt is ended.
	GiveUp time.Duration
}

// gapLimits returns the limits between tokens from the gaps of this stream and
// of its service.
func gapLimits(service, stream Moments) Limits {
	gaps := service.AtMost(serviceWeight).Merge(stream)
	suspect := unobservedGap
	if gaps.count >= minObservations {
		suspect = seconds(max(gapMeans*gaps.mean, gaps.mean+gapDeviations*gaps.Deviation()))
	}
	suspect = min(max(suspect, minSuspectAfter), maxGiveUpAfter)
	return Limits{Suspect: suspect, GiveUp: min(giveUpFactor*suspect, maxGiveUpAfter)}
}

// firstTokenLimits returns the limits before the first token of a prompt of
// this length. The estimate grows in proportion to the prompt beyond the mean
// length, so that a long prefill is not taken for silence.
func firstTokenLimits(service Observed, promptTokens int) Limits {
	times := service.FirstTokens
	if times.count == 0 {
		suspect := unobservedFirstToken.Seconds() * max(1, float64(promptTokens)/unobservedPromptTokens)
		return Limits{Suspect: seconds(suspect), GiveUp: seconds(suspect)}
	}
	scale := max(1, float64(promptTokens)/max(1, service.PromptTokens.mean))
	expected := times.mean * scale
	suspect := max(firstTokenMeans*expected, expected+firstTokenDeviations*times.Deviation()*scale)
	if times.count < minObservations {
		suspect = fewMeans * expected
	}
	top := max(maxFirstTokenWait, seconds(firstTokenMeans*expected))
	limits := Limits{Suspect: min(max(seconds(suspect), minSuspectAfter), top)}
	limits.GiveUp = min(giveUpFactor*limits.Suspect, top)
	return limits
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
