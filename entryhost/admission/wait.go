package admission

import "time"

const (
	// rateWindow is the time over which the service rate is measured.
	rateWindow = 500 * time.Millisecond
	// rateWeight is the weight of the newest window.
	rateWeight = 0.4
	// durationWeight is the weight of the newest generation in the means.
	durationWeight = 0.1
	// lowCompletion is the quantile of the generated part of the allowed tokens
	// that estimates rest on, and completionStep how fast it follows. With the
	// mean, requests that would stop early would be refused for a deadline that
	// they meet.
	lowCompletion  = 0.1
	completionStep = 0.05
	// durationMargin and waitMargin cover the noise of the means. Under overload
	// the queue settles where the estimate just meets the deadline; without the
	// margins a tenth of the generations of experiment overload were cut at it.
	durationMargin = 1.05
	waitMargin     = 1.25
)

// ServiceRate measures how many dispatches a second leave the queue while work
// waits. Windows in which the queue was empty show the arrival rate instead and
// only raise the estimate.
type ServiceRate struct {
	perSecond float64
	served    int
	emptied   bool
	began     time.Time
}

// Served counts a dispatch that left the queue for a server.
func (r *ServiceRate) Served() { r.served++ }

// Observe closes the window when its time is over. It is called often, with
// the present length of the queue.
func (r *ServiceRate) Observe(now time.Time, waiting int) {
	if r.began.IsZero() {
		r.began = now
	}
	r.emptied = r.emptied || waiting == 0
	elapsed := now.Sub(r.began)
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
		r.perSecond += rateWeight * (measured - r.perSecond)
	}
	r.served, r.emptied, r.began = 0, waiting == 0, now
}

// Wait estimates, with waitMargin, the time until a dispatch at this position of
// the queue is assigned. It is 0 while the rate is unknown.
func (r *ServiceRate) Wait(position int) time.Duration {
	if r.perSecond <= 0 {
		return 0
	}
	return time.Duration(waitMargin * float64(position) / r.perSecond * float64(time.Second))
}

// fairPosition estimates how many dispatches are assigned before a new one of
// an organisation: in fair order, each active organisation has one turn for
// each of its own.
func fairPosition(length, owned, active int) int {
	return min(length, (owned+1)*max(active, 1)) + 1
}

// WorkTime estimates how long a generation runs, from finished ones.
type WorkTime struct {
	firstToken float64
	gap        float64
	// completion is a low quantile of the generated part of the allowed tokens.
	completion float64
	samples    int
}

// Observe applies a finished generation.
func (w *WorkTime) Observe(done Done, cost int) {
	if done.Tokens < 2 || cost <= 0 {
		return
	}
	weight := durationWeight
	if w.samples == 0 {
		weight = 1
	}
	w.samples++
	w.firstToken += weight * (done.FirstToken.Seconds() - w.firstToken)
	w.gap += weight * (done.MeanGap.Seconds() - w.gap)
	w.complete(min(float64(done.Tokens)/float64(cost), 1))
}

// complete moves the low quantile: up by a little for most samples, and down by
// much for the few below it.
func (w *WorkTime) complete(part float64) {
	switch {
	case w.samples == 1:
		w.completion = part
	case part < w.completion:
		w.completion -= completionStep * (1 - lowCompletion)
	default:
		w.completion += completionStep * lowCompletion
	}
	w.completion = min(max(w.completion, 0), 1)
}

// Expect estimates the time that a generation with this cost needs at least. It
// is 0 before any has finished.
func (w *WorkTime) Expect(cost int) time.Duration {
	if w.samples == 0 {
		return 0
	}
	seconds := w.firstToken + w.gap*w.completion*float64(cost)
	return time.Duration(durationMargin * seconds * float64(time.Second))
}

// queueRoom is the number of dispatches that one organisation may have waiting.
// It shrinks as the queue fills (dynamic threshold), so that a single
// organisation fills at most half of the queue and others find room.
func queueRoom(length int) int {
	const smallest = 4
	return max(smallest, queueLimit-length)
}
