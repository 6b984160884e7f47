package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/loads"
)

// serverIndex holds the known servers of each service. It is built when servers or hosts
// have changed, so that a decision reads the servers of one service only.
type serverIndex map[string]*serviceServers

// serviceServers are the servers of a service: local is the group of this host's data
// centre, remote are the others.
type serviceServers struct {
	local  *serverGroup
	remote []*serverGroup
}

func (s *serviceServers) groups() []*serverGroup { return append([]*serverGroup{s.local}, s.remote...) }

// groupOf returns the group of a data centre.
func (s *serviceServers) groupOf(dataCentre string) *serverGroup {
	for _, group := range s.remote {
		if group.pool.dataCentre == dataCentre {
			return group
		}
	}
	return s.local
}

// serverGroup holds the servers of a service in one data centre, and what a decision
// needs to know of all of them.
type serverGroup struct {
	pool    serverPool
	servers []*serverState
	// The following are set by observe at the start of a decision: the attempts of other
	// hosts by id of the server, whether these are shared but not known, whether the group
	// is avoided, and the number of connections that this host may open to each server.
	others          map[string]loads.Load
	unseen          bool
	down            bool
	connectionLimit int
}

// serversOf returns the servers of the service.
func (t *Task) serversOf(service string) *serviceServers {
	if t.index == nil {
		t.buildIndex()
	}
	if servers, found := t.index[service]; found {
		return servers
	}
	return &serviceServers{local: &serverGroup{pool: serverPool{service: service, dataCentre: t.DataCentre}}}
}

// shuffledIDs returns the ids of the servers in an order that differs between hosts, so that
// those with the same view do not all prefer the same of equal servers. It follows from the
// seed of Random alone, so that a run with a seed can be repeated.
func (t *Task) shuffledIDs() []string {
	ids := slices.Sorted(maps.Keys(t.servers))
	if t.Random != nil {
		t.Random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	}
	return ids
}

// buildIndex groups the known servers. Ownership depends on the hosts and on the server's
// address, so it is computed once for each list of hosts.
func (t *Task) buildIndex() {
	t.index = serverIndex{}
	for _, id := range t.shuffledIDs() {
		state := t.servers[id]
		if !t.isKnown(id) {
			continue
		}
		servers, found := t.index[state.server.Service]
		if !found {
			servers = &serviceServers{local: &serverGroup{pool: serverPool{service: state.server.Service, dataCentre: t.DataCentre}}}
			t.index[state.server.Service] = servers
		}
		group := servers.groupOf(state.server.DataCentre)
		if group.pool.dataCentre != state.server.DataCentre {
			group = &serverGroup{pool: poolOf(state.server)}
			servers.remote = append(servers.remote, group)
		}
		group.servers = append(group.servers, state)
		if state.ownedSince != t.hostsVersion {
			state.owned, state.ownedSince = t.ownership.owns(state.server), t.hostsVersion
		}
	}
}

// observe reads what a decision needs to know of the group.
func (t *Task) observe(group *serverGroup, connectionLimit int, now time.Time) {
	group.others, group.unseen, group.down, group.connectionLimit = nil, false, t.pools[group.pool].down(now), connectionLimit
	if t.isViewFresh(group.pool.dataCentre, now) {
		group.others = t.shared[group.pool.dataCentre].others.Servers
	} else {
		group.unseen = group.pool.dataCentre == t.DataCentre && t.sharesLoads(group.pool.service)
	}
}

// candidateOf returns the candidate for a server of an observed group.
func (t *Task) candidateOf(group *serverGroup, state *serverState, now time.Time) candidate {
	id := state.server.ID
	return candidate{
		server: state.server, others: group.others[id], inFlight: state.inFlight, decoding: state.decoding, copies: state.copies,
		owned: state.owned,
		warm:  len(state.idle) > 0, full: len(state.idle) == 0 && state.open >= group.connectionLimit,
		paused: now.Before(state.health.pausedUntil), dataCentreDown: group.down, recovering: state.health.pause > 0,
		stale: state.health.stale, leaving: t.isLeaving(id), refusesFor: t.refusesFor(id, now), failureRate: state.health.failureRate,
		slowdown: t.speeds.Slowdown(id), unseen: group.unseen,
	}
}

// candidates returns the servers of the service, except those of rejected versions.
func (t *Task) candidates(service string, now time.Time) []candidate {
	servers, limit := t.serversOf(service), t.connectionLimit(service)
	var candidates []candidate
	for _, group := range servers.groups() {
		t.observe(group, limit, now)
		for _, state := range group.servers {
			candidates = append(candidates, t.candidateOf(group, state, now))
		}
	}
	if stage, moving := t.stageOf(service); moving {
		return withoutRejected(stage, candidates)
	}
	return candidates
}

// engineCount returns the number of engines of a service in a data centre that take work
// or, after a crash, will do so within the time in which a prompt is read.
func (t *Task) engineCount(service, dataCentre string) int {
	group, count := t.serversOf(service).groupOf(dataCentre), 0
	for _, state := range group.servers {
		if !state.server.Draining && !state.health.stale && !t.isLeaving(state.server.ID) {
			count++
		}
	}
	return count
}

const (
	// maxExamined is the number of engines of this data centre, and of all others, that a
	// decision looks at. While four in ten engines are idle, one is almost surely among 32
	// of them, and the cost of a decision does not grow with the installation.
	maxExamined = 32
	// maxHoldersExamined is that number for the holder of a copy, which needs memory and
	// no compute.
	maxHoldersExamined = 16
	// maxGroupsExamined is the number of other data centres from which these are taken.
	maxGroupsExamined = 4
	// surelyLowestCost is the cost below which no server of another data centre and none
	// that fails more often than maxFailureRateExcess can be cheaper.
	surelyLowestCost = min(remoteCost+notOwnedCost, failureRateCost*maxFailureRateExcess) - loads.MaxSpeedup
)

// quickChoice returns a server that the filters would keep whatever the others are, or nil if
// it finds none and the server is to be chosen from all. A plain request gets the cheapest
// server of all; a stream gets the granted engine or the cheapest one of a sample. The sample
// has all engines of this data centre while the loads are not known, as this host's own are
// few.
func (t *Task) quickChoice(request *Acquire, now time.Time) *candidate {
	if _, moving := t.stageOf(request.Service); moving || request.Prefer != "" || request.OnlyPreferred {
		return nil
	}
	servers, limit, isStream := t.serversOf(request.Service), t.connectionLimit(request.Service), t.sharesLoads(request.Service)
	examined := len(servers.local.servers)
	if isStream && t.isViewFresh(t.DataCentre, now) {
		examined = min(examined, maxExamined)
	}
	t.observe(servers.local, limit, now)
	granted, grantedCost := t.grantedCandidate(request, servers.local, now)
	if grantedCost < grantMargin-loads.MaxSpeedup {
		return granted
	}
	t.sampled = t.sample(t.sampled[:0], servers.local, examined, limit, now)
	chosen, cost := t.cheapestSound(request)
	if grantedCost < cost+grantMargin {
		chosen, cost = granted, grantedCost
	}
	if cost < surelyLowestCost {
		return chosen
	}
	if !isStream {
		return nil
	}
	t.sampleGroups(servers.remote, maxExamined, limit, now)
	if remote, remoteCost := t.cheapestSound(request); remoteCost < cost {
		return remote
	}
	return chosen
}

// cheapestSound returns a copy of the chosen one of the sampled candidates, with its cost, or
// nil and infinity if only servers are left that a filter would remove beside sound ones.
func (t *Task) cheapestSound(request *Acquire) (*candidate, float64) {
	chosen, cost := chooseScored(t.Random, t.DataCentre, request, t.sampled)
	if chosen == nil || request.Avoid[chosen.server.DataCentre] || !chosen.isSound() {
		return nil, math.Inf(1)
	}
	result := *chosen
	return &result, cost
}

// isSound reports whether the filters for failures keep the candidate whatever the others
// are.
func (c *candidate) isSound() bool {
	return !c.dataCentreDown && !c.paused && !(c.recovering && c.inFlight > 0) && c.failureRate <= maxFailureRateExcess
}

// quickBackup returns the server for a copy of a run's cache from a sample of the other
// data centres than that of the run, or nil if the sample has none that the filters would
// keep whatever the others are.
func (t *Task) quickBackup(request *Acquire, chosen *candidate, now time.Time) *candidate {
	servers, limit := t.serversOf(request.Service), t.connectionLimit(request.Service)
	others := slices.DeleteFunc(servers.groups(), func(group *serverGroup) bool { return group.pool.dataCentre == chosen.server.DataCentre })
	t.sampleGroups(others, maxHoldersExamined, limit, now)
	backup := chooseBackup(t.Random, t.DataCentre, request, t.sampled, chosen.server)
	if backup == nil || backup.dataCentreDown {
		return nil
	}
	return backup
}

// sampleGroups samples a number of servers of up to maxGroupsExamined of the groups.
func (t *Task) sampleGroups(groups []*serverGroup, count, connectionLimit int, now time.Time) {
	t.sampled = t.sampled[:0]
	if len(groups) == 0 {
		return
	}
	first, examined := t.startOf(len(groups)), min(len(groups), maxGroupsExamined)
	if t.Random == nil {
		examined, count = len(groups), math.MaxInt
	}
	for i := range examined {
		t.sampled = t.sample(t.sampled, groups[(first+i)%len(groups)], count/examined, connectionLimit, now)
	}
}

// sample appends a number of servers of the group, or all if it has fewer. They follow
// each other from a random one on.
func (t *Task) sample(sampled []candidate, group *serverGroup, count, connectionLimit int, now time.Time) []candidate {
	if len(group.servers) == 0 {
		return sampled
	}
	t.observe(group, connectionLimit, now)
	next := t.startOf(len(group.servers))
	if t.Random == nil {
		count = len(group.servers)
	}
	for range min(count, len(group.servers)) {
		sampled = append(sampled, t.candidateOf(group, group.servers[next], now))
		if next++; next == len(group.servers) {
			next = 0
		}
	}
	return sampled
}

// startOf returns the index at which a sample begins. An explanation has no random source
// and examines all servers, so that it does not depend on a sample.
func (t *Task) startOf(count int) int {
	if t.Random == nil {
		return 0
	}
	return t.Random.IntN(count)
}
