package suspects

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/eventcode"
)

const (
	// maxWatches limits the requests that are informed of a stop. 70 streams a second
	// are 700 within expireInterval, after which those that ended are forgotten.
	// Further ones are checked only when they begin and before each further attempt.
	maxWatches = 4096
	// maxLearnHosts is the number of hosts that have learned the stops of others
	// which are asked for them in one round, and maxLearnCalls the number of all
	// that are asked.
	maxLearnHosts = 3
	maxLearnCalls = 16
	// learnRounds is the number of rounds in which a host asks after its start,
	// learnInterval apart. Other hosts list it, and send it their stops, up to 6 s
	// later only.
	learnRounds   = 6
	learnInterval = 1500 * time.Millisecond
	// stopSendTimeout is how long the delivery of a stop to one host is repeated,
	// every stopSendInterval. A host that is cut off or frozen gets it when it is
	// back.
	stopSendTimeout  = 30 * time.Second
	stopSendInterval = time.Second
	// trialAfter is the time after which one request with a stopped signature runs, on
	// one host. If the stop is wrong, nothing else may show it, since no other such
	// request runs; if it is right, one more server dies.
	trialAfter = 30 * time.Second
)

// handleCheck answers whether a request is stopped, and watches it if it is not.
func (t *Task) handleCheck(ctx context.Context, check CheckStopped) {
	entry, stopped := t.stopped.find(check.Prompt.suspects(), t.now())
	switch {
	case t.table.isStopped(check.Fingerprint, t.now()):
		check.Reply.Send(true)
	case stopped && t.mayTry(ctx, check, entry):
		// Its watch would end it with the next stop.
		t.stopped = t.stopped.withTrial(entry.signature, t.now()+stopDuration)
		t.Logger.Info("request with stopped parts of a prompt runs on trial", eventcode.SuspectPartsCleared.Attr(), "signature", entry.signature, "request", check.Watch.Request)
		check.Reply.Send(false)
	default:
		if !stopped && check.Watch != nil && len(t.watches) < maxWatches {
			t.watches[check.Watch] = struct{}{}
		}
		check.Reply.Send(stopped)
	}
}

// mayTry reports whether a request may run on trial. Only the first tracker of the service
// that can be reached makes trials, so that one server is lost at most, and only for parts,
// since a wrong stop of one content concerns one request.
func (t *Task) mayTry(ctx context.Context, check CheckStopped, entry stop) bool {
	if entry.signature[0].isContent() || check.Watch == nil || t.now() < entry.trialAt {
		return false
	}
	order := trackerOrder(check.Service, t.Self, t.hosts)
	before := order[:slices.Index(order, t.Self)]
	if len(before) == 0 || t.trialsDue[entry.signature.key()] {
		delete(t.trialsDue, entry.signature.key())
		return true
	}
	// Such a check comes again, as callers repeat the request.
	t.stopped = t.stopped.withTrial(entry.signature, t.now()+trialAfter)
	go t.checkTrialHosts(ctx, entry.signature, before)
	return false
}

// checkTrialHosts looks for a host that makes the trials of a signature before this one does.
func (t *Task) checkTrialHosts(ctx context.Context, signature Signature, before []string) {
	for _, host := range before {
		askContext, cancel := context.WithTimeout(ctx, sendTimeout)
		_, err := t.Peers.Answered(askContext, host, nil)
		cancel()
		if err == nil {
			return
		}
		t.noteSendFailure(host, err)
	}
	_ = t.mailbox.Send(ctx, trialDue{signature: signature})
}

// handleTrialDue lets the next request with the signature run on trial, as no host before
// this one is left that would.
func (t *Task) handleTrialDue(signature Signature) {
	t.trialsDue[signature.key()] = true
	t.stopped = t.stopped.withTrial(signature, t.now())
}

// stopWatched ends the watched requests whose prompts are stopped now.
func (t *Task) stopWatched() {
	t.expireWatches()
	for watch := range t.watches {
		if _, stopped := t.stopped.find(watch.Prompt.suspects(), t.now()); stopped {
			delete(t.watches, watch)
			t.cancelled.Inc()
			t.Logger.Info("request is ended before a server begins to answer it, as it would crash the server", eventcode.SuspectRunEnded.Attr(), "request", watch.Request)
			watch.Stop()
		}
	}
}

// expireWatches forgets the requests that have ended.
func (t *Task) expireWatches() {
	maps.DeleteFunc(t.watches, func(watch *Watch, _ struct{}) bool {
		select {
		case <-watch.Ended:
			return true
		default:
			return false
		}
	})
}

// handleAnswerBegun records that the parts of a prompt are sound, and informs all hosts
// if one of them is stopped.
func (t *Task) handleAnswerBegun(ctx context.Context, message AnswerBegun) {
	delete(t.watches, message.Watch)
	t.recordAnswer(ctx, message.Prompt)
}

// recordAnswer records that a server began to answer a request with the prompt.
func (t *Task) recordAnswer(ctx context.Context, prompt Prompt) {
	for _, part := range prompt.all() {
		t.answered.add(part, t.now(), t.now())
	}
	before := t.stopped
	if cleared := t.clearStops(prompt.all()); len(cleared) > 0 {
		t.keepChanges(ctx, before, t.stopped)
		t.broadcast(ctx, func(ctx context.Context, host string) error {
			return t.Peers.SendPromptAnswered(ctx, host, PromptAnswered{Parts: cleared})
		})
	}
}

// clearStops takes the parts out of the stopped signatures and returns those parts that
// were in one.
func (t *Task) clearStops(parts []Part) []Part {
	kept, changed := t.stopped.clear(parts)
	if len(changed) == 0 {
		return nil
	}
	t.stopped = kept
	var cleared []Part
	for _, signature := range changed {
		for _, part := range signature {
			if slices.Contains(parts, part) && !slices.Contains(cleared, part) {
				cleared = append(cleared, part)
			}
		}
		t.Logger.Info("stopped parts of prompts are sound, as a server began to answer a request with them", eventcode.SuspectPartsCleared.Attr(), "signature", signature, "sound", cleared)
	}
	return cleared
}

// handlePromptAnswered records parts that were answered elsewhere.
func (t *Task) handlePromptAnswered(message PromptAnswered) {
	for _, part := range message.Parts[:min(len(message.Parts), maxPromptParts)] {
		t.answered.add(part, t.now(), t.now())
	}
	t.clearStops(message.Parts)
}

// handlePromptDeath records the content and the parts of the prompt of a request under
// which a server died. It reports a death that this host saw to the trackers of the service.
func (t *Task) handlePromptDeath(ctx context.Context, death PromptDeath) {
	t.deaths.Inc()
	death.Parts = t.answered.untrusted(death.Parts, t.now(), maxReportedParts)
	// A death without suspected parts counts too: it shows a failure of many servers.
	t.promptDeaths.add(death, t.now()-death.Ago)
	if len(death.Parts) > 0 {
		t.Logger.Info("server died under a request; none has answered these parts of its prompt of late", eventcode.SuspectPartsDeath.Attr(), "request", death.Request,
			"server", death.Server, "parts", death.Parts, "reported", death.Told)
	}
	if death.Told {
		t.catchUp(ctx, death.Service, death.Failover)
	} else {
		t.reportDeath(ctx, death)
	}
	if signature, found := t.stopped.onProbation(death.Parts, t.now()); found {
		t.stopSignature(ctx, suspicion{signature: signature, servers: []string{death.Server}, requests: 1})
		return
	}
	t.pursue(ctx, death.Service)
}

// pursue asks all other hosts about the signatures that enough servers died under and
// that are not stopped yet.
func (t *Task) pursue(ctx context.Context, service string) {
	for _, suspected := range t.promptDeaths.suspicions(service, t.answered, t.now()) {
		if _, stopped := t.stopped.find(suspected.signature, t.now()); stopped || t.asking[suspected.signature.key()] {
			continue
		}
		t.asking[suspected.signature.key()] = true
		go t.collectAnswers(ctx, service, suspected.signature, slices.Clone(t.hosts))
	}
}

// collectAnswers asks all hosts at once when servers last answered requests with the
// parts of a signature. A host that cannot be reached cannot speak for them.
func (t *Task) collectAnswers(ctx context.Context, service string, signature Signature, hosts []routing.Host) {
	askContext, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	replies := make(chan map[Part]time.Duration, len(hosts))
	for _, host := range hosts {
		go func() {
			ages, err := t.Peers.Answered(askContext, host.Address, signature)
			t.noteSendFailure(host.Address, err)
			replies <- ages
		}()
	}
	ages := map[Part]time.Duration{}
	for range hosts {
		for part, age := range <-replies {
			if known, found := ages[part]; !found || age < known {
				ages[part] = age
			}
		}
	}
	// The supervisor ends the task with its context.
	_ = t.mailbox.Send(ctx, answersCollected{service: service, signature: signature, ages: ages})
}

// handleAnswersCollected stops the suspected signatures of a service whose parts all
// hosts were asked about, if enough evidence is left.
func (t *Task) handleAnswersCollected(ctx context.Context, collected answersCollected) {
	delete(t.asking, collected.signature.key())
	for part, age := range collected.ages {
		if slices.Contains(collected.signature, part) {
			t.answered.add(part, t.now()-age, t.now())
		}
	}
	for _, suspected := range t.promptDeaths.suspicions(collected.service, t.answered, t.now()) {
		if _, stopped := t.stopped.find(suspected.signature, t.now()); !stopped && suspected.signature.isWithin(collected.signature) {
			t.stopSignature(ctx, suspected)
		}
	}
	t.pursue(ctx, collected.service)
}

// stopSignature stops a signature on all hosts.
func (t *Task) stopSignature(ctx context.Context, suspected suspicion) {
	t.Logger.Warn("requests with this content or these parts of a prompt crash servers; they are stopped on all hosts", eventcode.SuspectPartsStopped.Attr(), "signature", suspected.signature,
		"servers", suspected.servers, "requests", suspected.requests, "minutes", stopDuration.Minutes())
	t.promptStops.Inc()
	before := t.stopped
	t.stopped = t.stopped.add(suspected.signature, t.now()+stopDuration)
	t.keepChanges(ctx, before, t.stopped)
	t.stopWatched()
	message := PromptStop{Signature: suspected.signature, StoppedFor: stopDuration, ForgottenIn: 2 * stopDuration}
	t.deliver(ctx, func(ctx context.Context, host string, elapsed time.Duration) error {
		return t.Peers.SendPromptStop(ctx, host, message.after(elapsed))
	})
}

// deliver sends a stop to all other hosts.
func (t *Task) deliver(ctx context.Context, send func(ctx context.Context, host string, elapsed time.Duration) error) {
	for _, host := range t.hosts {
		go t.deliverTo(ctx, host.Address, send)
	}
}

// deliverTo sends a stop to a host until it is delivered, the host proves to run an older
// build, or stopSendTimeout has passed.
func (t *Task) deliverTo(ctx context.Context, host string, send func(ctx context.Context, host string, elapsed time.Duration) error) {
	ctx, cancel := context.WithTimeout(ctx, stopSendTimeout)
	defer cancel()
	decidedAt := t.Clock.Now()
	for {
		sendContext, cancelSend := context.WithTimeout(ctx, sendTimeout)
		err := send(sendContext, host, t.Clock.Since(decidedAt))
		cancelSend()
		if err == nil {
			return
		}
		t.noteSendFailure(host, err)
		if errors.Is(err, ErrNotSupported) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.Clock.After(stopSendInterval):
		}
	}
}

// handlePromptStop takes over a stop of another host. If this host knows that one of the
// parts is sound, it informs all hosts.
func (t *Task) handlePromptStop(ctx context.Context, message PromptStop) {
	if cleared := t.applyStop(message); len(cleared) > 0 {
		t.broadcast(ctx, func(ctx context.Context, host string) error {
			return t.Peers.SendPromptAnswered(ctx, host, PromptAnswered{Parts: cleared})
		})
	}
	t.stopWatched()
}

// applyStop adds a stop of another host to the list, without the parts that a server has
// answered a short time ago or after the stop was decided. It returns these parts.
func (t *Task) applyStop(message PromptStop) []Part {
	if len(message.Signature) == 0 || len(message.Signature) > maxReportedParts {
		return nil
	}
	if _, stopped := t.stopped.find(message.Signature, t.now()); stopped {
		return nil
	}
	stoppedFor := min(message.StoppedFor, stopDuration)
	t.stopped = t.stopped.insert(stop{
		signature: message.Signature, trialAt: t.now() + trialAfter,
		stoppedUntil: t.now() + stoppedFor, forgottenAt: t.now() + min(message.ForgottenIn, 2*stopDuration),
	})
	t.Logger.Info("another host stopped requests with this content or these parts of a prompt", eventcode.SuspectStopsLearned.Attr(), "signature", message.Signature, "stopped_s", stoppedFor.Seconds())
	decidedAt := t.now() + stoppedFor - stopDuration
	var sound []Part
	for _, part := range message.Signature {
		if at, found := t.answered.last(part); found && (at >= decidedAt || t.answered.isTrusted(part, t.now())) {
			sound = append(sound, part)
		}
	}
	return t.clearStops(sound)
}

// knownStops returns the stops of this host, for one that starts.
func (t *Task) knownStops() KnownStops {
	known := KnownStops{Learned: t.learned, Fingerprints: t.table.stopped(t.now())}
	for _, entry := range t.stopped {
		known.Stops = append(known.Stops, PromptStop{Signature: entry.signature, StoppedFor: max(0, entry.stoppedUntil-t.now()), ForgottenIn: entry.forgottenAt - t.now()})
	}
	return known
}

// ages returns the ages of the last answers to requests with the parts.
func (t *Task) ages(parts []Part) map[Part]time.Duration {
	ages := map[Part]time.Duration{}
	for _, part := range parts[:min(len(parts), maxPromptParts)] {
		if at, found := t.answered.last(part); found {
			ages[part] = t.now() - at
		}
	}
	return ages
}

// learn asks some hosts for their stops, in the first rounds after the start.
func (t *Task) learn(ctx context.Context) {
	if t.learnRounds >= learnRounds || t.learning {
		return
	}
	candidates := slices.Clone(t.Seeds)
	if len(t.hosts) > 0 {
		candidates = nil
		for _, host := range t.hosts {
			candidates = append(candidates, host.Address)
		}
	}
	candidates = slices.DeleteFunc(candidates, func(address string) bool { return address == t.Self })
	if len(candidates) == 0 {
		t.aloneRounds++
		if t.aloneRounds == readerRound && !t.learned {
			t.learning = true
			go t.readKept(ctx)
		}
		return
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	// The host that reads the store if all have just started.
	first := trackers(readerKey, t.Self, t.hosts)[0]
	if i := slices.Index(candidates, first); i > 0 {
		candidates[0], candidates[i] = candidates[i], candidates[0]
	}
	t.learning = true
	t.learnRounds++
	go t.collectStops(ctx, candidates[:min(len(candidates), maxLearnCalls)])
}

// collectStops asks hosts for their stops until maxLearnHosts have answered that have
// learned those of others.
func (t *Task) collectStops(ctx context.Context, candidates []string) {
	collected := stopsCollected{fingerprints: map[Fingerprint]time.Duration{}, asked: true}
	learned := 0
	for _, host := range candidates {
		askContext, cancel := context.WithTimeout(ctx, sendTimeout)
		known, err := t.Peers.Stops(askContext, host)
		cancel()
		if err != nil {
			// Hosts that start together do not serve each other at first.
			collected.failures++
			continue
		}
		collected.answers++
		collected.stops = append(collected.stops, known.Stops[:min(len(known.Stops), maxStops)]...)
		for fingerprint, stoppedFor := range known.Fingerprints {
			collected.fingerprints[fingerprint] = max(stoppedFor, collected.fingerprints[fingerprint])
		}
		if known.Learned {
			collected.learned = true
			learned++
		}
		if learned == maxLearnHosts {
			break
		}
	}
	_ = t.mailbox.Send(ctx, collected)
}

// handleStopsCollected takes over the stops of other hosts, or those in the store.
func (t *Task) handleStopsCollected(ctx context.Context, collected stopsCollected) {
	t.learning = false
	for _, message := range collected.stops {
		t.applyStop(message)
	}
	for fingerprint, stoppedFor := range collected.fingerprints {
		t.table.stop(fingerprint, t.now()+min(stoppedFor, stopDuration))
	}
	t.learned = t.learned || collected.learned
	if collected.asked && t.mayReadKept(collected.answers) {
		t.learning = true
		go t.readKept(ctx)
	}
	t.learned = t.learned || t.learnRounds >= learnRounds
	if t.learnRounds >= learnRounds && !collected.learned {
		t.Logger.Info("no host that was asked had learned the stopped requests of others", eventcode.SuspectStopsLearned.Attr(), "answers", collected.answers, "failures", collected.failures)
	}
	t.stopWatched()
}

// broadcast sends a message to all other hosts.
func (t *Task) broadcast(ctx context.Context, send func(ctx context.Context, host string) error) {
	for _, host := range t.hosts {
		t.sendTo(ctx, host.Address, send)
	}
}

// noteSendFailure logs and counts a call to another host that failed.
func (t *Task) noteSendFailure(host string, err error) {
	if err != nil {
		t.sendFailures.Inc()
		t.Logger.Info("message about a request that crashes servers not delivered to an entry host", eventcode.SuspectNotReported.Attr(), "host", host, "error", err)
	}
}
