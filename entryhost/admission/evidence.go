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
	// reportInterval is the time between reports of changed evidence.
	reportInterval = 100 * time.Millisecond
	// routeLimit bounds the routes that are judged apart; callers choose the paths
	// of plain services.
	routeLimit = 16
	// otherRoutes stands for the routes above the limit.
	otherRoutes = "other"
	// withdrawnLimit bounds the withdrawals kept for moves that are not known yet.
	withdrawnLimit = 64
)

// moveEvidence is the part of a dispatcher that judges the new version of a
// running move. The dispatcher's task owns it. A nil pointer does nothing.
type moveEvidence struct {
	service model.ServiceName
	links   EvidenceLinks

	move    model.Move
	active  bool
	old     map[string]*oldWindow
	routes  map[string]*routeTests
	own     map[string]*SharedCounts
	peers   map[peerRoute]SharedCounts
	losses  map[ServerKey]lossMark
	verdict Verdict
	// withdrawn holds the reasons that peers gave, by move.
	withdrawn map[model.MoveID]string

	changed    bool
	lastReport time.Time
	// told tells that the verdict came from a peer, which announces it.
	told bool
	// announced is when this host last shared its own verdict.
	announced time.Time
}

// peerRoute names the counts that one peer shares about one route.
type peerRoute struct {
	origin model.HostID
	key    string
}

// lossMark is when a server last lost streams of either version.
type lossMark struct {
	old time.Time
	new time.Time
}

func newMoveEvidence(service model.ServiceName, links EvidenceLinks) *moveEvidence {
	return &moveEvidence{service: service, links: links, withdrawn: make(map[model.MoveID]string)}
}

// configure follows the configuration in force. A new move starts without evidence.
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
	e.old = make(map[string]*oldWindow)
	e.routes = make(map[string]*routeTests)
	e.own = make(map[string]*SharedCounts)
	e.peers = make(map[peerRoute]SharedCounts)
	e.losses = make(map[ServerKey]lossMark)
	e.verdict = Verdict{Reason: e.withdrawn[move.ID]}
	e.changed, e.told, e.announced = true, e.verdict.Bad(), time.Time{}
}

// shares returns the shares in force with the traffic of a bad version removed.
func (e *moveEvidence) shares(shares []model.VersionShare) []model.VersionShare {
	if e == nil || !e.active || !e.verdict.Bad() || e.links.Policy.Off {
		return shares
	}
	return ReduceShares(shares, e.move.To, e.move.From)
}

// observe counts the end of an attempt.
func (e *moveEvidence) observe(now time.Time, done Done) {
	if e == nil || !e.active {
		return
	}
	sort := sortOutcome(done.Outcome)
	if sort == sortIgnored {
		return
	}
	done.Request.Route = e.knownRoute(done.Request.Route)
	switch done.Version {
	case e.move.From:
		e.observeOld(now, done, sort)
	case e.move.To:
		e.observeNew(now, done, sort)
	}
}

// knownRoute returns the route, or a common one for those above the limit.
func (e *moveEvidence) knownRoute(route string) string {
	if e.old[route] == nil && e.routes[route] == nil && len(e.old)+len(e.routes) >= 2*routeLimit {
		return otherRoutes
	}
	return route
}

func (e *moveEvidence) window(route string) *oldWindow {
	window := e.old[route]
	if window == nil {
		window = &oldWindow{}
		e.old[route] = window
	}
	return window
}

func (e *moveEvidence) observeOld(now time.Time, done Done, sort outcomeSort) {
	window := e.window(done.Request.Route)
	switch sort {
	case sortLost:
		mark := e.losses[KeyOfServer(done.Server)]
		mark.old = now
		e.losses[KeyOfServer(done.Server)] = mark
	case sortOK:
		sort = e.pace(now, window, done)
		window.addPace(now, paceOf(done))
	}
	window.add(e.links.Policy.Period, now, sort)
}

// pace tells slow from ordinary requests.
func (e *moveEvidence) pace(now time.Time, window *oldWindow, done Done) outcomeSort {
	limit := window.limit(e.links.Policy, now)
	if limit > 0 && paceOf(done) > limit {
		return sortSlow
	}
	return sortOK
}

func (e *moveEvidence) observeNew(now time.Time, done Done, sort outcomeSort) {
	route, server := done.Request.Route, KeyOfServer(done.Server)
	switch sort {
	case sortLost:
		if !e.blameLoss(now, server) {
			return
		}
		sort = sortFailed
	case sortOK:
		sort = e.pace(now, e.window(route), done)
	}
	own := e.own[route]
	if own == nil {
		own = &SharedCounts{}
		e.own[route] = own
	}
	own.add(server, sort)
	e.judge(now, route, server, sort)
}

// blameLoss decides whether a lost stream counts against the new version. The
// death of a server breaks the streams of both versions, so that it does not
// count when the old version lost streams there too, and otherwise once.
func (e *moveEvidence) blameLoss(now time.Time, server ServerKey) bool {
	mark := e.losses[server]
	before := mark.new
	mark.new = now
	e.losses[server] = mark
	window := e.links.Policy.LossWindow
	return now.Sub(before) > window && now.Sub(mark.old) > window
}

// judge adds one outcome to the tests and acts on a verdict.
func (e *moveEvidence) judge(now time.Time, route string, server ServerKey, sort outcomeSort) {
	tests := e.routes[route]
	if tests == nil {
		tests = &routeTests{}
		e.routes[route] = tests
	}
	normal := normalOf(e.links.Policy, e.window(route).counts(e.links.Policy.Period, now))
	verdict := tests.observe(e.links.Policy, route, server, sort, normal)
	e.changed = true
	if verdict.Bad() && !e.verdict.Bad() {
		e.veto(now, verdict)
	}
}

// veto takes the traffic from the new version on this entry host.
func (e *moveEvidence) veto(now time.Time, verdict Verdict) {
	e.verdict = verdict
	e.links.Recorder.Record(events.Event{
		Code: eventcode.VersionVetoed, Move: e.move.ID, Service: e.service, Version: e.move.To,
		Cause: "This entry host sends no new requests to version " + string(e.move.To) + ", because " + verdict.Reason + ".",
	})
	e.lastReport = time.Time{}
	e.share(now)
}

// receive applies a fact of a peer.
func (e *moveEvidence) receive(now time.Time, fact peers.Fact) {
	if e == nil {
		return
	}
	switch fact.Kind {
	case peers.FactWithdrawal:
		e.receiveWithdrawal(now, model.MoveID(fact.Key), string(fact.Value))
	case peers.FactEvidence:
		e.receiveCounts(now, fact)
	}
}

func (e *moveEvidence) receiveWithdrawal(now time.Time, move model.MoveID, reason string) {
	if len(e.withdrawn) >= withdrawnLimit {
		clear(e.withdrawn)
	}
	e.withdrawn[move] = reason
	if e.active && e.move.ID == move && !e.verdict.Bad() {
		e.told = true
		e.veto(now, Verdict{Reason: reason})
	}
}

func (e *moveEvidence) receiveCounts(now time.Time, fact peers.Fact) {
	move, route, found := splitEvidenceKey(fact.Key)
	route = e.knownRoute(route)
	if !found || !e.active || move != e.move.ID {
		return
	}
	counts, err := decodeCounts(fact.Value)
	if err != nil {
		return
	}
	key := peerRoute{origin: fact.Origin, key: fact.Key}
	for _, outcome := range counts.since(e.peers[key]) {
		e.judge(now, route, outcome.server, outcome.sort)
	}
	e.peers[key] = counts
}

// share reports changed evidence to the control task and to peers.
func (e *moveEvidence) share(now time.Time) {
	if e == nil || !e.active || now.Sub(e.lastReport) < reportInterval {
		return
	}
	e.announce(now)
	if !e.changed {
		return
	}
	e.lastReport = now
	failed := e.links.Reports.TrySend(e.report()) != nil
	for route, counts := range e.own {
		if value, changed := counts.encode(); changed {
			e.publish(peers.Fact{Kind: peers.FactEvidence, Key: evidenceKey(e.move.ID, route), Value: value})
		}
	}
	e.changed = failed
}

// announce shares an own verdict, and repeats it before it expires at peers, so
// that hosts that start later learn of it without the platform.
func (e *moveEvidence) announce(now time.Time) {
	if !e.verdict.Bad() || e.told || now.Sub(e.announced) < factLifetime/3 {
		return
	}
	reason := e.verdict.Reason
	fact := peers.Fact{Kind: peers.FactWithdrawal, Key: string(e.move.ID), Value: []byte(reason[:min(len(reason), peers.MaxFactBytes)])}
	if e.publish(fact) {
		e.announced = now
	}
}

func (e *moveEvidence) publish(fact peers.Fact) bool {
	fact.Lifetime = factLifetime
	fact.Everywhere = true
	return e.links.Peers.TrySend(peers.Publish{Fact: fact}) == nil
}

func (e *moveEvidence) report() EvidenceReport {
	report := EvidenceReport{Service: e.service, Move: e.move.ID, Verdict: e.verdict}
	for route, tests := range e.routes {
		counts := tests.counts
		report.Samples += counts.Total()
		report.Suspicious = report.Suspicious || tests.suspicious(e.links.Policy)
		report.Routes = append(report.Routes, model.RouteEvidence{Route: route, OK: counts.OK, Failed: counts.Failed, Slow: counts.Slow})
	}
	slices.SortFunc(report.Routes, func(a, b model.RouteEvidence) int { return cmp.Compare(a.Route, b.Route) })
	return report
}
