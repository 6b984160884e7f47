package scenario

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
)

const (
	partitionHosts   = 9
	partitionCommits = 15
	// partitionedDataCentre can reach the other data centres, but not the platform.
	partitionedDataCentre model.DataCentre = "smg"
)

// partitionedTable is a table service that can't be reached.
type partitionedTable struct{}

// Transact implements platform.Table.
func (partitionedTable) Transact(context.Context, platform.Transaction) (platform.TransactResult, error) {
	return platform.TransactResult{}, errPartitioned()
}

// Read implements platform.Table.
func (partitionedTable) Read(context.Context, string) (platform.Row, error) {
	return platform.Row{}, errPartitioned()
}

// Scan implements platform.Table.
func (partitionedTable) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, errPartitioned()
}

func errPartitioned() error { return platform.ErrUnavailable.New("the network is partitioned") }

// runConfigPartition commits revisions while one data centre is cut off from
// the platform. Its hosts must get them from other data centres.
func runConfigPartition(ctx context.Context, parameters Parameters) (Report, error) {
	random := rand.New(rand.NewPCG(parameters.Seed, 41))
	s, err := startConfigCluster(ctx, parameters, partitionHosts)
	if err != nil {
		return Report{}, err
	}
	defer s.close()
	s.partitioned = partitionedDataCentre
	for i := range s.hosts {
		if err := s.startHost(i); err != nil {
			return Report{}, err
		}
	}
	history := &churnHistory{}
	for range s.incarnations {
		history.incarnations = append(history.incarnations, span{begin: time.Now()})
	}
	for range partitionCommits {
		// Host numbers that are multiples of 3 are in a data centre that can reach
		// the platform.
		if err := s.commitRevision(ctx, 3*random.IntN(partitionHosts/3)); err != nil {
			return Report{}, err
		}
		history.committed = append(history.committed, time.Now())
		time.Sleep(time.Duration(50+random.IntN(200)) * time.Millisecond)
	}
	time.Sleep(settleTime)
	history.endIncarnations(time.Now())
	observed := s.takeObservations()
	violations := countReverted(observed)
	delays, late := history.delays(observed)
	violations.Add(late)
	return Report{Violations: violations, Figures: map[string]float64{
		"revisions":       float64(len(history.committed)),
		"in_force_p50_ms": milliseconds(Quantile(delays, 0.5)),
		"in_force_p95_ms": milliseconds(Quantile(delays, 0.95)),
		"in_force_max_ms": milliseconds(Quantile(delays, 1)),
	}}, nil
}
