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

	It("keeps a retried stream behind more urgent ones and before new ones of its rank", func() {
		retried := rank(2, false, attemptCounts{runs: 1})
		Expect(retried).To(BeNumerically(">", rank(0, false, attemptCounts{})))
		Expect(retried).To(BeNumerically("<", rank(2, false, attemptCounts{})))
	})

	It("keeps a stream above its organisation's share before less urgent ones", func() {
		Expect(rank(0, true, attemptCounts{})).To(BeNumerically(">", rank(0, false, attemptCounts{})))
		Expect(rank(0, true, attemptCounts{})).To(BeNumerically("<", rank(2, false, attemptCounts{runs: 1})))
	})
})
