package loads

import "slices"

const (
	// speedWeight is the weight of one time to the first event in the smoothed time of a
	// server; the prompts differ in length.
	speedWeight = 0.2
	// minSpeedSamples is the number of times that are needed of a server, and
	// minSpeedServers the number of such servers of a service, before it counts as slow or
	// fast.
	minSpeedSamples = 3
	minSpeedServers = 4
	// maxSlowness bounds the effect of what may be long prompts: engines of a service
	// differ by a factor of up to 1.3.
	maxSlowness = 1.3
	// MaxSpeedup is the largest part by which a server counts as faster.
	MaxSpeedup = 1 - 1/maxSlowness
	// maxSpeedServers bounds the servers that are remembered. Restarted servers have new
	// ids; beyond the bound all are forgotten and observed again.
	maxSpeedServers = 4096
)

// Speeds holds the observed speeds of servers, by the time that each took to its first
// event without another prompt beside it.
type Speeds struct {
	servers map[string]*speed
	// medians are the medians by service of the servers with enough samples.
	medians map[string]float64
}

type speed struct {
	service string
	seconds float64
	samples int
}

// NewSpeeds returns speeds without observations.
func NewSpeeds() *Speeds {
	return &Speeds{servers: map[string]*speed{}, medians: map[string]float64{}}
}

// Observe records the time of a server.
func (s *Speeds) Observe(server string, event FirstEvent) {
	known, found := s.servers[server]
	if !found || known.service != event.Service {
		if len(s.servers) >= maxSpeedServers {
			clear(s.servers)
		}
		known = &speed{service: event.Service, seconds: event.Seconds}
		s.servers[server] = known
	}
	known.samples++
	known.seconds += speedWeight * (event.Seconds - known.seconds)
	var times []float64
	for _, other := range s.servers {
		if other.service == event.Service && other.samples >= minSpeedSamples {
			times = append(times, other.seconds)
		}
	}
	delete(s.medians, event.Service)
	if len(times) >= minSpeedServers {
		slices.Sort(times)
		s.medians[event.Service] = times[len(times)/2]
	}
}

// Slowdown returns the part by which a server takes longer than the median of its service.
// It is negative for a fast server and 0 for one whose speed is not known.
func (s *Speeds) Slowdown(server string) float64 {
	known, found := s.servers[server]
	if !found || known.samples < minSpeedSamples || s.medians[known.service] <= 0 {
		return 0
	}
	return min(max(known.seconds/s.medians[known.service], 1/maxSlowness), maxSlowness) - 1
}
