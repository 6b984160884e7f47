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

// HostListTask polls the host list and owns the time of the last read.
// Subscribers receive each list; a full mailbox drops the list, as the next
// poll brings a newer one.
type HostListTask struct {
	hosts       Hosts
	clock       clockwork.Clock
	interval    time.Duration
	subscribers []task.Mailbox[HostsRead]
	logger      *slog.Logger
}

// NewHostListTask returns a task that reads the list once per interval.
func NewHostListTask(hosts Hosts, clock clockwork.Clock, interval time.Duration, logger *slog.Logger, subscribers ...task.Mailbox[HostsRead]) *HostListTask {
	return &HostListTask{hosts: hosts, clock: clock, interval: interval, subscribers: subscribers, logger: logger}
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

func (t *HostListTask) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	hosts, err := t.hosts.List(ctx)
	if err != nil {
		return err
	}
	for _, subscriber := range t.subscribers {
		_ = subscriber.TrySend(HostsRead{Hosts: hosts})
	}
	return nil
}
