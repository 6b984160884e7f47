package suspects

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// distinctRequests is the number of requests of different content that must
	// have died with a part before it is stopped. A single request may die for a
	// reason of its own; then only its content is stopped.
	distinctRequests = 2
	// incidentGap is the time within which deaths count as one if the later server
	// had the request before the earlier one died. A data centre that fails takes many
	// servers at once, with the requests on all of them.
	incidentGap = 250 * time.Millisecond
	// commonFailureTime is the time within which servers die of one failure, such as
	// that of a data centre.
	commonFailureTime = 100 * time.Millisecond
	// startSlack covers the difference between the times that messages from two hosts
	// take, when the start of an attempt is compared with a death.
	startSlack = 10 * time.Millisecond
	// sameDeath is the time within which reports about the same server are about
	// the same death; a crashed server is back after some seconds, and may have the
	// id that it had.
	sameDeath = time.Second
	// repeatedReport is the time within which reports about one request on one server are about
	// the same death. A request is not sent to the same server again so soon.
	repeatedReport = 10 * time.Second
	// maxServices, maxDeaths, maxRequestsPerDeath and maxReportedParts limit what is
	// kept of deaths, at most 2.4 MB for each service. A plain server has up to 30 requests
	// when it dies, on all hosts together. Of more deaths the newest
	// count, and of more parts that are not trusted the first of the prompt.
	maxServices         = 32
	maxDeaths           = 48
	maxRequestsPerDeath = 48
	maxReportedParts    = 16
	// maxStops limits the signatures that are stopped; the oldest one yields.
	maxStops = 64
)

// Signature is a set of parts of prompts, sorted. Requests that hold all of them
// crash servers. It has more than one part as long as nothing tells which of them is
// the cause.
type Signature []Part

// key returns a text that is equal for equal signatures.
func (s Signature) key() string {
	texts := make([]string, len(s))
	for i, part := range s {
		texts[i] = string(part)
	}
	return strings.Join(texts, ",")
}

// isWithin reports whether all parts of the signature are among the parts.
func (s Signature) isWithin(parts []Part) bool {
	for _, part := range s {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return len(s) > 0
}

// without returns the signature without the parts for which drop returns true.
func (s Signature) without(drop func(Part) bool) Signature {
	return slices.DeleteFunc(slices.Clone(s), drop)
}

// deadRequest is a request that a server had not begun to answer when it died.
type deadRequest struct {
	// id is the id of the request, which tells repeated reports apart from further deaths.
	id string
	// parts are those that may be the cause.
	parts []Part
	// began is when the attempt began.
	began time.Duration
}

// serverDeath is the death of one server and the requests on it that it had not begun
// to answer, by their content.
type serverDeath struct {
	server   string
	at       time.Duration
	requests map[Part]deadRequest
}

// isOf reports whether a report about the server is about this death. A host that was frozen
// reports it late, and a report that a host got when it was frozen is sent again.
func (d serverDeath) isOf(report PromptDeath, request deadRequest, at time.Duration) bool {
	if (at-d.at).Abs() < sameDeath || at > d.at && request.began <= d.at {
		return true
	}
	known, found := d.requests[report.Content]
	return found && report.Request != "" && known.id == report.Request && (at-d.at).Abs() < repeatedReport
}

// addRequest adds a request that the server had, unless none of its parts is suspected.
func (d serverDeath) addRequest(content Part, request deadRequest) {
	if len(request.parts) > 0 && len(d.requests) < maxRequestsPerDeath {
		d.requests[content] = request
	}
}

// deathLog holds the recent deaths by service, oldest first.
type deathLog map[string][]serverDeath

// add records that a server died while it had the request that a report is about. at is
// the time of the death.
func (l deathLog) add(report PromptDeath, at time.Duration) {
	if _, found := l[report.Service]; !found && len(l) >= maxServices {
		return
	}
	request := deadRequest{id: report.Request, parts: report.Parts[:min(len(report.Parts), maxReportedParts)], began: at - report.Ran}
	deaths := l[report.Service]
	for _, death := range deaths {
		if death.server == report.Server && death.isOf(report, request, at) {
			death.addRequest(report.Content, request)
			return
		}
	}
	added := serverDeath{server: report.Server, at: at, requests: map[Part]deadRequest{}}
	added.addRequest(report.Content, request)
	deaths = append(deaths, added)
	// Reports of several hosts may overtake each other.
	slices.SortStableFunc(deaths, func(a, b serverDeath) int { return cmp.Compare(a.at, b.at) })
	l[report.Service] = deaths[max(0, len(deaths)-maxDeaths):]
}

// known returns reports of the deaths of a service that count, the newest at most.
func (l deathLog) known(service string, now time.Duration) []PromptDeath {
	var reports []PromptDeath
	for _, death := range slices.Backward(l[service]) {
		if now-death.at >= deathWindow {
			break
		}
		report := PromptDeath{Service: service, Server: death.server, Ago: now - death.at, Told: true}
		if len(death.requests) == 0 {
			reports = append(reports, report)
		}
		for content, request := range death.requests {
			report.Request, report.Content, report.Parts, report.Ran = request.id, content, request.parts, death.at-request.began
			reports = append(reports, report)
		}
		if len(reports) >= maxKnownReports {
			return reports[:maxKnownReports]
		}
	}
	return reports
}

// expire removes deaths that no longer count.
func (l deathLog) expire(now time.Duration) {
	for service, deaths := range l {
		deaths = slices.DeleteFunc(deaths, func(death serverDeath) bool { return now-death.at >= deathWindow })
		l[service] = deaths
		if len(deaths) == 0 {
			delete(l, service)
		}
	}
}

// suspicion is a signature with the evidence against it.
type suspicion struct {
	signature Signature
	// servers are the servers that died under it, requests the number of requests
	// of different content that held it.
	servers  []string
	requests int
}

// suspicions returns the signatures that enough servers died under, the strongest
// first. A death is explained by one signature only: requests that were on the same
// server by chance are not suspected for it. A part that was answered after a death is
// not its cause, and one that was answered a short time ago is trusted.
func (l deathLog) suspicions(service string, answered *answeredParts, now time.Duration) []suspicion {
	var found []suspicion
	all := examine(l[service], answered, now)
	unexplained := all
	for {
		leading, enough := leadingPart(unexplained, all)
		if !enough {
			return found
		}
		next := suspicion{}
		contents := map[Part]bool{}
		var remaining []examinedDeath
		for _, death := range unexplained {
			if !death.holds(leading) {
				remaining = append(remaining, death)
				continue
			}
			next.servers = append(next.servers, death.server)
			for content, request := range death.requests {
				if !slices.Contains(request.parts, leading) {
					continue
				}
				contents[content] = true
				if next.signature == nil {
					next.signature = request.parts
				}
				next.signature = next.signature.without(func(part Part) bool { return !slices.Contains(request.parts, part) })
			}
		}
		if leading.isContent() {
			next.signature = Signature{leading}
		} else {
			next.signature = next.signature.without(Part.isContent)
		}
		// A part that was answered some time ago is less likely to be the cause than one
		// of which no answer is known, and requests with other parts may hold the cause.
		unknown := next.signature.without(func(part Part) bool { _, found := answered.last(part); return found })
		if len(unknown) > 0 {
			next.signature = unknown
		}
		slices.Sort(next.signature)
		next.requests = len(contents)
		found = append(found, next)
		unexplained = remaining
	}
}

// examinedDeath is a death with only the parts that may be its cause.
type examinedDeath struct {
	serverDeath

	// began has these parts, with the time when the last attempt with each began.
	began map[Part]time.Duration
}

// holds reports whether a request on the server had the part.
func (d examinedDeath) holds(part Part) bool {
	_, found := d.began[part]
	return found
}

// examine returns the deaths within the window with only the parts that may be their cause,
// also those without any.
func examine(deaths []serverDeath, answered *answeredParts, now time.Duration) []examinedDeath {
	var examined []examinedDeath
	for _, death := range deaths {
		if now-death.at >= deathWindow {
			continue
		}
		kept := examinedDeath{serverDeath: serverDeath{server: death.server, at: death.at, requests: map[Part]deadRequest{}}, began: map[Part]time.Duration{}}
		for content, request := range death.requests {
			request.parts = slices.DeleteFunc(slices.Clone(request.parts), func(part Part) bool {
				at, found := answered.last(part)
				return found && (at >= death.at || now-at < trustedAfterAnswer)
			})
			kept.requests[content] = request
			for _, part := range request.parts {
				if latest, found := kept.began[part]; !found || request.began > latest {
					kept.began[part] = request.began
				}
			}
		}
		examined = append(examined, kept)
	}
	return examined
}

// isCommonFailure reports whether a server died together with others of which most had no
// request with the part, as when a data centre fails.
func isCommonFailure(death examinedDeath, part Part, all []examinedDeath) bool {
	together, holding := 0, 0
	for _, other := range all {
		if (other.at - death.at).Abs() <= commonFailureTime {
			together++
			if other.holds(part) {
				holding++
			}
		}
	}
	return 2*holding < together
}

// partEvidence counts what speaks against one part.
type partEvidence struct {
	// incidents are deaths that have no common cause other than the part, as far as
	// their times tell.
	incidents int
	// lastIncident is the time of the last one.
	lastIncident time.Duration
	deaths       int
	contents     map[Part]bool
}

// add counts a death under requests with the part, the last of which began at a time.
func (e *partEvidence) add(death serverDeath, began time.Duration) {
	e.deaths++
	if e.incidents == 0 || death.at-e.lastIncident >= incidentGap || began >= e.lastIncident-startSlack {
		e.incidents++
		e.lastIncident = death.at
	}
}

// evidenceByPart counts what speaks against each part in deaths that no other part
// explains, of all deaths.
func evidenceByPart(unexplained, all []examinedDeath) map[Part]*partEvidence {
	evidence := map[Part]*partEvidence{}
	for _, death := range unexplained {
		for part, began := range death.began {
			if isCommonFailure(death, part, all) {
				continue
			}
			if evidence[part] == nil {
				evidence[part] = &partEvidence{contents: map[Part]bool{}}
			}
			evidence[part].add(death.serverDeath, began)
			for content, request := range death.requests {
				if slices.Contains(request.parts, part) {
					evidence[part].contents[content] = true
				}
			}
		}
	}
	return evidence
}

// leadingPart returns the part with the most incidents, and of several the one with
// the most deaths and then requests. It reports whether they are enough to stop it.
func leadingPart(unexplained, all []examinedDeath) (Part, bool) {
	var leading Part
	var most *partEvidence
	for part, entry := range evidenceByPart(unexplained, all) {
		if entry.incidents < deathsToStop || len(entry.contents) < distinctRequests && !part.isContent() {
			continue
		}
		if most == nil || entry.outweighs(most) || !most.outweighs(entry) && part < leading {
			leading, most = part, entry
		}
	}
	return leading, most != nil
}

// outweighs reports whether the evidence is stronger than the other.
func (e *partEvidence) outweighs(other *partEvidence) bool {
	switch {
	case e.incidents != other.incidents:
		return e.incidents > other.incidents
	case e.deaths != other.deaths:
		return e.deaths > other.deaths
	default:
		return len(e.contents) > len(other.contents)
	}
}

// stop is a stopped signature. After stopDuration its requests run again on
// probation: one more death stops them again at once.
type stop struct {
	signature Signature
	// trialAt is when one request may run on trial.
	trialAt      time.Duration
	stoppedUntil time.Duration
	// forgottenAt is the end of the probation.
	forgottenAt time.Duration
}

// stopList holds the stopped signatures, the oldest first.
type stopList []stop

// find returns the stop that covers the parts: all parts of its signature are among
// them.
func (l stopList) find(parts []Part, now time.Duration) (stop, bool) {
	for _, entry := range l {
		if now < entry.stoppedUntil && entry.signature.isWithin(parts) {
			return entry, true
		}
	}
	return stop{}, false
}

// holds reports whether a signature with the key is in the list.
func (l stopList) holds(key string) bool {
	return slices.ContainsFunc(l, func(entry stop) bool { return entry.signature.key() == key })
}

// onProbation returns the signature among the parts that was stopped before and runs
// again.
func (l stopList) onProbation(parts []Part, now time.Duration) (Signature, bool) {
	for _, entry := range l {
		if now >= entry.stoppedUntil && now < entry.forgottenAt && entry.signature.isWithin(parts) {
			return entry.signature, true
		}
	}
	return nil, false
}

// add returns the list with the signature stopped until a time.
func (l stopList) add(signature Signature, until time.Duration) stopList {
	return l.insert(stop{signature: signature, trialAt: until - stopDuration + trialAfter, stoppedUntil: until, forgottenAt: until + stopDuration})
}

// withTrial returns the list with another time for the next trial of a signature.
func (l stopList) withTrial(signature Signature, at time.Duration) stopList {
	list := slices.Clone(l)
	for i := range list {
		if slices.Equal(list[i].signature, signature) {
			list[i].trialAt = at
		}
	}
	return list
}

// insert returns the list with the stop. Entries whose signature holds all parts of its
// signature are dropped.
func (l stopList) insert(added stop) stopList {
	kept := slices.DeleteFunc(slices.Clone(l), func(entry stop) bool { return added.signature.isWithin(entry.signature) })
	kept = append(kept, added)
	return kept[max(0, len(kept)-maxStops):]
}

// clear returns the list without the parts, each of which a server has begun to
// answer, and the signatures that were narrowed or removed.
func (l stopList) clear(parts []Part) (stopList, []Signature) {
	var kept stopList
	var changed []Signature
	for _, entry := range l {
		narrowed := entry.signature.without(func(part Part) bool { return slices.Contains(parts, part) })
		if len(narrowed) < len(entry.signature) {
			changed = append(changed, entry.signature)
			entry.signature = narrowed
		}
		if len(narrowed) > 0 {
			kept = append(kept, entry)
		}
	}
	return kept, changed
}

// expire returns the list without stops whose probation has ended.
func (l stopList) expire(now time.Duration) stopList {
	return slices.DeleteFunc(slices.Clone(l), func(entry stop) bool { return now >= entry.forgottenAt })
}
