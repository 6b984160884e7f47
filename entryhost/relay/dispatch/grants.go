package dispatch

import (
	"math"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/loads"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/series"
)

const (
	// maxProposed is the number of engines that are proposed to the collector. With seven
	// in ten engines busy, one of 16 is idle in 997 of 1,000 cases, and the message grows
	// by 0.4 KB.
	maxProposed = 16
	// grantMargin is how much cheaper another engine must be than the granted one: half of
	// the cost of a prompt, as other hosts may be about to choose it.
	grantMargin = 0.75
)

// nextSequence returns the sequence of the next report. It grows over restarts.
func (t *Task) nextSequence() int64 {
	t.lastSequence = max(t.lastSequence+1, t.createdAt.Add(t.uptime()).UnixNano())
	return t.lastSequence
}

// isViewFresh reports whether the attempts of other hosts in a data centre are known.
func (t *Task) isViewFresh(dataCentre string, now time.Time) bool {
	return now.Sub(t.shared[dataCentre].askedAt) <= loadsLifetime
}

// askGrant adds to a report the engines of which the collector is to grant one to the
// request. A request that is bound to a server or a version asks for none.
func (t *Task) askGrant(request *Acquire, report *loads.HostLoads, now time.Time) {
	request.ask, request.granted = 0, ""
	if _, moving := t.stageOf(request.Service); moving || request.Prefer != "" || request.Avoid[t.DataCentre] {
		return
	}
	local, limit := t.serversOf(request.Service).local, t.connectionLimit(request.Service)
	report.Proposals = t.proposals(request, local, maxProposed, limit, now)
	if len(report.Proposals) < maxProposed/2 {
		// Many engines have failed.
		report.Proposals = t.proposals(request, local, maxProposed*maxProposed/(len(report.Proposals)+1), limit, now)
	}
	if len(report.Proposals) > 0 {
		request.ask = report.Sequence
		t.asks[report.Sequence] = true
	}
}

// proposals returns up to maxProposed engines that the filters would keep whatever the others
// are, out of a sample.
func (t *Task) proposals(request *Acquire, local *serverGroup, examined, connectionLimit int, now time.Time) []loads.Proposal {
	t.sampled = t.sample(t.sampled[:0], local, examined, connectionLimit, now)
	var proposals []loads.Proposal
	for i := range t.sampled {
		if c := &t.sampled[i]; isUsable(c) && !request.Exclude[c.server.ID] && c.isSound() && len(proposals) < maxProposed {
			proposals = append(proposals, loads.Proposal{Server: c.server.ID, Cost: costBesideLoad(t.Random, t.DataCentre, c)})
		}
	}
	return proposals
}

// grantedCandidate returns the server that the collector granted to the request, with its
// cost, if the filters would keep it whatever the others are. Otherwise it returns nil and
// infinity.
func (t *Task) grantedCandidate(request *Acquire, local *serverGroup, now time.Time) (*candidate, float64) {
	state := t.servers[request.granted]
	if state == nil || !t.isKnown(request.granted) || poolOf(state.server) != local.pool {
		return nil, math.Inf(1)
	}
	c := t.candidateOf(local, state, now)
	if !isUsable(&c) || request.Exclude[request.granted] || request.Avoid[t.DataCentre] || !c.isSound() {
		return nil, math.Inf(1)
	}
	return &c, costOf(t.Random, t.DataCentre, &c)
}

// recordSpeed records the time to the first event if the engine read no other prompt beside
// it, as far as this host knows.
func (t *Task) recordSpeed(granted leaseState) {
	state, now := granted.server, t.Clock.Now()
	server := state.server
	if !granted.alone || state.inFlight-state.decoding > 1 || !t.isViewFresh(server.DataCentre, now) ||
		t.shared[server.DataCentre].others.Servers[server.ID].Reading > 0 {
		return
	}
	event := loads.FirstEvent{Service: granted.service, Seconds: now.Sub(granted.stepStarted).Seconds()}
	t.speeds.Observe(server.ID, event)
	if t.firstEvents[server.DataCentre] == nil {
		t.firstEvents[server.DataCentre] = map[string]loads.FirstEvent{}
	}
	t.firstEvents[server.DataCentre][server.ID] = event
}

// countChoice counts how an engine was chosen: granted by the collector, by the view of its
// loads, or by this host's own attempts alone.
func (t *Task) countChoice(request *Acquire, chosen *candidate, now time.Time) {
	if !t.sharesLoads(request.Service) || request.OnlyPreferred {
		return
	}
	basis := "own_attempts"
	switch {
	case request.granted == chosen.server.ID:
		basis = "grant"
	case t.isViewFresh(chosen.server.DataCentre, now):
		basis = "view"
	}
	t.Metrics.GetOrCreateCounter(series.Name("lentilpoint_relay_choices_total", "service", request.Service, "basis", basis)).Inc()
}
