package suspects

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/eventcode"
)

// setHosts takes over a list of the other hosts.
func (t *Task) setHosts(hosts []routing.Host) {
	if !slices.Equal(addressesOf(hosts), addressesOf(t.hosts)) {
		t.catchUps.changedAt = t.now()
	}
	t.hosts = hosts
	listed := addressesOf(hosts)
	maps.DeleteFunc(t.absences, func(host string, _ *absence) bool { return !slices.Contains(listed, host) })
}

// addressesOf returns the addresses of hosts, sorted.
func addressesOf(hosts []routing.Host) []string {
	addresses := make([]string, len(hosts))
	for i, host := range hosts {
		addresses[i] = host.Address
	}
	slices.Sort(addresses)
	return addresses
}

// reportDeath reports a death that this host saw to the trackers of the service, or to those
// that take the place of absent ones.
func (t *Task) reportDeath(ctx context.Context, report PromptDeath) {
	death := sentDeath{report: report, seenAt: t.now()}
	order := trackerOrder(report.Service, t.Self, t.hosts)
	for _, tracker := range order[:min(len(order), maxTrackers)] {
		if t.absences[tracker] != nil {
			t.keepPending(tracker, death)
		}
	}
	go t.sendReport(ctx, death, t.absences.present(order))
}

// sendReport sends a report to the hosts in order, in waves of growing size, until
// maxTrackers of them have it.
func (t *Task) sendReport(ctx context.Context, death sentDeath, order []string) {
	result := reportSent{death: death}
	taken := 0
	for size := firstWave; taken < maxTrackers && len(order) > 0; size *= 2 {
		wave := order[:min(size, len(order))]
		order = order[len(wave):]
		report := death.asOf(t.now())
		report.Failover = len(result.failed) > 0
		var group sync.WaitGroup
		errs := make([]error, len(wave))
		for i, host := range wave {
			if host == t.Self {
				result.isOwn, result.isFailover = true, report.Failover
				continue
			}
			group.Go(func() { errs[i] = t.sendOnce(ctx, host, report) })
		}
		group.Wait()
		for i, err := range errs {
			if err != nil {
				result.failed = append(result.failed, wave[i])
				continue
			}
			taken++
		}
	}
	_ = t.mailbox.Send(ctx, result)
}

// sendOnce sends a report to one host.
func (t *Task) sendOnce(ctx context.Context, host string, report PromptDeath) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	err := t.Peers.SendPromptDeath(ctx, host, report)
	t.noteSendFailure(host, err)
	return err
}

// handleReportSent notes the hosts that did not take a report, and keeps it for the trackers
// among them.
func (t *Task) handleReportSent(ctx context.Context, sent reportSent) {
	service := sent.death.report.Service
	for _, host := range sent.failed {
		t.absences.fail(host, t.now())
		if slices.Contains(trackers(service, t.Self, t.hosts), host) {
			t.substituted.Inc()
			t.keepPending(host, sent.death)
		}
	}
	if sent.isOwn {
		t.catchUp(ctx, service, sent.isFailover)
	}
}

func (t *Task) keepPending(host string, death sentDeath) {
	if t.absences.keep(host, death) {
		t.sendFailures.Inc()
		t.Logger.Info("report of a death given up, as too many wait for the entry host", eventcode.SuspectNotReported.Attr(), "host", host)
	}
}

// sendPending tries the hosts that did not take reports, as far as it is time.
func (t *Task) sendPending(ctx context.Context) {
	for host, due := range t.absences.takeDue(t.now()) {
		go func() {
			result := pendingSent{host: host}
			for _, death := range due {
				if result.err = t.sendOnce(ctx, host, death.asOf(t.now())); result.err != nil {
					break
				}
				result.taken++
			}
			_ = t.mailbox.Send(ctx, result)
		}()
	}
}

func (t *Task) handlePendingSent(sent pendingSent) {
	t.absences.settle(sent.host, sent.taken, sent.err == nil, t.now())
}

// catchUp asks all other hosts for the deaths of a service, if this host may count from now on
// what others have counted so far.
func (t *Task) catchUp(ctx context.Context, service string, isFailover bool) {
	isTracker := slices.Contains(trackers(service, t.Self, t.hosts), t.Self)
	if !t.catchUps.isDue(service, isTracker, isFailover, t.now()) {
		return
	}
	t.catchUps.askedAt[service] = t.now()
	t.caughtUp.Inc()
	t.Logger.Info("asking all entry hosts for the deaths of a service, which this one counts from now on", eventcode.SuspectDeathsAsked.Attr(), "service", service, "is_tracker", isTracker, "hosts", len(t.hosts))
	for _, host := range t.hosts {
		go func() {
			askContext, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			reports, err := t.Peers.Deaths(askContext, host.Address, service)
			if errors.Is(err, ErrNotSupported) {
				return
			}
			t.noteSendFailure(host.Address, err)
			if len(reports) > 0 {
				_ = t.mailbox.Send(ctx, deathsCollected{service: service, reports: reports[:min(len(reports), maxKnownReports)]})
			}
		}()
	}
}

// handleDeathsCollected counts the deaths that another host knows.
func (t *Task) handleDeathsCollected(ctx context.Context, collected deathsCollected) {
	for _, report := range collected.reports {
		report.Service = collected.service
		t.promptDeaths.add(report, t.now()-report.Ago)
	}
	t.pursue(ctx, collected.service)
}
