package catalog

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/mirror"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/task"
)

// Task owns the view in force.
type Task struct {
	decoder     Decoder
	clock       clockwork.Clock
	logger      *slog.Logger
	mailbox     task.Mailbox[Current]
	orders      task.Mailbox[mirror.Snapshot]
	servers     task.Mailbox[mirror.Snapshot]
	subscribers []task.Mailbox[*View]
	rejected    *metrics.Counter

	view *View
	// rejectedRows are the versions of rows that were logged as unreadable.
	rejectedRows map[string]uint64
	registered   routing.Servers
	returned     time.Time
}

// NewTask returns the catalog. Subscribers receive each new view.
func NewTask(decoder Decoder, clock clockwork.Clock, set *metrics.Set, logger *slog.Logger, subscribers ...task.Mailbox[*View]) *Task {
	return &Task{
		decoder: decoder, clock: clock, logger: logger, subscribers: subscribers,
		mailbox:      task.NewMailbox[Current](currentSize),
		orders:       task.NewMailbox[mirror.Snapshot](copiesSize),
		servers:      task.NewMailbox[mirror.Snapshot](copiesSize),
		rejected:     set.GetOrCreateCounter("lentilpoint_catalog_rows_rejected_total"),
		view:         &View{},
		rejectedRows: map[string]uint64{},
	}
}

// Mailbox is where other tasks ask for the view.
func (t *Task) Mailbox() task.Mailbox[Current] { return t.mailbox }

// Orders receives copies of the table that the operator writes.
func (t *Task) Orders() mirror.Subscriber { return t.orders }

// Registrations receives copies of the table that servers register in.
func (t *Task) Registrations() mirror.Subscriber { return t.servers }

// String names the task in the logs.
func (t *Task) String() string { return "catalog" }

// Serve keeps the view until the context ends.
func (t *Task) Serve(ctx context.Context) error {
	var again <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case question := <-t.mailbox.C():
			question.Reply.Send(t.view)
		case snapshot := <-t.orders.C():
			t.takeOrders(snapshot)
			t.publish(ctx)
		case snapshot := <-t.servers.C():
			t.takeServers(snapshot)
			again = t.mergeServers(ctx)
		case <-again:
			again = t.mergeServers(ctx)
		}
	}
}

// takeOrders puts the operator's rows into force. What cannot be read leaves
// the present value in force.
func (t *Task) takeOrders(snapshot mirror.Snapshot) {
	next := *t.view
	config, err := t.decoder.Config(snapshot.Rows)
	switch {
	case err != nil:
		t.rejected.Inc()
		t.logger.Warn("configuration not readable; the one in force stays", eventcode.ConfigRejected.Attr(), "error", err, "table_version", snapshot.Version)
	case config != nil && (next.Config == nil || config.Version != next.Config.Version):
		t.logger.Info("configuration in force", eventcode.RelayConfigInForce.Attr(), "config_version", config.Version, "table_version", snapshot.Version)
		next.Config = config
	}
	moves, err := t.decoder.Moves(snapshot.Rows)
	if err != nil {
		t.rejected.Inc()
		t.logger.Warn("version move not readable", eventcode.MoveRejected.Attr(), "error", err, "table_version", snapshot.Version)
	}
	next.Moves = moves
	t.view = &next
}

// takeServers decodes the registrations. Unreadable rows are logged once for
// each version of the row and name no server.
func (t *Task) takeServers(snapshot mirror.Snapshot) {
	registered := make(routing.Servers, len(snapshot.Rows))
	for key, row := range snapshot.Rows {
		server, err := t.decoder.Server(row)
		if err != nil {
			t.reject(key, row, err)
			continue
		}
		registered[server.ID] = server
	}
	for key := range t.rejectedRows {
		if _, found := snapshot.Rows[key]; !found {
			delete(t.rejectedRows, key)
		}
	}
	t.registered = registered
	t.returned = snapshot.StoreReturned
}

func (t *Task) reject(key string, row mirror.Row, err error) {
	if t.rejectedRows[key] == row.Version {
		return
	}
	t.rejectedRows[key] = row.Version
	t.rejected.Inc()
	t.logger.Warn("registration not readable; it names no server", eventcode.RegistrationRejected.Attr(), "key", key, "row_version", row.Version, "error", err)
}

// mergeServers puts the registrations into force and returns when to look again.
func (t *Task) mergeServers(ctx context.Context) <-chan time.Time {
	now := t.clock.Now()
	merged, again := merge(t.view.Servers, t.registered, t.returned, now)
	next := *t.view
	next.Servers = merged.NewestPerAddress()
	t.logChanges(t.view.Servers, next.Servers)
	t.view = &next
	t.publish(ctx)
	if again.IsZero() {
		return nil
	}
	return t.clock.After(again.Sub(now))
}

func (t *Task) logChanges(old, next routing.Servers) {
	for id, server := range next {
		before, found := old[id]
		if !found || before.Draining != server.Draining || !before.SameProcess(server) {
			t.logger.Info("server registered", eventcode.ServerRegistered.Attr(), "server", id, "service", server.Service,
				"address", server.Address, "data_centre", server.DataCentre, "version", server.Version, "draining", server.Draining)
		}
	}
	for id, server := range old {
		if _, found := next[id]; !found {
			t.logger.Info("server gone", eventcode.ServerGone.Attr(), "server", id, "service", server.Service, "address", server.Address)
		}
	}
}

// publish sends the view to the subscribers, which only receive.
func (t *Task) publish(ctx context.Context) {
	for _, subscriber := range t.subscribers {
		if subscriber.Send(ctx, t.view) != nil {
			return
		}
	}
}
