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

// HostsRead is sent to subscribers after each read of the host list.
type HostsRead struct {
	Hosts []model.Host
}

// fullListRounds is the number of reads of the own data centre's hosts between
// two reads of the whole list. The whole list is large at the size of a fleet,
// and changes elsewhere matter less.
const fullListRounds = 10

// HostListTask polls the host list and owns the parts that were last read.
// Subscribers receive the list after each change and with each full read; a
// full mailbox gets it again after the next read.
type HostListTask struct {
	hosts       Hosts
	home        model.DataCentre
	clock       clockwork.Clock
	interval    time.Duration
	subscribers []task.Mailbox[HostsRead]
	logger      *slog.Logger

	round int
	// missed tells that a subscriber was busy; the list is sent again.
	missed bool
	local  HostAnswer
	whole  HostAnswer
}

// NewHostListTask returns a task that reads the hosts of the home data centre
// once per interval.
func NewHostListTask(hosts Hosts, home model.DataCentre, clock clockwork.Clock, interval time.Duration, logger *slog.Logger, subscribers ...task.Mailbox[HostsRead]) *HostListTask {
	return &HostListTask{hosts: hosts, home: home, clock: clock, interval: interval, subscribers: subscribers, logger: logger}
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

// poll reads the own data centre's hosts, and in some rounds the whole list.
func (t *HostListTask) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	full := t.round%fullListRounds == 0
	changed, err := t.read(ctx, &t.local, HostQuery{DataCentre: t.home, Known: t.local.Tag})
	if err != nil {
		return err
	}
	if full {
		if _, err := t.read(ctx, &t.whole, HostQuery{Known: t.whole.Tag}); err != nil {
			return err
		}
	}
	t.round++
	if changed || full || t.missed {
		t.send()
	}
	return nil
}

func (t *HostListTask) read(ctx context.Context, part *HostAnswer, query HostQuery) (changed bool, err error) {
	answer, err := t.hosts.List(ctx, query)
	if err != nil || answer.Unchanged {
		return false, err
	}
	*part = answer
	return true, nil
}

// send gives the subscribers the hosts of the own data centre as last read, and
// those of the others from the last whole list.
func (t *HostListTask) send() {
	list := mergeLists(t.home, t.local.Hosts, t.whole.Hosts)
	t.missed = false
	for _, subscriber := range t.subscribers {
		if subscriber.TrySend(HostsRead{Hosts: list}) != nil {
			t.missed = true
		}
	}
}

func mergeLists(home model.DataCentre, local, whole []model.Host) []model.Host {
	merged := make([]model.Host, 0, len(local)+len(whole))
	merged = append(merged, local...)
	for _, host := range whole {
		if host.DataCentre != home {
			merged = append(merged, host)
		}
	}
	return merged
}
