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

// Task is the task that owns the view in force.
type Task struct {
	decoder     Decoder
	clock       clockwork.Clock
	logger      *slog.Logger
	mailbox     task.Mailbox[ViewRequest]
	orders      task.Mailbox[mirror.Snapshot]
	servers     task.Mailbox[mirror.Snapshot]
	subscribers []task.Mailbox[*View]
	rejected    *metrics.Counter

	// The fields below are accessed only by the task's goroutine.
	view *View
	// rejectedRows maps the keys of undecodable rows to the version that was
	// logged.
	rejectedRows map[string]uint64
	// rejectedConfig and rejectedMoves are the errors that were logged last, or "".
	rejectedConfig string
	rejectedMoves  string
	registered     routing.Servers
	storeRecovered time.Time
}

// NewTask returns the catalog task with an empty view. Subscribers receive each new
// view.
func NewTask(decoder Decoder, clock clockwork.Clock, set *metrics.Set, logger *slog.Logger, subscribers ...task.Mailbox[*View]) *Task {
	return &Task{
		decoder: decoder, clock: clock, logger: logger, subscribers: subscribers,
		mailbox:      task.NewMailbox[ViewRequest](requestsCapacity),
		orders:       task.NewMailbox[mirror.Snapshot](snapshotsCapacity),
		servers:      task.NewMailbox[mirror.Snapshot](snapshotsCapacity),
		rejected:     set.GetOrCreateCounter("lentilpoint_catalog_rows_rejected_total"),
		view:         &View{},
		rejectedRows: map[string]uint64{},
	}
}

// Mailbox receives requests for the view.
func (t *Task) Mailbox() task.Mailbox[ViewRequest] { return t.mailbox }

// Orders receives snapshots of the table that the operator writes.
func (t *Task) Orders() mirror.Subscriber { return t.orders }

// Registrations receives snapshots of the table that servers register in.
func (t *Task) Registrations() mirror.Subscriber { return t.servers }

// String names the task in the logs.
func (t *Task) String() string { return "catalog" }

// Serve maintains the view until the context ends.
func (t *Task) Serve(ctx context.Context) error {
	var recheck <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case request := <-t.mailbox.C():
			request.Reply.Send(t.view)
		case snapshot := <-t.orders.C():
			t.applyOrders(snapshot)
			t.publish(ctx)
		case snapshot := <-t.servers.C():
			t.decodeServers(snapshot)
			recheck = t.mergeServers(ctx)
		case <-recheck:
			recheck = t.mergeServers(ctx)
		}
	}
}

// applyOrders applies the operator's rows. A configuration that cannot be decoded
// leaves the current one in force, as does an older one, which a store has that came back
// from an older copy. Version moves that cannot be decoded are skipped.
func (t *Task) applyOrders(snapshot mirror.Snapshot) {
	next := *t.view
	config, err := t.decoder.Config(snapshot.Rows)
	isNewError := replaceError(&t.rejectedConfig, err)
	switch {
	case isNewError:
		t.rejected.Inc()
		t.logger.Warn("configuration cannot be decoded; keeping the one in force", eventcode.ConfigRejected.Attr(), "error", err, "table_version", snapshot.Version)
	case err == nil && config != nil && (next.Config == nil || config.Version > next.Config.Version):
		t.logger.Info("configuration in force", eventcode.RelayConfigInForce.Attr(), "config_version", config.Version, "table_version", snapshot.Version)
		next.Config = config
	}
	moves, err := t.decoder.Moves(snapshot.Rows)
	if replaceError(&t.rejectedMoves, err) {
		t.rejected.Inc()
		t.logger.Warn("version move cannot be decoded; ignoring it", eventcode.MoveRejected.Attr(), "error", err, "table_version", snapshot.Version)
	}
	next.Moves = moves
	t.view = &next
}

// replaceError replaces the text of the last error and reports whether err is another
// error than that.
func replaceError(last *string, err error) bool {
	var text string
	if err != nil {
		text = err.Error()
	}
	isNew := text != "" && text != *last
	*last = text
	return isNew
}

// decodeServers decodes the registrations. A row that cannot be decoded is skipped
// and logged once for each version of the row.
func (t *Task) decodeServers(snapshot mirror.Snapshot) {
	registered := make(routing.Servers, len(snapshot.Rows))
	for key, row := range snapshot.Rows {
		server, err := t.decoder.Server(row)
		if err != nil {
			t.rejectRow(key, row, err)
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
	t.storeRecovered = snapshot.StoreRecovered
}

func (t *Task) rejectRow(key string, row mirror.Row, err error) {
	if t.rejectedRows[key] == row.Version {
		return
	}
	t.rejectedRows[key] = row.Version
	t.rejected.Inc()
	t.logger.Warn("registration cannot be decoded; ignoring it", eventcode.RegistrationRejected.Attr(), "key", key, "row_version", row.Version, "error", err)
}

// mergeServers puts the registrations into force and returns a timer for the next
// merge, or nil.
func (t *Task) mergeServers(ctx context.Context) <-chan time.Time {
	now := t.clock.Now()
	merged, recheckAt := mergeRegistrations(t.view.Servers, t.registered, t.storeRecovered, now)
	next := *t.view
	next.Servers, next.Superseded = merged.NewestPerAddress()
	t.logChanges(t.view.Servers, next.Servers)
	t.view = &next
	t.publish(ctx)
	if recheckAt.IsZero() {
		return nil
	}
	return t.clock.After(recheckAt.Sub(now))
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
			t.logger.Info("server registration ended", eventcode.ServerDeregistered.Attr(), "server", id, "service", server.Service, "address", server.Address)
		}
	}
}

// publish sends the view to the subscribers. They never call this task, so waiting
// for them cannot deadlock.
func (t *Task) publish(ctx context.Context) {
	for _, subscriber := range t.subscribers {
		if subscriber.Send(ctx, t.view) != nil {
			return
		}
	}
}
