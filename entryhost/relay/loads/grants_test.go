package loads

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the grant of a server", func() {
	now := time.Unix(100, 0)
	var b *board
	ask := func(host string, sequence int64, pending ...int64) Others {
		return b.exchange(HostLoads{Host: host, Sequence: sequence, Pending: pending, Proposals: []Proposal{{Server: "s"}, {Server: "t", Cost: 0.1}}}, now)
	}
	BeforeEach(func() { b = newBoard() })

	// Guards against two hosts, or two streams of one, that get the same server.
	It("counts against that server for the next ask, also of the same host", func() {
		Expect(ask("a", 1).Granted).To(Equal("s"))
		Expect(ask("b", 1).Granted).To(Equal("t"))
		Expect(ask("a", 2, 1).Granted).To(Equal("s"), "both have one")
		Expect(b.exchange(HostLoads{Host: "earlier"}, now).Servers).To(Equal(map[string]Load{"s": {Reading: 2}, "t": {Reading: 1}}))
	})

	// Guards against an attempt that counts twice, and a grant that ends while its host
	// has yet to act on it.
	It("ends with the first report after the host has acted on it", func() {
		ask("a", 1)
		b.exchange(HostLoads{Host: "a", Sequence: 2, Pending: []int64{1}}, now)
		Expect(b.others("b").Servers).To(Equal(map[string]Load{"s": {Reading: 1}}))
		b.exchange(HostLoads{Host: "a", Sequence: 3, Servers: map[string]Load{"t": {Reading: 1}}}, now)
		Expect(b.others("b").Servers).To(Equal(map[string]Load{"t": {Reading: 1}}))
	})

	// Guards against servers that stay reserved for a host that is gone or frozen.
	It("ends after its lifetime without a report", func() {
		ask("a", 1)
		Expect(b.exchange(HostLoads{Host: "b"}, now.Add(grantLifetime-1)).Servers).NotTo(BeEmpty())
		Expect(b.exchange(HostLoads{Host: "b"}, now.Add(grantLifetime)).Servers).To(BeEmpty())
	})

	// Guards against slow servers that are granted as often as fast ones, and against
	// times of one service that are compared with those of another.
	It("prefers the faster of two idle servers", func() {
		observe := func(server, service string, seconds float64) {
			for range minSpeedSamples {
				b.exchange(HostLoads{Host: "a", FirstEvents: map[string]FirstEvent{server: {Service: service, Seconds: seconds}}}, now)
			}
		}
		observe("s", "engine", 9)
		Expect(ask("a", 1).Granted).To(Equal("s"), "no other server is known to be faster")
		for i := range 8 {
			observe(fmt.Sprint("other-", i), "other", 20)
		}
		Expect(b.speeds.Slowdown("s")).To(BeZero())
		for _, server := range []string{"t", "u", "v"} {
			observe(server, "engine", 1)
		}
		Expect(b.speeds.Slowdown("s")).To(BeNumerically("~", maxSlowness-1))
		b.grants = nil
		Expect(ask("a", 2).Granted).To(Equal("t"))
	})
})
