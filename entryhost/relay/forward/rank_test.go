package forward

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

// Guards against less urgent streams that displace new urgent ones once they have lost an
// engine, and against urgent ones that come after less urgent ones for their share.
var _ = Describe("the rank of an attempt at an engine", func() {
	rank := func(of int, deferred bool, counts attemptCounts) int {
		service := routing.Service{Ranks: routing.Ranks{{Value: 0}, {Value: 2}}}
		run := &requestTask{request: &Request{Rank: of, Service: service}, counts: counts}
		return run.rank(dispatch.Assignment{Deferred: deferred}, &streamState{})
	}

	It("is after more urgent streams, and before less urgent ones, for a retry and above the share", func() {
		retried, above := rank(2, false, attemptCounts{runs: 1}), rank(0, true, attemptCounts{})
		Expect(retried).To(And(BeNumerically(">", above), BeNumerically("<", rank(2, false, attemptCounts{}))))
		Expect(above).To(BeNumerically(">", rank(0, false, attemptCounts{})))
	})
})
