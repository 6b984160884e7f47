package platform

import (
	"context"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// hostListTimeout bounds one read of the host list.
const hostListTimeout = 2 * time.Second

// HostsRead carries the merged host list to subscribers. The slice is shared and
// must not be changed.
type HostsRead struct {
	Hosts []model.Host
}

// roundsPerFullList is the number of polls per read of the full list; the other
// polls read only the hosts of the home data centre. The full list is large at
// fleet size, and changes in other data centres matter less.
const roundsPerFullList = 10

// HostListTask polls the host list and owns the lists that were last read.
// Subscribers receive the merged list after each change in the home data centre
// and after each full read. If a subscriber's mailbox was full, the list is sent
// again after the next poll.
type HostListTask struct {
	hosts       Hosts
	home        model.DataCentre
	clock       clockwork.Clock
	interval    time.Duration
	refreshes   task.Mailbox[RefreshHosts]
	subscribers []task.Mailbox[HostsRead]
	logger      *slog.Logger

	// untilFullRead is the number of polls before the next read of the full list.
	untilFullRead int
	// resendNeeded is true if a subscriber's mailbox was full at the last send.
	resendNeeded bool
	homeList     HostAnswer
	fullList     HostAnswer
}

// NewHostListTask returns a task that reads the hosts of the home data centre
// once per interval, and the full list every roundsPerFullList intervals or after a
// request to refresh.
func NewHostListTask(hosts Hosts, home model.DataCentre, clock clockwork.Clock, interval time.Duration, refreshes task.Mailbox[RefreshHosts], logger *slog.Logger, subscribers ...task.Mailbox[HostsRead]) *HostListTask {
	return &HostListTask{hosts: hosts, home: home, clock: clock, interval: interval, refreshes: refreshes, subscribers: subscribers, logger: logger}
}

// String names the task in the logs.
func (t *HostListTask) String() string { return "host-list" }

// Serve polls until the context ends.
func (t *HostListTask) Serve(ctx context.Context) error {
	ticker := t.clock.NewTicker(t.interval)
	defer ticker.Stop()
	reachable := true
	for {
		err := t.poll(ctx)
		if (err == nil) != reachable {
			reachable = err == nil
			t.logger.Warn("host list reachability changed", eventcode.HostListReachability.Attr(), "reachable", reachable, "error", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// poll reads the hosts of the home data centre, and the full list if it is due.
func (t *HostListTask) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	select {
	case <-t.refreshes.C():
		t.untilFullRead = 0
	default:
	}
	readFull := t.untilFullRead == 0
	changed, err := t.readList(ctx, &t.homeList, HostQuery{DataCentre: t.home, Known: t.homeList.Tag})
	if err != nil {
		return err
	}
	if readFull {
		if _, err := t.readList(ctx, &t.fullList, HostQuery{Known: t.fullList.Tag}); err != nil {
			return err
		}
		t.untilFullRead = roundsPerFullList
	}
	t.untilFullRead--
	if changed || readFull || t.resendNeeded {
		t.sendToSubscribers()
	}
	return nil
}

func (t *HostListTask) readList(ctx context.Context, target *HostAnswer, query HostQuery) (changed bool, err error) {
	answer, err := t.hosts.List(ctx, query)
	if err != nil || answer.Unchanged {
		return false, err
	}
	*target = answer
	return true, nil
}

// sendToSubscribers sends the hosts of the home data centre as last read, and those
// of the other data centres from the last full list.
func (t *HostListTask) sendToSubscribers() {
	list := mergeLists(t.home, t.homeList.Hosts, t.fullList.Hosts)
	t.resendNeeded = false
	for _, subscriber := range t.subscribers {
		if subscriber.TrySend(HostsRead{Hosts: list}) != nil {
			t.resendNeeded = true
		}
	}
}

func mergeLists(home model.DataCentre, homeHosts, allHosts []model.Host) []model.Host {
	merged := make([]model.Host, 0, len(homeHosts)+len(allHosts))
	merged = append(merged, homeHosts...)
	for _, host := range allHosts {
		if host.DataCentre != home {
			merged = append(merged, host)
		}
	}
	return merged
}
