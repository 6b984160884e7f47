package dispatch

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/loads"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

// candidate is the state of a server that filters and scorers read.
type candidate struct {
	server *routing.Server
	// inFlight counts this host's attempts on the server, decoding those of them
	// that have sent an event, and copies the cache copies that the server
	// holds.
	inFlight int
	decoding int
	copies   int
	// others are the attempts of other hosts, as far as they are known.
	others loads.Load
	// owned servers are preferred by this host; see ownership.
	owned bool
	// warm is set if an idle connection is available.
	warm bool
	// full is set if no connection is idle and this host's share of the server's
	// connections is in use.
	full bool
	// paused servers failed recently; recovering ones have not answered since
	// they were unreachable or silent.
	paused     bool
	recovering bool
	// dataCentreDown is set if the service's servers in the data centre are
	// avoided; see poolFailures.
	dataCentreDown bool
	// stale registrations name a server that is no longer at the address.
	stale bool
	// leaving servers have stated that they take no new work.
	leaving bool
	// refusesFor is the time for which the server has asked for no requests.
	refusesFor time.Duration
	// failureRate is the smoothed share of failed attempts.
	failureRate float64
	// backoff is that of a server of a plain service that was full.
	backoff serverBackoff
	// slowdown is the part by which the server takes longer for a prompt than others of
	// its service.
	slowdown float64
	// unseen is set if the attempts of other hosts on the server, which are shared, are
	// not known.
	unseen bool
}

// reading returns the attempts of all hosts that have sent no event yet, and
// allDecoding those that have.
func (c *candidate) reading() int { return c.inFlight - c.decoding + c.others.Reading }

func (c *candidate) allDecoding() int { return c.decoding + c.others.Decoding }

// filter removes candidates. It returns a subset in the same order.
type filter func(request *Acquire, candidates []candidate) []candidate

// scorer returns a cost of a candidate beside that of its load; the lowest sum wins.
type scorer func(dataCentre string, candidate *candidate) float64

// namedFilter and namedScorer have the names by which explanations of routes refer to them.
type namedFilter struct {
	name  string
	apply filter
}

type namedScorer struct {
	name  string
	score scorer
}

const (
	// The unit of all costs is a second by which a stream is delayed; loads.Load.Cost has
	// the cost of attempts.
	//
	// copyCost is the cost of a held cache copy, which takes memory but no
	// compute.
	copyCost = 0.1
	// notOwnedCost prefers the servers that this host owns, so that hosts that choose
	// in the same moment choose different ones.
	notOwnedCost = 0.1
	// unseenCost is the cost of a server that other hosts own while their attempts are not
	// known. It is below that of an attempt of this host on its own servers, so that a
	// host that finds these busy takes others.
	unseenCost = 1.3
	// remoteCost is the cost of a server in another data centre, in addition to
	// notOwnedCost.
	remoteCost = 1.7
	// newConnectionCost is the cost of opening a connection.
	newConnectionCost = 0.2
	// failureRateCost is the cost of a server that fails every attempt. Services
	// fail up to 15 in 100 requests by themselves, which must not move work to
	// other data centres.
	failureRateCost = 4.0
	// refusedCost is the cost of a server that has refused a call since it was full and has
	// not answered since. It is less than that of an attempt, so that a full server is
	// asked again when the others have more to do.
	refusedCost = 1.0
	// jitterCost spreads load over candidates of equal cost, since other hosts
	// see the same ones.
	jitterCost = 0.2
	// maxFailureRateExcess is how far a server's failure rate may exceed the
	// lowest one of the candidates before the server is left out.
	maxFailureRateExcess = 0.3
)

var filters = []namedFilter{
	{"usable", usable}, {"not_excluded", notExcluded}, {"not_avoided", notAvoided}, {"reachable", reachable}, {"not_paused", notPaused},
	{"not_failing", notFailing},
}

var scorers = []namedScorer{
	{"copies", func(_ string, c *candidate) float64 { return copyCost * float64(c.copies) }},
	{"not_owned", func(_ string, c *candidate) float64 { return notOwnedCost * indicator(!c.owned) }},
	{"loads_unknown", func(_ string, c *candidate) float64 { return unseenCost * indicator(c.unseen && !c.owned) }},
	{"remote", func(dataCentre string, c *candidate) float64 {
		return remoteCost * indicator(c.server.DataCentre != dataCentre)
	}},
	{"new_connection", func(_ string, c *candidate) float64 { return newConnectionCost * indicator(!c.warm) }},
	{"failure_rate", func(_ string, c *candidate) float64 { return failureRateCost * c.failureRate }},
	{"was_full", func(_ string, c *candidate) float64 { return refusedCost * indicator(c.backoff.refusals > 0) }},
}

func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// usable keeps servers that may take work.
func usable(_ *Acquire, candidates []candidate) []candidate {
	return filterCandidates(candidates, isUsable)
}

func isUsable(c *candidate) bool {
	return !c.server.Draining && !c.leaving && c.refusesFor == 0 && !c.stale && !c.full
}

// notExcluded removes servers that the request must not use again.
func notExcluded(request *Acquire, candidates []candidate) []candidate {
	return filterCandidates(candidates, func(c *candidate) bool { return !request.Exclude[c.server.ID] })
}

// notAvoided removes servers in the data centres that the request avoids, unless that
// removes all.
func notAvoided(request *Acquire, candidates []candidate) []candidate {
	return filterUnlessEmpty(candidates, func(c *candidate) bool { return !request.Avoid[c.server.DataCentre] })
}

// reachable removes servers in data centres that seem cut off or down, unless
// that removes all.
func reachable(_ *Acquire, candidates []candidate) []candidate {
	return filterUnlessEmpty(candidates, func(c *candidate) bool { return !c.dataCentreDown })
}

// notPaused removes servers that failed recently, and allows a recovering server
// one attempt at a time. It removes none if none would remain.
func notPaused(_ *Acquire, candidates []candidate) []candidate {
	return filterUnlessEmpty(candidates, func(c *candidate) bool { return !c.paused && !(c.recovering && c.inFlight > 0) })
}

// notFailing removes servers that fail far more often than the best one.
func notFailing(_ *Acquire, candidates []candidate) []candidate {
	lowest := 1.0
	for i := range candidates {
		lowest = min(lowest, candidates[i].failureRate)
	}
	return filterUnlessEmpty(candidates, func(c *candidate) bool { return c.failureRate <= lowest+maxFailureRateExcess })
}

// filterCandidates keeps the accepted candidates. Usually these are all, which needs no
// copy.
func filterCandidates(candidates []candidate, accept func(*candidate) bool) []candidate {
	first := 0
	for first < len(candidates) && accept(&candidates[first]) {
		first++
	}
	if first == len(candidates) {
		return candidates
	}
	kept := append(make([]candidate, 0, len(candidates)), candidates[:first]...)
	for i := first + 1; i < len(candidates); i++ {
		if accept(&candidates[i]) {
			kept = append(kept, candidates[i])
		}
	}
	return kept
}

// filterUnlessEmpty keeps the accepted candidates, or all of them if none is
// accepted.
func filterUnlessEmpty(candidates []candidate, accept func(*candidate) bool) []candidate {
	if kept := filterCandidates(candidates, accept); len(kept) > 0 {
		return kept
	}
	return candidates
}

// chooseServer applies the filters and returns the candidate with the lowest
// cost, or nil.
func chooseServer(random *rand.Rand, dataCentre string, request *Acquire, candidates []candidate) *candidate {
	chosen, _ := chooseScored(random, dataCentre, request, candidates)
	return chosen
}

// chooseScored also returns the candidate's cost, which is infinite if there is none.
func chooseScored(random *rand.Rand, dataCentre string, request *Acquire, candidates []candidate) (*candidate, float64) {
	for _, filter := range filters {
		candidates = filter.apply(request, candidates)
	}
	return cheapest(random, dataCentre, candidates)
}

// chooseBackup returns the server for a copy of a run's cache. It prefers
// another data centre than the run's, since the engines of one data centre fail
// together; the costs then prefer the host's own data centre, which it can reach
// when the data centres are cut off from each other.
func chooseBackup(random *rand.Rand, dataCentre string, request *Acquire, candidates []candidate, chosen *routing.Server) *candidate {
	candidates = filterCandidates(notExcluded(request, usable(request, candidates)), func(c *candidate) bool {
		return c.server.ID != chosen.ID && c.server.Address != chosen.Address && !c.paused && !c.recovering
	})
	candidates = reachable(request, candidates)
	candidates = filterUnlessEmpty(candidates, func(c *candidate) bool { return c.server.DataCentre != chosen.DataCentre })
	backup, _ := cheapest(random, dataCentre, candidates)
	return backup
}

// cheapest returns the candidate with the lowest cost, and the cost.
func cheapest(random *rand.Rand, dataCentre string, candidates []candidate) (*candidate, float64) {
	var best *candidate
	lowest := math.Inf(1)
	for i := range candidates {
		if cost := costOf(random, dataCentre, &candidates[i]); cost < lowest {
			best, lowest = &candidates[i], cost
		}
	}
	return best, lowest
}

// costOf returns the sum of the candidate's costs and a jitter.
func costOf(random *rand.Rand, dataCentre string, c *candidate) float64 {
	return c.load().Cost(c.slowdown) + costBesideLoad(random, dataCentre, c)
}

// load returns the attempts of all hosts on the server.
func (c *candidate) load() loads.Load {
	return loads.Load{Reading: c.reading(), Decoding: c.allDecoding(), Failed: c.others.Failed}
}

// costBesideLoad returns the costs that do not depend on the attempts on the server.
func costBesideLoad(random *rand.Rand, dataCentre string, c *candidate) float64 {
	cost := jitterOf(random)
	for _, scorer := range scorers {
		cost += scorer.score(dataCentre, c)
	}
	return cost
}

// jitterOf returns the jitter of a cost; it is 0 for an explanation, which has no random
// source.
func jitterOf(random *rand.Rand) float64 {
	if random == nil {
		return 0
	}
	return jitterCost * random.Float64()
}

const (
	// minPause and maxPause bound how long a server is avoided after it was
	// unreachable or silent; the pause doubles with each failure. A crashed
	// server is back after about a second.
	minPause = 200 * time.Millisecond
	maxPause = 1600 * time.Millisecond
	// pauseAfterBroken is the pause after a broken response, which a live server
	// may send.
	pauseAfterBroken = 100 * time.Millisecond
	// failureRateWeight is the weight of one attempt in the smoothed failure
	// rate.
	failureRateWeight = 0.15
)

// serverHealth is the state of one server as derived from this host's attempts.
type serverHealth struct {
	failureRate float64
	pause       time.Duration
	pausedUntil time.Time
	stale       bool
}

// update returns the health after an attempt.
func (h serverHealth) update(outcome Outcome, now time.Time) serverHealth {
	switch outcome {
	case OutcomeSuccess:
		h.failureRate *= 1 - failureRateWeight
		h.pause, h.pausedUntil = 0, time.Time{}
	case OutcomeFailed, OutcomeRejected:
		h.failureRate += failureRateWeight * (1 - h.failureRate)
		h.pause, h.pausedUntil = 0, time.Time{}
	case OutcomeBroken:
		h.failureRate += failureRateWeight * (1 - h.failureRate)
		h.pausedUntil = now.Add(pauseAfterBroken)
	case OutcomeUnreachable, OutcomeSilent:
		h.pause = min(max(2*h.pause, minPause), maxPause)
		h.pausedUntil = now.Add(h.pause)
	case OutcomeMisdirected:
		h.stale = true
	case OutcomeNone:
	}
	return h
}
