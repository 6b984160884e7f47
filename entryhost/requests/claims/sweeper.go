package claims

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/platform"
)

const (
	// Retention is how long the outcome of a key is kept after its call ended. A
	// key that is used again after that counts as a new key.
	Retention = 24 * time.Hour
	// sweepInterval is the mean time between two reads of a page of sweepPageRows
	// rows. Each entry host thus reads 5 rows a second, about 2.5 KB/s, so that
	// today's 7 hosts visit 3 million rows a day.
	sweepInterval = 10 * time.Second
	sweepPageRows = 50
	// sweepTimeout bounds the read and the deletion of one page together.
	sweepTimeout = 2 * time.Second
)

// Sweeper is the task that deletes expired keys from the table. It owns its
// read position. Every entry host runs one from a random position; deletions
// are conditional, so that sweepers do not interfere with each other.
type Sweeper struct {
	table   platform.Table
	clock   clockwork.Clock
	deleted *metrics.Counter
	nextKey string
}

// NewSweeper returns the sweeper task.
func NewSweeper(table platform.Table, clock clockwork.Clock, set *metrics.Set) *Sweeper {
	start := []byte{byte(rand.N(256)), byte(rand.N(256))}
	return &Sweeper{
		table: table, clock: clock, deleted: set.GetOrCreateCounter("lentilpoint_claims_deleted_total"),
		nextKey: RowPrefix + hex.EncodeToString(start),
	}
}

// String names the task in the logs.
func (s *Sweeper) String() string { return "claims-sweeper" }

// Serve reads one page per interval until the context ends.
func (s *Sweeper) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.clock.After(sweepInterval/2 + rand.N(sweepInterval)):
			s.sweep(ctx)
		}
	}
}

// sweep deletes the expired rows of one page. A page that could not be read is
// read again after the next interval; rows that could not be deleted are
// visited again in the next pass.
func (s *Sweeper) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	rows, err := s.table.Scan(ctx, RowPrefix, s.nextKey, sweepPageRows)
	if err != nil {
		return
	}
	s.nextKey = nextPageKey(rows)
	deletion := expiredRowsDeletion(rows, s.clock.Now())
	if len(deletion.Writes) == 0 {
		return
	}
	if result, err := s.table.Transact(ctx, deletion); err == nil && result.Committed {
		s.deleted.Add(len(deletion.Writes))
	}
}

// nextPageKey returns the key at which the next page starts. After the last
// page it starts again with the first.
func nextPageKey(rows []platform.Row) string {
	if len(rows) < sweepPageRows {
		return RowPrefix
	}
	return rows[len(rows)-1].Key + "\x00"
}

// expiredRowsDeletion returns the transaction that deletes the rows whose
// retention is over. Rows that cannot be decoded stay, because their calls may
// have run.
func expiredRowsDeletion(rows []platform.Row, now time.Time) platform.Transaction {
	var deletion platform.Transaction
	for _, row := range rows {
		record, err := Decode(row.Value)
		if err != nil || record.Until.IsZero() || now.Before(record.Until.Add(Retention)) {
			continue
		}
		deletion.Conditions = append(deletion.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
		deletion.Writes = append(deletion.Writes, platform.Write{Key: row.Key, Delete: true})
	}
	return deletion
}
