// Package bubbletest runs tests in simulated time.
package bubbletest

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Run is synctest.Test for tests that also run under the race detector.
//
// The runtime of Go 1.26 has one race context for all timers of a bubble, but a
// goroutine of the bubble runs a timer itself if it sets it to fire at once or
// receives from it late. Two that do so on two processors crash the race detector
// ("ThreadSanitizer: CHECK failed", or a segmentation violation), so under it the
// bubble has one processor. The race detector finds races by the order of
// synchronisation, for which one processor is enough.
func Run(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	if raceEnabled {
		processors := runtime.GOMAXPROCS(1)
		defer runtime.GOMAXPROCS(processors)
	}
	synctest.Test(t, test)
}
