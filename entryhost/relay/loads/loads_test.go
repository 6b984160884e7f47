package loads

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

func TestLoads(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loads")
}

var _ = Describe("the board of a data centre", func() {
	now := time.Unix(100, 0)
	report := func(host string, sequence int64, servers map[string]Load) HostLoads {
		return HostLoads{Host: host, Sequence: sequence, Servers: servers}
	}

	It("returns the attempts of all hosts but the one that asks, which knows its own better", func() {
		b := newBoard()
		b.apply(report("a", 1, map[string]Load{"s": {Reading: 1}}), now)
		b.apply(report("b", 1, map[string]Load{"s": {Decoding: 2}, "t": {Reading: 1}}), now)
		Expect(b.others("a").Servers).To(Equal(map[string]Load{"s": {Decoding: 2}, "t": {Reading: 1}}))
		Expect(b.others("new").Servers).To(Equal(map[string]Load{"s": {Reading: 1, Decoding: 2}, "t": {Reading: 1}}))
	})

	It("ignores a report that a later one overtook, which would count ended attempts for seconds", func() {
		b := newBoard()
		b.apply(report("a", 2, nil), now)
		b.apply(report("a", 1, map[string]Load{"s": {Reading: 1}}), now)
		Expect(b.others("b").Servers).To(BeEmpty())
	})

	It("counts the reading attempts of each organisation at the other hosts", func() {
		b := newBoard()
		b.apply(HostLoads{Host: "a", Sequence: 1, Organisations: map[string]int{"large": 3, "small": 1}}, now)
		b.apply(HostLoads{Host: "b", Sequence: 1, Organisations: map[string]int{"large": 2}}, now)
		Expect(b.others("a").Organisations).To(Equal(map[string]int{"large": 2}))
		b.apply(HostLoads{Host: "a", Sequence: 2}, now)
		Expect(b.others("c").Organisations).To(Equal(map[string]int{"large": 2}))
	})

	It("counts attempts by rank, and those of hosts of an earlier build as the most urgent", func() {
		b := newBoard()
		b.apply(HostLoads{Host: "new", Sequence: 1, Organisations: map[string]int{"a": 3}, Ranks: map[int]int{0: 1, 2: 2}}, now)
		b.apply(HostLoads{Host: "earlier", Sequence: 1, Organisations: map[string]int{"a": 4}}, now)
		Expect(b.others("asks").ByRank()).To(Equal(map[int]int{0: 5, 2: 2}))
		Expect(b.others("new").ByRank()).To(Equal(map[int]int{0: 4}))
		b.apply(HostLoads{Host: "new", Sequence: 2, Organisations: map[string]int{"a": 1}, Ranks: map[int]int{2: 1}}, now)
		Expect(b.others("earlier").ByRank()).To(Equal(map[int]int{2: 1}))
		b.expire(now.Add(reportLifetime))
		Expect(b.ranks).To(BeEmpty())
		Expect(Others{Organisations: map[string]int{"a": 2}}.ByRank()).To(Equal(map[int]int{0: 2}), "an earlier collector")
	})

	It("forgets the attempts of a host that is gone", func() {
		b := newBoard()
		b.apply(report("a", 1, map[string]Load{"s": {Reading: 1}}), now)
		b.expire(now.Add(reportLifetime - 1))
		Expect(b.others("b").Servers).NotTo(BeEmpty())
		b.expire(now.Add(reportLifetime))
		Expect(b.others("b").Servers).To(BeEmpty())
		Expect(b.hosts).To(BeEmpty())
	})

	It("has the sum of the last reports, whatever came before", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := newBoard()
			last := map[string]map[string]Load{}
			for step := range rapid.IntRange(1, 100).Draw(t, "steps") {
				host := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "host"))
				servers := map[string]Load{}
				for range rapid.IntRange(0, 4).Draw(t, "servers") {
					servers[fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "server"))] = Load{Reading: rapid.IntRange(0, 2).Draw(t, "reading"), Decoding: rapid.IntRange(1, 3).Draw(t, "decoding")}
				}
				b.apply(report(host, int64(step), servers), now)
				last[host] = servers
			}
			want := map[string]Load{}
			for _, servers := range last {
				for id, load := range servers {
					want[id] = Load{Reading: want[id].Reading + load.Reading, Decoding: want[id].Decoding + load.Decoding}
				}
			}
			if got := b.others("nobody").Servers; fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("%v, want %v", got, want)
			}
		})
	})
})

var _ = Describe("the recent calls of plain services", func() {
	// Guards against shedding by calls that are over, and against reports that are lost.
	It("are the sums of the reports of all hosts within the window", func() {
		now := time.Unix(100, 0)
		calls := func(count int, fastest time.Duration) map[string]ServiceCalls {
			return map[string]ServiceCalls{"s": {Offered: count, Fastest: fastest, Answers: map[string]Answers{"a": {Count: count, Sum: time.Duration(count) * time.Second}}}}
		}
		var window CallWindow
		window.Add(calls(1, 3), now)
		window.Add(calls(2, 2), now.Add(10*time.Millisecond))
		window.Add(calls(4, 0), now.Add(400*time.Millisecond))
		Expect(window.Sums(now.Add(CallWindowLength - 1))).To(Equal(calls(7, 2)))
		Expect(window.Sums(now.Add(CallWindowLength))).To(Equal(calls(4, 0)))
		Expect(window.Sums(now.Add(2 * CallWindowLength))).To(BeEmpty())
	})
})

var _ = Describe("the collector of a data centre", func() {
	var hosts []routing.Host
	for i := range 50 {
		hosts = append(hosts, routing.Host{Address: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: fmt.Sprint("dc-", i%5)})
	}
	none := func(string) bool { return false }

	It("is one of its hosts, and the next one while it is excluded", func() {
		first := Collector(Collectors("dc-1", hosts), none)
		second := Collector(Collectors("dc-1", hosts), func(address string) bool { return address == first })
		Expect(first).NotTo(BeEmpty())
		Expect(second).NotTo(Or(BeEmpty(), Equal(first)))
		for _, host := range hosts {
			if host.Address == first || host.Address == second {
				Expect(host.DataCentre).To(Equal("dc-1"))
			}
		}
		Expect(Collector(Collectors("elsewhere", hosts), none)).To(BeEmpty())
	})
})
