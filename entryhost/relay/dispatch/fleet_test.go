package dispatch

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/loads"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

const (
	// promptSeconds and decodeSeconds are the engine time of a stream.
	promptSeconds = 1.04
	decodeSeconds = 5.0
	// streamsPerEngine is the arrival rate on the large deployment, 0.26 a second
	// for each engine.
	streamsPerEngine = 0.26
	// maxMet is the share of streams that may meet an engine that is reading another
	// prompt. With a choice of all engines at that rate it is far below.
	maxMet = 0.05
)

// fleetRun is a stream on an engine in simulated time.
type fleetRun struct {
	host, engine     int
	started, endTime float64
}

// meetings simulates the hosts and engines of one data centre and returns the share
// of streams that were sent to an engine that was reading another prompt. If shared
// is set, each host knows the attempts of the others, as of delay seconds before.
func meetings(hosts, engines int, shared bool, delay float64) float64 {
	random := rand.New(rand.NewPCG(uint64(hosts), 7))
	var peers []routing.Host
	for i := range hosts {
		peers = append(peers, routing.Host{Address: fmt.Sprintf("10.1.0.%d:8748", i), DataCentre: "here"})
	}
	servers := make([]*routing.Server, engines)
	owned := make([]map[int]bool, hosts)
	for i := range hosts {
		owned[i] = map[int]bool{}
		others := append(append([]routing.Host{}, peers[:i]...), peers[i+1:]...)
		o := newOwnership(peers[i].Address, "here", others)
		for j := range engines {
			servers[j] = server(fmt.Sprintf("10.2.0.%d:80", j), "here")
			owned[i][j] = o.owns(servers[j])
		}
	}
	var runs []fleetRun
	now, met, count := 0.0, 0, 0
	for count < 4000 {
		now += random.ExpFloat64() / (streamsPerEngine * float64(engines))
		host := random.IntN(hosts)
		var open []fleetRun
		for _, run := range runs {
			if run.endTime > now {
				open = append(open, run)
			}
		}
		runs = open
		candidates := make([]candidate, engines)
		reading := make([]int, engines)
		for j := range candidates {
			candidates[j] = candidate{server: servers[j], owned: owned[host][j]}
		}
		for _, run := range runs {
			c := &candidates[run.engine]
			isReading := now-run.started < promptSeconds
			if isReading {
				reading[run.engine]++
			}
			switch {
			case run.host == host:
				c.inFlight++
				if !isReading {
					c.decoding++
				}
			case shared && now-run.started > delay:
				load := loads.Load{Decoding: c.others.Decoding + 1, Reading: c.others.Reading}
				if isReading {
					load = loads.Load{Decoding: c.others.Decoding, Reading: c.others.Reading + 1}
				}
				c.others = load
			}
		}
		chosen := chooseServer(random, "here", &Acquire{}, candidates)
		for j := range servers {
			if servers[j] == chosen.server {
				if reading[j] > 0 {
					met++
				}
				runs = append(runs, fleetRun{host: host, engine: j, started: now, endTime: now + promptSeconds + decodeSeconds})
			}
		}
		count++
	}
	return float64(met) / float64(count)
}

// Guards against hosts that each see few streams and send them to the same engine.
var _ = Describe("a large fleet in which each host sees a stream now and then", func() {
	DescribeTable("sends streams to engines that read no other prompt",
		func(hosts, engines int) {
			Expect(meetings(hosts, engines, true, 0.005)).To(BeNumerically("<", maxMet))
		},
		Entry("6 hosts", 6, 18),
		Entry("13 hosts, a data centre of 80", 13, 30),
		Entry("50 hosts, a data centre of 300", 50, 54),
	)

	It("does not without the attempts of the other hosts, the baseline", func() {
		Expect(meetings(50, 54, false, 0)).To(BeNumerically(">", 2*maxMet))
	})
})
