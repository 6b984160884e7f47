package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

// candidate is what the plugins read of a server.
type candidate struct {
	server *routing.Server
	// inFlight counts the attempts of this host on the server, decoding those
	// that have sent an event, and copies the cache copies that it holds.
	inFlight int
	decoding int
	copies   int
	// own servers are those that this host prefers in its data centre.
	own bool
	// warm tells that an idle connection is at hand.
	warm bool
	// full tells that this host's share of the server's connections is in use.
	full bool
	// paused servers failed recently; recovering ones have not succeeded since.
	paused     bool
	recovering bool
	// dataCentreLost tells that several servers of its data centre were lost a moment ago.
	dataCentreLost bool
	// stale registrations were contradicted by the server at the address.
	stale bool
	// failureRate is the smoothed share of attempts that failed.
	failureRate float64
}

// filter removes candidates. It returns a subset in the same order.
type filter func(request *Acquire, candidates []candidate) []candidate

// scorer returns the cost of a candidate; the lowest sum is picked.
type scorer func(dataCentre string, candidate *candidate) float64

const (
	// readingCost is the cost of an attempt that has sent no event yet and the
	// unit of the others: a prompt takes about a second of an engine's time.
	readingCost = 1.0
	// decodingCost is that of an attempt that sends events, which lengthens the
	// steps of the others a little.
	decodingCost = 0.5
	// copyCost is that of a held cache copy, which takes memory but no steps.
	copyCost = 0.1
	// foreignCost keeps work on the servers that this host prefers until they
	// read a prompt each, since other hosts send work to the others.
	foreignCost = 0.3
	// remoteCost is that of another data centre, beside foreignCost.
	remoteCost = 1.7
	// coldCost is that of a new connection.
	coldCost = 0.4
	// failureCost weighs a server that fails every attempt. Services fail up to 15
	// in 100 requests by themselves, which must not send work to other data centres.
	failureCost = 4.0
	// jitterCost spreads equal candidates, since other hosts see the same ones.
	jitterCost = 0.2
	// failureExcess is how far a failure rate may lie above the lowest of the
	// service before the server is left out.
	failureExcess = 0.3
)

var filters = []filter{usable, excluded, reachable, rested, healthy}

var scorers = []scorer{
	func(_ string, c *candidate) float64 {
		return readingCost*float64(c.inFlight-c.decoding) + decodingCost*float64(c.decoding) + copyCost*float64(c.copies)
	},
	func(_ string, c *candidate) float64 { return foreignCost * indicator(!c.own) },
	func(dataCentre string, c *candidate) float64 {
		return remoteCost * indicator(c.server.DataCentre != dataCentre)
	},
	func(_ string, c *candidate) float64 { return coldCost * indicator(!c.warm) },
	func(_ string, c *candidate) float64 { return failureCost * c.failureRate },
}

func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// usable keeps servers that may take work at all.
func usable(_ *Acquire, candidates []candidate) []candidate {
	return keep(candidates, func(c *candidate) bool { return !c.server.Draining && !c.stale && !c.full })
}

// excluded removes the servers that the request is done with.
func excluded(request *Acquire, candidates []candidate) []candidate {
	return keep(candidates, func(c *candidate) bool { return !request.Exclude[c.server.ID] })
}

// reachable removes the servers of data centres that seem cut off or down. It removes
// none if none remain.
func reachable(_ *Acquire, candidates []candidate) []candidate {
	return preferred(candidates, func(c *candidate) bool { return !c.dataCentreLost })
}

// rested removes servers that failed a moment ago, and lets one attempt at a
// time try a server that has not succeeded since. It removes none if none remain.
func rested(_ *Acquire, candidates []candidate) []candidate {
	return preferred(candidates, func(c *candidate) bool { return !c.paused && !(c.recovering && c.inFlight > 0) })
}

// healthy removes servers that fail far more often than the best one.
func healthy(_ *Acquire, candidates []candidate) []candidate {
	lowest := 1.0
	for i := range candidates {
		lowest = min(lowest, candidates[i].failureRate)
	}
	return preferred(candidates, func(c *candidate) bool { return c.failureRate <= lowest+failureExcess })
}

func keep(candidates []candidate, accept func(*candidate) bool) []candidate {
	kept := make([]candidate, 0, len(candidates))
	for i := range candidates {
		if accept(&candidates[i]) {
			kept = append(kept, candidates[i])
		}
	}
	return kept
}

// preferred keeps the accepted candidates, or all if none is accepted.
func preferred(candidates []candidate, accept func(*candidate) bool) []candidate {
	if kept := keep(candidates, accept); len(kept) > 0 {
		return kept
	}
	return candidates
}

// choose returns the candidate with the lowest cost after the filters, or nil.
func choose(random *rand.Rand, dataCentre string, request *Acquire, candidates []candidate) *candidate {
	for _, apply := range filters {
		candidates = apply(request, candidates)
	}
	return cheapest(random, dataCentre, candidates)
}

// chooseBackup returns where the copy of a run's cache goes: to another data centre
// than the run, since the engines of one data centre fail together, and then to the
// host's own data centre, which it reaches when the data centres are cut off from each other.
func chooseBackup(random *rand.Rand, dataCentre string, request *Acquire, candidates []candidate, chosen *routing.Server) *candidate {
	candidates = keep(excluded(request, usable(request, candidates)), func(c *candidate) bool {
		return c.server.ID != chosen.ID && !c.paused && !c.recovering
	})
	candidates = reachable(request, candidates)
	candidates = preferred(candidates, func(c *candidate) bool { return c.server.DataCentre != chosen.DataCentre })
	return cheapest(random, dataCentre, candidates)
}

func cheapest(random *rand.Rand, dataCentre string, candidates []candidate) *candidate {
	var best *candidate
	var lowest float64
	for i := range candidates {
		cost := jitterCost * random.Float64()
		for _, score := range scorers {
			cost += score(dataCentre, &candidates[i])
		}
		if best == nil || cost < lowest {
			best, lowest = &candidates[i], cost
		}
	}
	return best
}

const (
	// pauseFirst and pauseLongest bound the time that a server is left alone
	// after it could not be reached; it doubles with each failure. A crashed
	// server is back after about a second.
	pauseFirst   = 200 * time.Millisecond
	pauseLongest = 1600 * time.Millisecond
	// pauseBroken is that after a broken answer, which a live server may give.
	pauseBroken = 100 * time.Millisecond
	// failureWeight is the weight of one attempt in the smoothed failure rate.
	failureWeight = 0.15
)

// standing is what this host's attempts showed of one server.
type standing struct {
	failureRate float64
	pause       time.Duration
	pausedUntil time.Time
	stale       bool
}

// learn returns the standing after an outcome.
func (s standing) learn(outcome Outcome, now time.Time) standing {
	switch outcome {
	case OutcomeSuccess:
		s.failureRate *= 1 - failureWeight
		s.pause, s.pausedUntil = 0, time.Time{}
	case OutcomeFailed, OutcomeRejected:
		s.failureRate += failureWeight * (1 - s.failureRate)
		s.pause, s.pausedUntil = 0, time.Time{}
	case OutcomeBroken:
		s.failureRate += failureWeight * (1 - s.failureRate)
		s.pausedUntil = now.Add(pauseBroken)
	case OutcomeUnreachable, OutcomeSilent:
		s.pause = min(max(2*s.pause, pauseFirst), pauseLongest)
		s.pausedUntil = now.Add(s.pause)
	case OutcomeMisdirected:
		s.stale = true
	case OutcomeNone:
	}
	return s
}
