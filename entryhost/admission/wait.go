package admission

import "time"

const (
	// rateWindow is the length of one measurement of the service rate.
	rateWindow = 500 * time.Millisecond
	// rateSmoothing is the weight of the newest window in the moving average.
	rateSmoothing = 0.4
	// durationSmoothing is the weight of the newest generation in the moving
	// averages.
	durationSmoothing = 0.1
	// completionQuantile is the quantile of generated to allowed tokens that
	// estimates use, and completionStep the gain of its tracking. The mean would
	// refuse requests that stop early for a deadline that they would meet.
	completionQuantile = 0.1
	completionStep     = 0.05
	// durationMargin and waitMargin cover the error of the estimates. Under overload
	// the queue grows until the estimate just meets the deadline; without the
	// margins a tenth of the generations in experiment overload were cut off at the
	// deadline.
	durationMargin = 1.05
	waitMargin     = 1.25
)

// ServiceRate estimates how many dispatches a second leave the queue while others
// wait. A window in which the queue was empty measures the arrival rate instead,
// so it can raise the estimate but not lower it.
type ServiceRate struct {
	perSecond   float64
	served      int
	emptied     bool
	windowStart time.Time
}

// CountAssigned counts a dispatch that was assigned to a server.
func (r *ServiceRate) CountAssigned() { r.served++ }

// Observe updates the rate at the end of each window. It must be called more often
// than once in rateWindow, with the current length of the queue.
func (r *ServiceRate) Observe(now time.Time, waiting int) {
	if r.windowStart.IsZero() {
		r.windowStart = now
	}
	r.emptied = r.emptied || waiting == 0
	elapsed := now.Sub(r.windowStart)
	if elapsed < rateWindow {
		return
	}
	measured := float64(r.served) / elapsed.Seconds()
	switch {
	case r.emptied:
		r.perSecond = max(r.perSecond, measured)
	case r.perSecond == 0:
		r.perSecond = measured
	default:
		r.perSecond += rateSmoothing * (measured - r.perSecond)
	}
	r.served, r.emptied, r.windowStart = 0, waiting == 0, now
}

// Wait returns the estimated time until the dispatch at this position of the queue
// is assigned, including waitMargin, or 0 while the rate is unknown.
func (r *ServiceRate) Wait(position int) time.Duration {
	if r.perSecond <= 0 {
		return 0
	}
	return time.Duration(waitMargin * float64(position) / r.perSecond * float64(time.Second))
}

// fairPosition estimates the position in fair order of a new dispatch of an
// organisation that has owned dispatches waiting: every active organisation is
// served once for each of these and for the new one.
func fairPosition(length, owned, active int) int {
	return min(length, (owned+1)*max(active, 1)) + 1
}

// GenerationTime estimates the duration of a generation from finished ones. Times
// are in seconds.
type GenerationTime struct {
	firstToken float64
	gap        float64
	// completion is the estimated completionQuantile of generated to allowed tokens.
	completion float64
	samples    int
}

// Observe adds a finished generation with the given cost in tokens. It ignores
// generations with fewer than two tokens, which have no gap.
func (g *GenerationTime) Observe(done Done, cost int) {
	if done.Tokens < 2 || cost <= 0 {
		return
	}
	weight := durationSmoothing
	if g.samples == 0 {
		weight = 1
	}
	g.samples++
	g.firstToken += weight * (done.FirstToken.Seconds() - g.firstToken)
	g.gap += weight * (done.MeanGap.Seconds() - g.gap)
	g.updateCompletion(min(float64(done.Tokens)/float64(cost), 1))
}

// updateCompletion tracks the quantile by stochastic approximation: a sample above
// it raises it by a small step, a sample below it lowers it by a large one.
func (g *GenerationTime) updateCompletion(fraction float64) {
	switch {
	case g.samples == 1:
		g.completion = fraction
	case fraction < g.completion:
		g.completion -= completionStep * (1 - completionQuantile)
	default:
		g.completion += completionStep * completionQuantile
	}
	g.completion = min(max(g.completion, 0), 1)
}

// Estimate returns a low estimate of the duration of a generation with this cost,
// including durationMargin, or 0 before any has finished.
func (g *GenerationTime) Estimate(cost int) time.Duration {
	if g.samples == 0 {
		return 0
	}
	seconds := g.firstToken + g.gap*g.completion*float64(cost)
	return time.Duration(durationMargin * seconds * float64(time.Second))
}

// maxOrganisationQueue returns the number of dispatches that one organisation may
// have waiting. It falls as the queue fills (dynamic threshold), so that a single
// organisation fills at most half of the queue.
func maxOrganisationQueue(length int) int {
	const smallest = 4
	return max(smallest, maxQueueLength-length)
}
