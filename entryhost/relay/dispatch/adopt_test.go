package dispatch

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an engine that answers at the address of a stale registration", func() {
	former := server("former", "here")
	former.Address = "10.0.0.1:80"
	later := server("later", "here")
	later.Address = "10.0.0.1:80"

	It("takes work before its own registration arrives", func() {
		dispatcher := newTestTask(Parameters{Self: "self"})
		dispatcher.applyView(viewOf(former))
		dispatcher.handleIdentified(identifyResult{former: former, instance: "later", engine: true})
		Expect(dispatcher.isKnown("later")).To(BeTrue())
	})

	It("takes no work if its own registration has ended, since it leaves although the older registration is still there", func() {
		dispatcher := newTestTask(Parameters{Self: "self"})
		dispatcher.applyView(viewOf(later))
		dispatcher.applyView(viewOf(former))
		dispatcher.handleIdentified(identifyResult{former: former, instance: "later", engine: true})
		Expect(dispatcher.isKnown("later")).To(BeFalse())

		By("and may be adopted again only long after that")
		dispatcher.Clock.(*clockwork.FakeClock).Advance(endedLifetime + time.Second)
		dispatcher.applyView(viewOf(former))
		dispatcher.handleIdentified(identifyResult{former: former, instance: "later", engine: true})
		Expect(dispatcher.isKnown("later")).To(BeTrue())
	})
})
