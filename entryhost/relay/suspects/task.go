package suspects

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// confirmAfter is the time after a broken attempt at which the server's
	// address is tried; a process that dies refuses connections by then and is
	// back after about a second.
	confirmAfter = 30 * time.Millisecond
	// tellTimeout bounds the message to one host, at most 3 ms away.
	tellTimeout = 200 * time.Millisecond
	// expireInterval is how often old deaths are forgotten.
	expireInterval = 10 * time.Second
)

// Refuses reports whether a server's address refuses connections, which shows
// that the process is gone. Silence shows nothing, since a link may be cut.
type Refuses func(ctx context.Context, address string) bool

// Parameters are what the task is built from.
type Parameters struct {
	// Self is the address of this host among the entry hosts.
	Self    string
	Peers   Peers
	Refuses Refuses
	Clock   clockwork.Clock
	Metrics *metrics.Set
	Logger  *slog.Logger
}

// Task owns what this host knows of requests that crash servers.
type Task struct {
	Parameters

	mailbox task.Mailbox[Message]
	lists   task.Mailbox[[]routing.Host]
	deaths  *metrics.Counter
	stops   *metrics.Counter
	untold  *metrics.Counter

	// The task alone touches the fields below.
	built time.Time
	table table
	hosts []routing.Host
}

// NewTask returns the task.
func NewTask(parameters Parameters) *Task {
	return &Task{
		Parameters: parameters, mailbox: task.NewMailbox[Message](mailboxSize), lists: task.NewMailbox[[]routing.Host](hostsSize),
		deaths: parameters.Metrics.GetOrCreateCounter("lentilpoint_relay_suspect_deaths_total"),
		stops:  parameters.Metrics.GetOrCreateCounter("lentilpoint_relay_suspect_stops_total"),
		untold: parameters.Metrics.GetOrCreateCounter("lentilpoint_relay_suspect_untold_total"),
		built:  parameters.Clock.Now(), table: table{},
	}
}

// Mailbox takes questions and reports.
func (t *Task) Mailbox() task.Mailbox[Message] { return t.mailbox }

// Hosts takes lists of the other entry hosts.
func (t *Task) Hosts() task.Mailbox[[]routing.Host] { return t.lists }

// String names the task in the logs.
func (t *Task) String() string { return "suspects" }

// Serve counts until the context ends.
func (t *Task) Serve(ctx context.Context) error {
	expire := t.Clock.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-expire.Chan():
			t.table.expire(t.now())
		case hosts := <-t.lists.C():
			t.hosts = hosts
		case message := <-t.mailbox.C():
			t.handle(ctx, message)
		}
	}
}

func (t *Task) now() time.Duration { return t.Clock.Since(t.built) }

func (t *Task) handle(ctx context.Context, message Message) {
	switch message := message.(type) {
	case Ask:
		message.Reply.Send(t.table.isStopped(message.Fingerprint, t.now()))
	case Broke:
		go t.confirm(ctx, message)
	case Finished:
		t.finished(ctx, message.Fingerprint)
	case Death:
		t.count(ctx, message)
	case Stop:
		t.table.stop(message.Fingerprint, t.now())
	case Clear:
		t.table.clear(message.Fingerprint, t.now())
	}
}

// confirm tries the address of a server that broke off and reports its death.
func (t *Task) confirm(ctx context.Context, broke Broke) {
	select {
	case <-ctx.Done():
		return
	case <-t.Clock.After(confirmAfter):
	}
	if t.Refuses(ctx, broke.Address) {
		_ = t.mailbox.Send(ctx, Death{Fingerprint: broke.Fingerprint, Request: broke.Request, Server: broke.Server})
	}
}

// count counts a death, and tells the keepers of one that this host saw.
func (t *Task) count(ctx context.Context, death Death) {
	t.deaths.Inc()
	stopped := t.table.died(death.Fingerprint, death.Server, t.now())
	t.Logger.Info("server died under a request", eventcode.SuspectDeath.Attr(), "request", death.Request, "server", death.Server, "fingerprint", death.Fingerprint.String(),
		"deaths", len(t.table[death.Fingerprint].deaths), "stopped", stopped)
	if !death.Told {
		death.Told = true
		t.tellKeepers(ctx, death.Fingerprint, func(ctx context.Context, host string) error { return t.Peers.TellDeath(ctx, host, death) })
	}
	if !stopped {
		return
	}
	t.stops.Inc()
	for _, host := range t.hosts {
		t.tell(ctx, host.Address, func(ctx context.Context, host string) error {
			return t.Peers.TellStop(ctx, host, Stop{Fingerprint: death.Fingerprint})
		})
	}
}

// finished clears a fingerprint that this host has a death of.
func (t *Task) finished(ctx context.Context, fingerprint Fingerprint) {
	if !t.table.clear(fingerprint, t.now()) {
		return
	}
	t.tellKeepers(ctx, fingerprint, func(ctx context.Context, host string) error {
		return t.Peers.TellClear(ctx, host, Clear{Fingerprint: fingerprint})
	})
}

func (t *Task) tellKeepers(ctx context.Context, fingerprint Fingerprint, send func(ctx context.Context, host string) error) {
	for _, keeper := range keepers(fingerprint, t.Self, t.hosts) {
		if keeper != t.Self {
			t.tell(ctx, keeper, send)
		}
	}
}

// tell sends one message beside the task. A host that cannot be reached does
// not know; the other keeper and its own deaths remain.
func (t *Task) tell(ctx context.Context, host string, send func(ctx context.Context, host string) error) {
	go func() {
		tellContext, cancel := context.WithTimeout(ctx, tellTimeout)
		defer cancel()
		if err := send(tellContext, host); err != nil {
			t.untold.Inc()
			t.Logger.Info("entry host not told of a request that crashes servers", eventcode.SuspectNotReported.Attr(), "host", host, "error", err)
		}
	}()
}
