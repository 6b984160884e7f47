package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/loads"
)

var _ = Describe("load shedding of a plain service", func() {
	now := time.Unix(100, 0)
	const objective, fastest = 150 * time.Millisecond, 36 * time.Millisecond
	calls := loads.ServiceCalls{Offered: 50, Fastest: fastest, Answers: map[string]loads.Answers{"a": {Count: 35, Sum: 35 * 160 * time.Millisecond}}}
	after := func(s shedding, delay time.Duration, updates int) (shedding, time.Time) {
		at := s.updatedAt
		for range updates {
			at = at.Add(400 * time.Millisecond)
			s = s.update(calls, delay, objective, at)
		}
		return s, at
	}

	// Guards against shedding for a burst, which is over when hosts know of it, and against
	// a share that does not follow from what servers can do.
	It("begins once queues are long for a time, and refuses what is beyond the capacity", func() {
		s, at := after(shedding{updatedAt: now}, 160*time.Millisecond, 1)
		Expect(s.sheds(at)).To(BeFalse())
		s, at = after(s, 160*time.Millisecond, 1)
		Expect(s.share).To(BeNumerically("~", 0.3, 0.01))
		Expect(s.refuses(false, 0.2, at)).To(BeTrue())
		Expect(s.refuses(false, 0.4, at)).To(BeFalse())
		Expect(s.refuses(true, 0.99, at)).To(BeTrue(), "a call that has returned")
	})

	// Guards against shedding after the overload, by old data, and while a server has room.
	It("ends with short queues, with old calls, and with a server that has room", func() {
		s, at := after(shedding{updatedAt: now}, 160*time.Millisecond, 3)
		Expect(s.sheds(at.Add(sheddingLifetime + 1))).To(BeFalse())
		room, at := after(s, 0, 1)
		Expect(room.sheds(at)).To(BeFalse())
		short, at := after(s, fastest, 4)
		Expect(short.sheds(at)).To(BeFalse())
	})

	// Guards against shedding for one slow server.
	It("goes by the server that answers first, and by none without recent answers that is not full", func() {
		a, b := candidate{server: server("a", "here")}, candidate{server: server("b", "here")}
		Expect(serviceDelay(calls, []candidate{a})).To(Equal(160 * time.Millisecond))
		Expect(serviceDelay(calls, []candidate{a, b})).To(BeZero())
		b.backoff.refusals = 1
		Expect(serviceDelay(calls, []candidate{a, b})).To(Equal(160 * time.Millisecond))
	})

	// Guards against first attempts that count as returned since their callers state no limit.
	It("knows calls that have returned by a shorter time limit than is usual", func() {
		limits := longestTimes{}.add(1500*time.Millisecond, now).add(1000*time.Millisecond, now)
		Expect(limits.hasReturned(1000 * time.Millisecond)).To(BeTrue())
		Expect(limits.hasReturned(1490 * time.Millisecond)).To(BeFalse())
		Expect(limits.hasReturned(0)).To(BeFalse())
	})
})
