package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// leaseTask owns this host's view of the lease of one service.
type leaseTask struct {
	service model.ServiceName
	owner   Owner
	policy  LeasePolicy
	table   platform.Table
	// hosts receives the live entry hosts. A full mailbox drops the list.
	hosts    task.Mailbox[[]model.HostID]
	mover    task.Mailbox[moverMessage]
	recorder events.Recorder
	clock    clockwork.Clock
	logger   *slog.Logger

	liveHosts []model.HostID
	view      LeaseView
	term      Term
	nonce     uint64
}

// String names the task in the logs.
func (l *leaseTask) String() string { return "lease/" + string(l.service) }

// Serve takes and renews the lease until the context ends.
func (l *leaseTask) Serve(ctx context.Context) error {
	l.term = Term{}
	for {
		l.acquireOrRenew(ctx)
		pause := l.policy.PollInterval(l.term.Holds(l.clock.Now()), l.rank())
		select {
		case <-ctx.Done():
			return nil
		case l.liveHosts = <-l.hosts.C():
		case <-l.clock.After(pause):
		}
	}
}

func (l *leaseTask) rank() int { return Rank(l.service, l.owner.Host, l.liveHosts) }

// acquireOrRenew renews the lease if this host holds it. Otherwise it reads the
// row and takes the lease if the policy allows it.
func (l *leaseTask) acquireOrRenew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.policy.Duration/3)
	defer cancel()
	held := l.term.Holds(l.clock.Now())
	if held && l.policy.Unsafe {
		return
	}
	if !held {
		l.endTerm()
		if !l.read(ctx) {
			return
		}
	}
	if held || l.policy.MayTake(l.clock.Now(), l.owner, l.view, l.rank()) {
		l.write(ctx, held)
	}
}

// read updates the view from the table and reports whether it could.
func (l *leaseTask) read(ctx context.Context) bool {
	row, err := l.table.Read(ctx, LeaseKey(l.service))
	if err != nil && !platform.ErrNotFound.Has(err) {
		return false
	}
	return l.observe(row)
}

func (l *leaseTask) observe(row platform.Row) bool {
	var record LeaseRecord
	if row.Version != 0 {
		if err := decode(row.Value, &record); err != nil {
			l.logger.Error("lease row is undecodable", eventcode.LeaseUndecodable.Attr(), "service", l.service, "error", err)
			return false
		}
	}
	l.view = l.view.Observe(l.clock.Now(), record, row.Version)
	return true
}

// write takes or renews the lease by a conditional write.
func (l *leaseTask) write(ctx context.Context, renew bool) {
	l.nonce++
	record := l.policy.NextRecord(l.owner, l.view, renew, l.nonce)
	value, err := encode(record)
	if err != nil {
		return
	}
	transaction := platform.Transaction{
		Conditions: []platform.Condition{{Key: LeaseKey(l.service), Version: l.view.Version}},
		Writes:     []platform.Write{{Key: LeaseKey(l.service), Value: value}},
	}
	if !renew {
		transaction.Writes = append(transaction.Writes, platform.Write{Key: HolderKey(l.service), Value: value})
	}
	sent := l.clock.Now()
	result, err := l.table.Transact(ctx, transaction)
	switch {
	case err != nil:
		l.readBack(ctx, record, renew, sent)
	case result.Committed:
		holder := l.term.HolderVersion
		if !renew {
			holder = result.Versions[1]
		}
		l.setTerm(record, result.Versions[0], holder, renew, sent)
	case len(result.Conflicts) > 0:
		l.observe(result.Conflicts[0])
		// A renewal of this host whose answer was lost also raises the version. The
		// term then continues, and the next attempt renews the newer version.
		if !l.owner.Owns(l.view.Record) || l.view.Record.Fencing != l.term.Fencing {
			l.endTerm()
		}
	}
}

// readBack reads whether a write with an unknown outcome took effect. While the
// outcome is unknown, the end of the term stays as it was.
func (l *leaseTask) readBack(ctx context.Context, record LeaseRecord, renew bool, sent time.Time) {
	row, err := l.table.Read(ctx, LeaseKey(l.service))
	if err != nil || !l.observe(row) || l.view.Record != record {
		return
	}
	holder := platform.Row{Version: l.term.HolderVersion}
	if !renew {
		if holder, err = l.table.Read(ctx, HolderKey(l.service)); err != nil {
			return
		}
	}
	l.setTerm(record, row.Version, holder.Version, renew, sent)
}

// setTerm starts or extends the term and sends it to the mover.
func (l *leaseTask) setTerm(record LeaseRecord, version, holder platform.RowVersion, renew bool, sent time.Time) {
	l.view = LeaseView{Record: record, Version: version, FirstSeen: sent}
	since := l.term.Since
	if !renew {
		since = l.clock.Now()
		l.recorder.Record(events.Event{Code: eventcode.LeaseAcquired, Service: l.service,
			Cause: "This entry host now controls the service, because no other entry host held its lease."})
		l.logger.Info("lease taken", eventcode.LeaseAcquired.Attr(), "service", l.service, "fencing", record.Fencing)
	}
	l.term = Term{Fencing: record.Fencing, Since: since, Until: l.policy.TermEnd(sent), HolderVersion: holder}
	_ = l.mover.TrySend(termChanged{term: l.term})
}

// endTerm ends the term. A mover that misses the message still stops at Term.Until.
func (l *leaseTask) endTerm() {
	if l.term.Fencing == 0 {
		return
	}
	l.logger.Warn("lease lost", eventcode.LeaseLost.Attr(), "service", l.service, "fencing", l.term.Fencing)
	l.recorder.Record(events.Event{Code: eventcode.LeaseLost, Service: l.service,
		Cause: "This entry host stopped controlling the service, because it could not renew its lease in time."})
	l.term = Term{}
	_ = l.mover.TrySend(termChanged{})
}
