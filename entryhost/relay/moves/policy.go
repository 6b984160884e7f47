package moves

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

// ExposureLimits limits the exposure of callers to a version that may be faulty.
type ExposureLimits struct {
	// Share is the fraction of requests that a faulty version may receive over
	// the whole move, and Slack the number of requests that it may receive in
	// addition.
	Share float64
	Slack float64
}

const (
	// initialShare is the target's share of the traffic at the start. It rises to
	// provenShare after minProvenResponses successful responses.
	initialShare = 0.05
	provenShare  = 0.3
	// minProvenResponses is the number of successful responses that allow
	// provenShare.
	minProvenResponses = 10
	// maxTrialShare is the highest share of a route with so little traffic that
	// initialShare would bring no evidence in time. Most requests stay on the other
	// versions.
	maxTrialShare = 0.4
	// lateTrialShare is the share of a route after the trial if it lacks even the answers
	// that completion needs and none is on its way.
	lateTrialShare = 0.8
	// maxUnanswered is the number of requests that may wait for an answer of the target
	// before routes lose their larger share. More of them would show a slow version no
	// sooner.
	maxUnanswered = 6
	// trialRequests is the number of requests of each route that the target receives
	// within trialFraction of the move's duration, if the limits allow it. They suffice
	// to find a faulty version and to prove a good one, and the rest of the time
	// suffices for slow responses. A move that has time for a load test only after a shorter
	// trial gets one, of at least minTrialTimeFraction.
	trialRequests        = 8
	trialFraction        = 0.5
	minTrialTimeFraction = 0.25
	// usedExposureFraction is the fraction of the allowed exposure that is used.
	usedExposureFraction = 0.75
	// exposureLookahead is the time for which a share must stay within the allowed
	// exposure: a round, and the time until all hosts follow it.
	exposureLookahead = 2 * time.Second
	// completionFraction is the fraction of the move's duration at which it is completed
	// if the target is proven; the rest is reserved for an outage of the store. The
	// handover comes before it, but not before minTrialFraction. After withdrawalFraction
	// the move to an unproven target is withdrawn: a good version costs another order then,
	// a faulty one would cost all requests.
	completionFraction = 0.8
	minTrialFraction   = 0.5
	withdrawalFraction = 0.9
	// handoverRounds is the number of rounds in which all traffic goes to a proven target
	// before the move is completed. The old servers stop on completion, so every host must
	// have left them before, and a target that is faulty under load can be withdrawn still.
	handoverRounds = 2
	// minFailures is the number of failures or slow responses below which their rate is
	// ignored.
	minFailures = 4
	// failureRateFactor and failureRateMargin bound the target's rate of failures or
	// slow responses: it may reach the rate of the other versions times the factor plus
	// the margin.
	failureRateFactor = 2.0
	failureRateMargin = 0.1
	// A route of which the other versions fail more than usualFailureRate fails by itself.
	// With less than minUsualRequests of theirs, that is not known.
	usualFailureRate = 0.05
	minUsualRequests = 20
	// faultyChance is how likely so many failures or slow responses may be by chance
	// for the target to count as faulty. It is low, since several rates are compared in
	// each round of a move. suspectChance and suspectMargin are the bounds for it to be
	// unproven; the margin is wider, since a few slow responses are usual.
	faultyChance  = 0.001
	suspectChance = 0.02
	suspectMargin = 0.2
	// reportedChance is how likely so many reported failures may be by chance for the target
	// to count as faulty, without a margin: they tell of the version itself. Several routes
	// are compared in each round of a move, so it is lower than faultyChance.
	reportedChance = 0.0001
	// reportedSuspectChance is the bound for the target to be unproven: two failures among
	// the requests of a trial, of a service that does not fail by itself, postpone the
	// handover until more evidence is there.
	reportedSuspectChance = 0.005
	// minReportingServers is the number of servers of the target that have to report
	// failures, unless it has fewer; one server may be faulty by itself.
	minReportingServers = 2
	// minLatencySamples is the number of successful responses below which the mean
	// latency is ignored. latencyFactor is the highest ratio of the target's mean
	// latency to that of the other versions, and of one response's time to the median
	// of the other versions; a response that takes longer is slow.
	minLatencySamples = 8
	latencyFactor     = 2.5
	// minReferenceSamples is the number of times of the other versions below which they
	// have no median.
	minReferenceSamples = 4
	// A target is proven by provingShare of all answers of the service, but by at least
	// minProvingAnswers and at most maxProvingAnswers.
	provingShare      = 0.25
	minProvingAnswers = 3
	maxProvingAnswers = 8
	// A version may be faulty on one route only, so routes with minRouteRequests since the
	// order need minProvingAnswers of the target. After completionFraction only routes with
	// minLateRouteRequests do: one that falls silent must not stop the move.
	minRouteRequests     = 6
	minLateRouteRequests = 20
	// recentRounds is the number of rounds that are compared by themselves, so that a
	// target that turns faulty after many good responses is found.
	recentRounds = 5
	// holderTimeoutRounds is the number of rounds without a heartbeat after
	// which another host takes over the move.
	holderTimeoutRounds = 3
	// maxFailedRounds is the number of consecutive failed rounds after which this host
	// reduces the target's share; the store's answers are lost or late now and then.
	maxFailedRounds = 3
)

// tally counts responses of the target of one kind, those of them that are bad, and how
// many of them would be bad on the other versions. Bad responses that come in pairs are
// worth half as many.
type tally struct {
	count    int
	bad      int
	expected float64
	paired   bool
	// servers has the bad responses by server, if only their servers can be the cause.
	servers map[string]int
}

func (t tally) add(other tally) tally {
	return tally{count: t.count + other.count, bad: t.bad + other.bad, expected: t.expected + other.expected, servers: addCounts(t.servers, other.servers)}
}

// isWorse reports whether the target's rate is beyond the factor and the margin, and that
// by chance only in so many cases.
func (t tally) isWorse(margin, chance float64) bool {
	if t.count == 0 {
		return false
	}
	rate, base := float64(t.bad)/float64(t.count), t.expected/float64(t.count)
	count, bad := t.count, t.bad
	if t.paired {
		count, bad = (count+1)/2, bad/2
	}
	return rate > failureRateFactor*base+margin && binomialTail(count, bad, base) < chance
}

func (t tally) isFaulty() bool {
	return t.bad >= minFailures && t.isWorse(failureRateMargin, faultyChance)
}

// isFaultyByReports reports whether servers of the target report more failures than those of
// the other versions, however few they are in a hundred.
func (t tally) isFaultyByReports(targetServers int) bool {
	return t.bad >= minFailures && t.isReportedBy(targetServers) && t.isWorse(0, reportedChance)
}

// isSuspectByReports reports whether the reports of the target's servers need more evidence.
func (t tally) isSuspectByReports(targetServers int) bool {
	return t.isReportedBy(targetServers) && t.isWorse(0, reportedSuspectChance)
}

// isReportedBy reports whether enough servers of the target report failures.
func (t tally) isReportedBy(targetServers int) bool {
	return len(t.servers) >= min(minReportingServers, max(targetServers, 1))
}

// binomialTail returns the probability of at least bad of count events that each have
// the given probability.
func binomialTail(count, bad int, probability float64) float64 {
	if bad <= 0 || probability >= 1 {
		return 1
	}
	var tail float64
	for k := bad; k <= count; k++ {
		tail += math.Exp(logChoose(count, k) + float64(k)*math.Log(probability) + float64(count-k)*math.Log1p(-probability))
	}
	return tail
}

func logChoose(n, k int) float64 {
	all, _ := math.Lgamma(float64(n + 1))
	chosen, _ := math.Lgamma(float64(k + 1))
	rest, _ := math.Lgamma(float64(n - k + 1))
	return all - chosen - rest
}

// smoothedRate returns the rate of bad responses. With few responses it stays away from
// 0, so that one bad response of the target does not stand out.
func smoothedRate(bad, count int) float64 { return (float64(bad) + 1) / (float64(count) + 2) }

// failures counts the target's requests whose first attempt failed. Those in progress
// have not failed yet.
func failures(v Versions) tally {
	count := v.Target.first()
	return tally{
		count: count, bad: v.Target.Failed, expected: float64(count) * smoothedRate(v.Other.Failed, v.Other.first()),
		paired: failsByItself(v.Other),
	}
}

// reportedFailures counts the target's requests whose server reported a failure.
func reportedFailures(v Versions) tally {
	count := v.Target.first()
	return tally{
		count: count, bad: v.Target.reported(), expected: float64(count) * smoothedRate(v.Other.reported(), v.Other.first()),
		paired: failsByItself(v.Other), servers: v.Target.Reported,
	}
}

// failsByItself reports whether requests seem to fail for another reason than their
// server. Callers repeat these and they fail again, so failures come in pairs.
func failsByItself(other Sample) bool {
	return other.first() < minUsualRequests || other.Failed > 1 && other.failureRate() > usualFailureRate
}

// slowness counts the target's attempts that took or have been waiting latencyFactor
// times longer for a step than the other versions usually take.
func slowness(target, other Step) tally {
	if other.Done.Count() < minReferenceSamples {
		return tally{}
	}
	limit := time.Duration(latencyFactor * float64(other.Done.median()))
	count, bad := target.slow(limit)
	otherCount, otherBad := other.slow(limit)
	return tally{count: count, bad: bad, expected: float64(count) * smoothedRate(otherBad, otherCount)}
}

// slow returns how many attempts are known to have taken longer or not longer than the
// limit, and how many have taken longer.
func (s Step) slow(limit time.Duration) (count, over int) {
	overdue := s.Waiting.countOver(limit) + s.Left.countOver(limit)
	return s.Done.Count() + overdue, s.Done.countOver(limit) + overdue
}

// comparison is one rate of the target on one route, or on all routes together.
type comparison struct {
	route string
	kind  string
	tally tally
}

// compare returns the rates of the target by route and over all routes. The sums over
// the routes use the rates of the other versions on each route, since the shares differ
// by route.
func (o Observation) compare() []comparison {
	var all []comparison
	var failed, answers, pace tally
	for _, route := range slices.Sorted(maps.Keys(o)) {
		if route == "" {
			// Those of hosts that do not tell routes apart; see isFaulty.
			continue
		}
		v := o[route]
		f, a, p := failures(v), slowness(v.Target.Answers, v.Other.Answers), slowness(v.Target.Pace, v.Other.Pace)
		failed, answers, pace = failed.add(f), answers.add(a), pace.add(p)
		all = append(all, comparison{route, "failures", f}, comparison{route, "slow answers", a}, comparison{route, "slow events", p})
	}
	failed.paired = failsByItself(o.total().Other)
	return append(all, comparison{"all", "failures", failed}, comparison{"all", "slow answers", answers}, comparison{"all", "slow events", pace})
}

// compareReports returns the rates of reported failures by route and over all routes.
func (o Observation) compareReports() []comparison {
	var all []comparison
	var reported tally
	for _, route := range slices.Sorted(maps.Keys(o)) {
		rate := reportedFailures(o[route])
		reported = reported.add(rate)
		all = append(all, comparison{route, "reported failures", rate})
	}
	reported.paired = failsByItself(o.total().Other)
	return append(all, comparison{"all", "reported failures", reported})
}

// faults returns why the target, which has a number of servers, is faulty, or "".
func (o Observation) faults(targetServers int) string {
	for _, c := range o.compareReports() {
		if c.tally.isFaultyByReports(targetServers) {
			return c.String()
		}
	}
	for _, c := range o.compare() {
		if c.tally.isFaulty() {
			return c.String()
		}
	}
	for route, v := range o {
		if isSlower(v.Target, v.Other) || route == "" && isFaulty(v.Target, v.Other) {
			return fmt.Sprintf("route %q: %d failures of %d, mean time %d ms; other versions %d of %d, %d ms", route, v.Target.Failed, v.Target.Count,
				v.Target.meanLatency().Milliseconds(), v.Other.Failed, v.Other.Count, v.Other.meanLatency().Milliseconds())
		}
	}
	return ""
}

// String describes the comparison in a reason.
func (c comparison) String() string {
	return fmt.Sprintf("route %q: %d %s of %d, %.1f expected from the other versions", c.route, c.tally.bad, c.kind, c.tally.count, c.tally.expected)
}

// doubts returns why the target is not proven to be as good as the other versions, or
// "". Routes with minRequests need evidence of their own.
func (o Observation) doubts(minRequests, targetServers int) string {
	for _, c := range o.compareReports() {
		if c.tally.isSuspectByReports(targetServers) {
			return c.String()
		}
	}
	for _, c := range o.compare() {
		if c.tally.isWorse(suspectMargin, suspectChance) {
			return c.String()
		}
	}
	total := o.total()
	answered, all := total.Target.answered(), total.Target.answered()+total.Other.answered()
	if needed := min(max(int(provingShare*float64(all)), minProvingAnswers), maxProvingAnswers); answered < needed {
		return fmt.Sprintf("%d answers of %d needed", answered, needed)
	}
	for _, route := range slices.Sorted(maps.Keys(o)) {
		v := o[route]
		needed := v.Other.answersOf(minProvingAnswers)
		if answered := v.Target.answered(); route != "" && answered < needed && v.Target.sent()+v.Other.sent() >= minRequests {
			return fmt.Sprintf("route %q: %d answers of %d needed", route, answered, needed)
		}
	}
	return ""
}

// isFaulty reports whether the target fails more often or responds more slowly
// than the other versions, beyond the tolerances.
func isFaulty(target, other Sample) bool {
	if target.Failed >= minFailures && target.failureRate() > failureRateFactor*other.failureRate()+failureRateMargin {
		return true
	}
	return isSlower(target, other)
}

// isSlower compares the mean times of attempts that have ended. A few responses that
// take very long show in it, though they are no large part.
func isSlower(target, other Sample) bool {
	return target.succeeded() >= minLatencySamples && other.succeeded() >= minLatencySamples && target.meanLatency() > time.Duration(latencyFactor*float64(other.meanLatency()))
}

// progress is what the holder of a move knows when it decides.
type progress struct {
	elapsed  time.Duration
	duration time.Duration
	// seen is the evidence since the order, recent that of the last recentRounds.
	seen   Observation
	recent Observation
	// latestStart is the latest start of the target's servers.
	latestStart time.Duration
	// targetServers is the number of registered servers of the target.
	targetServers int
}

// nextState returns the state that the holder writes next.
func nextState(state State, p progress, limits ExposureLimits) State {
	state.Heartbeat++
	state.Reason, state.RouteShares, state.Elapsed = "", nil, p.elapsed
	fault := p.seen.faults(p.targetServers)
	if fault == "" {
		fault = p.recent.faults(p.targetServers)
	}
	minRequests := minRouteRequests
	if p.elapsed >= time.Duration(completionFraction*float64(p.duration)) {
		minRequests = minLateRouteRequests
	}
	doubt := p.seen.doubts(minRequests, p.targetServers)
	// In the handover, only a fault stops the move: the other versions get no traffic that
	// the target could be compared with.
	proven := state.Handover > 0 || doubt == ""
	late := p.elapsed >= time.Duration(withdrawalFraction*float64(p.duration))
	// The last round of a short move may come before withdrawalFraction.
	isLast := p.elapsed+roundInterval >= p.duration
	switch {
	case fault != "":
		state = state.withdrawn(resultFaulty+": "+fault, p.latestStart)
	case proven && (late || state.Handover >= handoverRounds || state.Handover > 0 && isLast):
		state.Phase, state.Share = routing.PhaseCompleted, 1
	case proven && p.elapsed >= handoverStart(p.duration) && !state.LoadTest.isPending(p.elapsed):
		state.Handover, state.Share = state.Handover+1, 1
	case late:
		state = state.withdrawn(resultUnproven+": "+doubt, p.latestStart)
	default:
		state.Reason = doubt
		if proven && !state.LoadTest.isPlanned() {
			state.LoadTest = planLoadTest(p, limits)
		}
		state.Share, state.RouteShares = shares(p, doubt == "", state.LoadTest, limits)
	}
	return state
}

// withdrawn returns the state of the withdrawn move. The rejection of its target holds
// for later moves too.
func (s State) withdrawn(reason string, latestStart time.Duration) State {
	s.Phase, s.Share, s.Reason = routing.PhaseWithdrawn, 0, reason
	s.Rejected = s.Rejected.With(routing.Rejection{Version: s.Target, Order: s.Order, Withdrawn: true, LatestStart: latestStart})
	return s
}

// The results of moves; each is a label of the counter of moves, and the reason of a
// withdrawn move begins with its result.
const (
	resultCompleted = "completed"
	resultFaulty    = "faulty"
	resultUnproven  = "unproven"
)

// result returns the result of a move, or "" while it is active.
func (s State) result() string {
	switch {
	case s.Phase == routing.PhaseCompleted:
		return resultCompleted
	case s.Phase != routing.PhaseWithdrawn:
		return ""
	case strings.HasPrefix(s.Reason, resultUnproven):
		return resultUnproven
	default:
		return resultFaulty
	}
}

// handoverStart returns the time after the order at which all traffic goes to a proven
// target.
func handoverStart(duration time.Duration) time.Duration {
	return max(time.Duration(minTrialFraction*float64(duration)), time.Duration(completionFraction*float64(duration))-handoverRounds*roundInterval)
}

// trialTime returns the time after the order within which the target receives trialRequests of
// each route. A load test follows where the move is long enough.
func (p progress) trialTime() time.Duration {
	part := func(fraction float64) time.Duration { return time.Duration(fraction * float64(p.duration)) }
	return max(min(p.latestLoadTest(), part(trialFraction)), part(minTrialTimeFraction))
}

// shares returns the target's share of the traffic and those of routes that need
// another one. A route with little traffic gets a larger share, so that the evidence
// on it arrives in time.
func shares(p progress, proven bool, test LoadTest, limits ExposureLimits) (share float64, routes map[string]float64) {
	total := p.seen.total()
	share = initialShare
	if proven && total.Target.succeeded() >= minProvenResponses {
		share = provenShare
	}
	elapsed := max(p.elapsed, roundInterval)
	trialTime := p.trialTime()
	trialLeft := max(trialTime-p.elapsed, roundInterval)
	unanswered := total.Target.Answers.Waiting.Count()
	routes = map[string]float64{}
	var planned float64
	for route, v := range p.seen {
		sent := v.Target.sent() + v.Other.sent()
		perSecond := float64(sent) / elapsed.Seconds()
		if missing := trialRequests - v.Target.sent(); route != "" && sent > 0 && missing > 0 && unanswered < maxUnanswered {
			limit := maxTrialShare
			if p.elapsed > trialTime && v.Target.answered()+v.Target.Answers.Waiting.Count() < minProvingAnswers {
				limit = lateTrialShare
			}
			routes[route] = max(min(float64(missing)/(perSecond*trialLeft.Seconds()), limit), share)
		}
		routeShare, found := routes[route]
		if !found {
			routeShare = share
		}
		planned += routeShare * perSecond * exposureLookahead.Seconds()
	}
	allowed := usedExposureFraction * (limits.Share*float64(total.Target.sent()+total.Other.sent()) + limits.Slack)
	allowed -= loadTestReserve(p, test, allowed)
	if room := max(allowed-float64(total.Target.sent()), 0); planned > room {
		share *= room / planned
		for route := range routes {
			routes[route] *= room / planned
		}
	}
	return share, routes
}
