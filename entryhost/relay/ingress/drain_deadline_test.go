package ingress

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

// Guards against requests that are taken late in a drain and cut off at its end without an
// answer, also such as must not be sent again.
var _ = Describe("a request that comes during a drain", func() {
	now := time.Unix(1000, 0)
	end := now.Add(5 * time.Second)
	plain, stream := &routing.Route{Kind: routing.NonIdempotent}, &routing.Route{Kind: routing.Streaming}

	DescribeTable("is taken only if its caller gets an answer before the end",
		func(closed func(f *Front) []chan struct{}, route *routing.Route, limit, expected time.Duration, admitted bool) {
			front := NewFront(nil, Parameters{Clock: clockwork.NewFakeClockAt(now), Metrics: metrics.NewSet()})
			front.stopsAt = end
			for _, channel := range closed(front) {
				close(channel)
			}
			deadline, got := front.drainDeadline(route, now.Add(limit))
			Expect(got).To(Equal(admitted))
			if admitted {
				Expect(deadline).To(Equal(now.Add(expected)))
			}
		},
		Entry("no drain", func(*Front) []chan struct{} { return nil }, plain, time.Minute, time.Minute, true),
		Entry("a short one at first", func(f *Front) []chan struct{} { return []chan struct{}{f.draining} }, plain, time.Second, time.Second, true),
		Entry("a long one at first, while callers do not know yet", func(f *Front) []chan struct{} { return []chan struct{}{f.draining} }, plain, time.Minute, 5*time.Second, true),
		Entry("a short one later", func(f *Front) []chan struct{} { return []chan struct{}{f.draining, f.refusingLong} }, plain, time.Second, time.Second, true),
		Entry("a long one later", func(f *Front) []chan struct{} { return []chan struct{}{f.draining, f.refusingLong} }, plain, 6*time.Second, time.Duration(0), false),
		Entry("a stream", func(f *Front) []chan struct{} { return []chan struct{}{f.draining, f.refusingStreams} }, stream, time.Second, time.Duration(0), false),
		Entry("any in the end", func(f *Front) []chan struct{} {
			return []chan struct{}{f.draining, f.refusingLong, f.refusingAll}
		}, plain, time.Second, time.Duration(0), false),
	)
})
