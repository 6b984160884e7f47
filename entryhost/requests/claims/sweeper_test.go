package claims

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/platform"
)

// scannedTable is a table without concurrency that supports scans and
// deletions.
type scannedTable struct {
	fakeTable
}

func (s *scannedTable) Scan(_ context.Context, _, from string, limit int) ([]platform.Row, error) {
	var rows []platform.Row
	for key, row := range s.rows {
		if key >= from {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (s *scannedTable) Transact(_ context.Context, transaction platform.Transaction) (platform.TransactResult, error) {
	for _, write := range transaction.Writes {
		delete(s.rows, write.Key)
	}
	return platform.TransactResult{Committed: true}, nil
}

var _ = Describe("the sweeper", func() {
	It("deletes all keys whose retention is over and no other, so that the table does not grow without bound", func() {
		clock := clockwork.NewFakeClock()
		table := &scannedTable{fakeTable{rows: make(map[string]platform.Row)}}
		put := func(key string, until time.Time) {
			value, err := Encode(Record{ID: key, State: StateDone, Until: until})
			Expect(err).NotTo(HaveOccurred())
			table.rows[key] = platform.Row{Key: key, Value: value, Version: 1}
		}
		kept := 0
		for i := range 3 * sweepPageRows {
			expired := i%3 != 0
			until := clock.Now().Add(-Retention)
			if !expired {
				until = until.Add(time.Second)
				kept++
			}
			put(RowKey("bubbles", fmt.Sprint(i)), until)
		}
		table.rows[RowPrefix+"0"] = platform.Row{Key: RowPrefix + "0", Value: []byte("not a record"), Version: 1}
		sweeper := NewSweeper(table, clock, metrics.NewSet())
		for range 10 {
			sweeper.sweep(context.Background())
		}
		Expect(table.rows).To(HaveLen(kept + 1))
		Expect(table.rows).To(HaveKey(RowPrefix + "0"))
	})
})
