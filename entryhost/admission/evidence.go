package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// reportInterval is the least time between reports of changed evidence.
	reportInterval = 100 * time.Millisecond
	// maxRoutes bounds the routes that are tested separately, as callers choose the
	// paths of plain services. The old and the new version together keep at most
	// twice as many entries.
	maxRoutes = 16
	// otherRoutes replaces the routes above the limit.
	otherRoutes = "other"
	// maxWithdrawals bounds the withdrawals kept, as they may be for version moves
	// that this host does not know yet.
	maxWithdrawals = 64
)

// moveEvidence is the part of a dispatcher that tests the new version of a running
// version move. The dispatcher's task owns it. The methods that the dispatcher
// calls do nothing on a nil pointer.
type moveEvidence struct {
	service model.ServiceName
	links   EvidenceLinks

	move       model.Move
	active     bool
	oldWindows map[string]*oldWindow
	newTests   map[string]*routeTests
	ownCounts  map[string]*SharedCounts
	peerCounts map[peerRoute]SharedCounts
	losses     map[ServerKey]lossTimes
	verdict    Verdict
	// withdrawn holds the reasons of withdrawals that peers published, by move.
	withdrawn map[model.MoveID]string

	changed    bool
	lastReport time.Time
	// verdictFromPeer is true if the verdict came from a peer, which publishes it.
	verdictFromPeer bool
	// verdictPublishedAt is when this host last published its own verdict.
	verdictPublishedAt time.Time
}

// peerRoute identifies the counts that one peer published for one route.
type peerRoute struct {
	origin model.HostID
	key    string
}

// lossTimes holds when a server last lost streams of the old and the new version.
type lossTimes struct {
	old time.Time
	new time.Time
}

func newMoveEvidence(service model.ServiceName, links EvidenceLinks) *moveEvidence {
	return &moveEvidence{service: service, links: links, withdrawn: make(map[model.MoveID]string)}
}

// configure applies the configuration in force. A new version move starts without
// counts, but with a withdrawal that a peer published before.
func (e *moveEvidence) configure(configuration *model.Configuration) {
	if e == nil || configuration == nil {
		return
	}
	move, running := configuration.RunningMove(e.service)
	if !running {
		e.active = false
		return
	}
	if e.active && move.ID == e.move.ID {
		e.move = move
		return
	}
	e.move, e.active = move, true
	e.oldWindows = make(map[string]*oldWindow)
	e.newTests = make(map[string]*routeTests)
	e.ownCounts = make(map[string]*SharedCounts)
	e.peerCounts = make(map[peerRoute]SharedCounts)
	e.losses = make(map[ServerKey]lossTimes)
	e.verdict = Verdict{Reason: e.withdrawn[move.ID]}
	e.changed, e.verdictFromPeer, e.verdictPublishedAt = true, e.verdict.Bad(), time.Time{}
}

// shares returns the configured shares, with the share of a bad new version moved
// to the old one.
func (e *moveEvidence) shares(shares []model.VersionShare) []model.VersionShare {
	if e == nil || !e.active || !e.verdict.Bad() || e.links.Policy.CountOnly {
		return shares
	}
	return RedirectShare(shares, e.move.To, e.move.From)
}

// observe applies the end of an attempt of this host.
func (e *moveEvidence) observe(now time.Time, done Done) {
	if e == nil || !e.active {
		return
	}
	class := classifyOutcome(done.Outcome)
	if class == classIgnored {
		return
	}
	done.Request.Route = e.boundedRoute(done.Request.Route)
	switch done.Version {
	case e.move.From:
		e.observeOld(now, done, class)
	case e.move.To:
		e.observeNew(now, done, class)
	}
}

// boundedRoute returns the route, or otherRoutes for a new one above the limit.
func (e *moveEvidence) boundedRoute(route string) string {
	if e.oldWindows[route] == nil && e.newTests[route] == nil && len(e.oldWindows)+len(e.newTests) >= 2*maxRoutes {
		return otherRoutes
	}
	return route
}

// window returns the window of the old version on a route.
func (e *moveEvidence) window(route string) *oldWindow {
	window := e.oldWindows[route]
	if window == nil {
		window = &oldWindow{}
		e.oldWindows[route] = window
	}
	return window
}

func (e *moveEvidence) observeOld(now time.Time, done Done, class outcomeClass) {
	window := e.window(done.Request.Route)
	switch class {
	case classLost:
		times := e.losses[NewServerKey(done.Server)]
		times.old = now
		e.losses[NewServerKey(done.Server)] = times
	case classOK:
		class = e.classifyLatency(now, window, done)
		window.addLatency(now, latencyOf(done))
	}
	window.add(e.links.Policy.Period, now, class)
}

// classifyLatency returns classSlow or classOK for a successful attempt.
func (e *moveEvidence) classifyLatency(now time.Time, window *oldWindow, done Done) outcomeClass {
	limit := window.slowLimit(e.links.Policy, now)
	if limit > 0 && latencyOf(done) > limit {
		return classSlow
	}
	return classOK
}

func (e *moveEvidence) observeNew(now time.Time, done Done, class outcomeClass) {
	route, server := done.Request.Route, NewServerKey(done.Server)
	switch class {
	case classLost:
		if !e.attributeLoss(now, server) {
			return
		}
		class = classFailed
	case classOK:
		class = e.classifyLatency(now, e.window(route), done)
	}
	own := e.ownCounts[route]
	if own == nil {
		own = &SharedCounts{}
		e.ownCounts[route] = own
	}
	own.add(server, class)
	e.applyOutcome(now, route, server, class)
}

// attributeLoss reports whether a lost stream counts against the new version. The
// death of a server breaks the streams of both versions, so a loss does not count
// if the old version lost a stream on the same server within the loss window.
// Several losses of the new version there count once.
func (e *moveEvidence) attributeLoss(now time.Time, server ServerKey) bool {
	times := e.losses[server]
	before := times.new
	times.new = now
	e.losses[server] = times
	window := e.links.Policy.LossWindow
	return now.Sub(before) > window && now.Sub(times.old) > window
}

// applyOutcome adds one outcome to the tests and applies the first bad verdict.
func (e *moveEvidence) applyOutcome(now time.Time, route string, server ServerKey, class outcomeClass) {
	tests := e.newTests[route]
	if tests == nil {
		tests = &routeTests{}
		e.newTests[route] = tests
	}
	normal := normalSharesOf(e.links.Policy, e.window(route).counts(e.links.Policy.Period, now))
	verdict := tests.observe(e.links.Policy, route, server, class, normal)
	e.changed = true
	if verdict.Bad() && !e.verdict.Bad() {
		e.veto(now, verdict)
	}
}

// veto stops new requests to the new version on this entry host, records the
// event and reports it at once.
func (e *moveEvidence) veto(now time.Time, verdict Verdict) {
	// The mover must learn of the verdict even if no outcome follows.
	e.verdict, e.changed = verdict, true
	e.links.Recorder.Record(events.Event{
		Code: eventcode.VersionVetoed, Move: e.move.ID, Service: e.service, Version: e.move.To,
		Cause: "This entry host sends no new requests to version " + string(e.move.To) + ", because " + verdict.Reason + ".",
	})
	e.lastReport = time.Time{}
	e.publishChanges(now)
}

// applyFact applies a fact of a peer.
func (e *moveEvidence) applyFact(now time.Time, fact peers.Fact) {
	if e == nil {
		return
	}
	switch fact.Kind {
	case peers.FactWithdrawal:
		e.applyWithdrawal(now, model.MoveID(fact.Key), string(fact.Value))
	case peers.FactEvidence:
		e.applyCounts(now, fact)
	}
}

func (e *moveEvidence) applyWithdrawal(now time.Time, move model.MoveID, reason string) {
	if len(e.withdrawn) >= maxWithdrawals {
		clear(e.withdrawn)
	}
	e.withdrawn[move] = reason
	if e.active && e.move.ID == move && !e.verdict.Bad() {
		e.verdictFromPeer = true
		e.veto(now, Verdict{Reason: reason})
	}
}

func (e *moveEvidence) applyCounts(now time.Time, fact peers.Fact) {
	move, route, found := splitEvidenceKey(fact.Key)
	route = e.boundedRoute(route)
	if !found || !e.active || move != e.move.ID {
		return
	}
	counts, err := decodeCounts(fact.Value)
	if err != nil {
		return
	}
	key := peerRoute{origin: fact.Origin, key: fact.Key}
	for _, outcome := range counts.since(e.peerCounts[key]) {
		e.applyOutcome(now, route, outcome.server, outcome.class)
	}
	e.peerCounts[key] = counts
}

// publishChanges sends changed evidence to the control task and to peers, at most
// once in reportInterval.
func (e *moveEvidence) publishChanges(now time.Time) {
	if e == nil || !e.active || now.Sub(e.lastReport) < reportInterval {
		return
	}
	e.publishVerdict(now)
	if !e.changed {
		return
	}
	e.lastReport = now
	failed := e.links.Reports.TrySend(e.report()) != nil
	for route, counts := range e.ownCounts {
		if value, changed := counts.encode(); changed {
			e.publishFact(peers.Fact{Kind: peers.FactEvidence, Key: evidenceKey(e.move.ID, route), Value: value})
		}
	}
	e.changed = failed
}

// publishVerdict publishes this host's own verdict, and repeats it before it
// expires at peers, so that hosts that start later get it without the platform.
func (e *moveEvidence) publishVerdict(now time.Time) {
	if !e.verdict.Bad() || e.verdictFromPeer || now.Sub(e.verdictPublishedAt) < evidenceLifetime/3 {
		return
	}
	reason := e.verdict.Reason
	fact := peers.Fact{Kind: peers.FactWithdrawal, Key: string(e.move.ID), Value: []byte(reason[:min(len(reason), peers.MaxFactBytes)])}
	if e.publishFact(fact) {
		e.verdictPublishedAt = now
	}
}

func (e *moveEvidence) publishFact(fact peers.Fact) bool {
	fact.Lifetime = evidenceLifetime
	fact.Everywhere = true
	return e.links.Peers.TrySend(peers.Publish{Fact: fact}) == nil
}

func (e *moveEvidence) report() EvidenceReport {
	report := EvidenceReport{Service: e.service, Move: e.move.ID, Verdict: e.verdict}
	for route, tests := range e.newTests {
		counts := tests.counts
		report.Samples += counts.Total()
		report.Suspicious = report.Suspicious || tests.suspicious(e.links.Policy)
		report.Routes = append(report.Routes, model.RouteEvidence{Route: route, OK: counts.OK, Failed: counts.Failed, Slow: counts.Slow})
	}
	slices.SortFunc(report.Routes, func(a, b model.RouteEvidence) int { return cmp.Compare(a.Route, b.Route) })
	return report
}
