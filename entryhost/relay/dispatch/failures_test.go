package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against an engine that stays avoided after it has answered or recovered, and
// against plain refusals that count as failures.
var _ = Describe("the recent failures of an engine", func() {
	now := time.Unix(100, 0)
	failed := recentFailures{}.add(OutcomeFailed, now).add(OutcomeFailed, now)

	It("count until the engine answers or their lifetime ends", func() {
		Expect(failed.current(now.Add(failureLifetime - 1))).To(Equal(2))
		Expect(failed.current(now.Add(failureLifetime))).To(BeZero())
		Expect(failed.add(OutcomeSuccess, now).current(now)).To(BeZero())
		Expect(failed.add(OutcomeFailed, now.Add(failureLifetime)).count).To(Equal(1))
	})

	It("leave out attempts that say nothing about further ones", func() {
		for _, outcome := range []Outcome{OutcomeNone, OutcomeRejected, OutcomeUnreachable, OutcomeBroken, OutcomeSilent} {
			Expect(recentFailures{}.add(outcome, now)).To(BeZero(), outcome.String())
		}
		Expect(recentFailures{}.add(OutcomeMisdirected, now).current(now)).To(Equal(misdirectedFailures))
	})
})
